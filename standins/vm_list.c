#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/vm_list.h"

/** A change that is not visible yet. */
struct change {
	struct list link;
	int64_t visible_us;
	char *vm;
	json_t *entry; /**< new entry; NULL: the VM is removed */
};

struct vm_list {
	int64_t lag_us;
	json_t *visible;     /**< visible entries by VM */
	struct list pending; /**< list of struct change, oldest first */
};

struct vm_list *
vm_list_create(int64_t lag_us)
{
	struct vm_list *list = xcalloc(1, sizeof(*list));

	list->lag_us = lag_us;
	list->visible = json_object();
	list_init(&list->pending);
	return list;
}

static void
change_free(struct change *change)
{
	list_remove(&change->link);
	json_decref(change->entry);
	free(change->vm);
	free(change);
}

void
vm_list_destroy(struct vm_list *list)
{
	list_for_each_safe (change, tmp, &list->pending, struct change, link)
		change_free(change);
	json_decref(list->visible);
	free(list);
}

static void
add_change(struct vm_list *list, const char *vm, json_t *entry, int64_t now_us)
{
	struct change *change = xcalloc(1, sizeof(*change));

	change->visible_us = now_us + list->lag_us;
	change->vm = xstrdup(vm);
	change->entry = entry;
	list_append(&list->pending, &change->link);
}

static bool
state_valid(const char *state)
{
	return strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0;
}

bool
vm_list_put(struct vm_list *list, const char *vm, const json_t *entry,
    int64_t now_us, struct error *err)
{
	const char *address = NULL;
	const char *peer_address = NULL;
	const char *failure_domain = NULL;
	const char *region = NULL;
	const char *state = "live";
	int port = 0;
	int peer_port = 0;

	if (json_unpack((json_t *)entry,
		"{s:s, s:i, s?s, s?i, s:s, s:s, s?s !}", "address", &address,
		"port", &port, "peer_address", &peer_address, "peer_port",
		&peer_port, "failure_domain", &failure_domain, "region",
		&region, "state", &state) != 0)
		return error_set(err, ERROR_INVALID, "malformed_vm");
	if (!state_valid(state))
		return error_set(err, ERROR_INVALID, "unknown_state");
	if (peer_address == NULL)
		peer_address = address;
	add_change(list, vm,
	    json_pack("{s:s, s:s, s:i, s:s, s:i, s:s, s:s, s:s}", "vm", vm,
		"address", address, "port", port, "peer_address", peer_address,
		"peer_port", peer_port, "failure_domain", failure_domain,
		"region", region, "state", state),
	    now_us);
	return true;
}

void
vm_list_remove(struct vm_list *list, const char *vm, int64_t now_us)
{
	add_change(list, vm, NULL, now_us);
}

static void
apply_due_changes(struct vm_list *list, int64_t now_us)
{
	list_for_each_safe (change, tmp, &list->pending, struct change, link) {
		if (change->visible_us > now_us)
			return;
		if (change->entry != NULL)
			json_object_set(
			    list->visible, change->vm, change->entry);
		else
			json_object_del(list->visible, change->vm);
		change_free(change);
	}
}

json_t *
vm_list_show(struct vm_list *list, int64_t now_us)
{
	json_t *vms = json_array();
	const char *vm;
	json_t *entry;

	apply_due_changes(list, now_us);
	json_object_foreach (list->visible, vm, entry)
		json_array_append(vms, entry);
	return json_pack("{s:o}", "vms", vms);
}

size_t
vm_list_pending(const struct vm_list *list)
{
	return list_length(&list->pending);
}
