#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

static void
release_event(struct owner *owner, const char *program, const char *server)
{
	struct owner_event *event = event_add(owner, OWNER_RELEASE_KV, 0);

	memcpy(event->program, program, PROGRAM_ID_BYTES);
	memcpy(event->server, server, NAME_BYTES);
	owner->counters->kv_releases_total++;
}

static void
pending_release_remove(
    struct owner *owner, const char *program, const char *server)
{
	list_for_each_safe (release, tmp, &owner->pending_kv_releases,
	    struct pending_kv_release, link) {
		if (strcmp(release->program, program) != 0 ||
		    strcmp(release->server, server) != 0)
			continue;
		list_remove(&release->link);
		free(release);
	}
}

void
kv_release_queue(struct owner *owner, const char *program, const char *server,
    int64_t now_us)
{
	struct pending_kv_release *release;

	if (server == NULL || server[0] == '\0')
		return;
	release = xcalloc(1, sizeof(*release));
	memcpy(release->program, program, PROGRAM_ID_BYTES);
	strncpy(release->server, server, NAME_BYTES - 1);
	release->due_us = now_us;
	list_append(&owner->pending_kv_releases, &release->link);
}

void
kv_release_tick(struct owner *owner, int64_t now_us)
{
	list_for_each (release, &owner->pending_kv_releases,
	    struct pending_kv_release, link) {
		const struct program *program =
		    shard_find(&owner_slot(owner, release->program)->shard,
			release->program);

		/* A program that has not ended may still use its KV cache. */
		if (now_us < release->due_us ||
		    (program != NULL && !program->ended))
			continue;
		release->due_us = now_us + KV_RELEASE_RETRY_US;
		release_event(owner, release->program, release->server);
	}
}

bool
kv_release_needs_lane(const struct owner *owner, uint32_t lane)
{
	list_for_each (release, &owner->pending_kv_releases,
	    struct pending_kv_release, link) {
		uint32_t shard = 0;

		program_shard(release->program, &shard);
		if (shard % owner->limits.lanes == lane)
			return true;
	}
	return false;
}

void
kv_release_reset(struct owner *owner)
{
	list_for_each_safe (release, tmp, &owner->pending_kv_releases,
	    struct pending_kv_release, link)
		free(release);
}

void
owner_kv_released(
    struct owner *owner, const char *id, const char *server, int64_t now_us)
{
	struct shard_slot *slot = owner_slot(owner, id);
	struct record record = {.type = RECORD_KV_RELEASED};
	struct pending *pending;

	pending_release_remove(owner, id, server);
	if (slot == NULL || !slot->owned || slot->releasing ||
	    shard_find(&slot->shard, id) == NULL)
		return;
	list_for_each (other, &slot->pending, struct pending, link) {
		if (other->type == RECORD_KV_RELEASED &&
		    strcmp(other->program, id) == 0 &&
		    strcmp(other->server, server) == 0)
			return;
	}
	strncpy(record.kv_released.program, id, PROGRAM_ID_BYTES - 1);
	strncpy(record.kv_released.server, server, NAME_BYTES - 1);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, record.kv_released.program, PROGRAM_ID_BYTES);
	memcpy(pending->server, record.kv_released.server, NAME_BYTES);
}

void
kv_release_program(struct owner *owner, struct program *program, int64_t now_us)
{
	if (mutation_on(MUTATION_NO_RELEASE) ||
	    now_us < program->kv_release_due_us)
		return;
	program->kv_release_due_us = now_us + KV_RELEASE_RETRY_US;
	for (size_t i = 0; i < program->server_count; i++)
		release_event(owner, program->id, program->servers[i]);
}
