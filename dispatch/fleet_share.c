#include <stdlib.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/memory.h"
#include "dispatch/fleet_share.h"

enum {
	/* Regions lose each other for minutes. A VM that has died without a
	 * word and does not return takes its share with it for this time, which
	 * is little compared to what usual demand leaves of a cap. */
	KNOWN_US = 15 * 60 * US_PER_S,
};

struct known_vm {
	UT_hash_handle hh;
	uint64_t vm;
	int64_t seen_us;
	bool reached;
};

static void
forget(struct fleet_share *fleet, struct known_vm *known)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(fleet->vms, known);
	free(known);
}

void
fleet_share_reset(struct fleet_share *fleet)
{
	struct known_vm *known, *next;

	HASH_ITER (hh, fleet->vms, known, next)
		forget(fleet, known);
}

void
fleet_share_begin(struct fleet_share *fleet)
{
	for (struct known_vm *known = fleet->vms; known != NULL;
	     known = known->hh.next)
		known->reached = false;
}

static struct known_vm *
find(const struct fleet_share *fleet, uint64_t vm)
{
	struct known_vm *known = NULL;

	HASH_FIND(hh, fleet->vms, &vm, sizeof(vm), known);
	return known;
}

void
fleet_share_count(
    struct fleet_share *fleet, uint64_t vm, int64_t seen_us, bool reached)
{
	struct known_vm *known = find(fleet, vm);

	if (known == NULL) {
		known = xcalloc(1, sizeof(*known));
		known->vm = vm;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_ADD(hh, fleet->vms, vm, sizeof(vm), known);
	}
	known->seen_us = seen_us;
	known->reached = reached;
}

void
fleet_share_remove(struct fleet_share *fleet, uint64_t vm)
{
	struct known_vm *known = find(fleet, vm);

	if (known != NULL)
		forget(fleet, known);
}

void
fleet_share_end(struct fleet_share *fleet, int64_t now_us)
{
	struct known_vm *known, *next;

	fleet->known = 1;
	fleet->reached = 1;
	HASH_ITER (hh, fleet->vms, known, next) {
		if (now_us - known->seen_us >= KNOWN_US) {
			forget(fleet, known);
			continue;
		}
		fleet->known++;
		fleet->reached += known->reached;
	}
}
