#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/memory.h"
#include "standins/runs.h"

/** An action with an idempotency key. */
struct action {
	char *id; /**< name, newline and key */
	char *name;
	char *key;
	uint64_t runs;
	UT_hash_handle hh;
};

struct runs {
	struct action *actions; /**< hash table by id */
};

struct runs *
runs_create(void)
{
	return xcalloc(1, sizeof(struct runs));
}

void
runs_destroy(struct runs *runs)
{
	struct action *action = runs->actions;

	HASH_CLEAR(hh, runs->actions);
	while (action != NULL) {
		struct action *next = action->hh.next;

		free(action->id);
		free(action->name);
		free(action->key);
		free(action);
		action = next;
	}
	free(runs);
}

bool
action_must_not_repeat(const char *name)
{
	static const char *const names[] = {
	    "invoice", "publish", "certificate"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return false;
}

static char *
make_id(const char *name, const char *key)
{
	char *id = NULL;

	if (asprintf(&id, "%s\n%s", name, key) < 0)
		memory_exhausted();
	return id;
}

static struct action *
find_action(const struct runs *runs, const char *name, const char *key)
{
	struct action *action;
	char *id = make_id(name, key);

	HASH_FIND_STR(runs->actions, id, action);
	free(id);
	return action;
}

uint64_t
runs_add(struct runs *runs, const char *name, const char *key)
{
	struct action *action = find_action(runs, name, key);

	if (action == NULL) {
		action = xcalloc(1, sizeof(*action));
		action->id = make_id(name, key);
		action->name = xstrdup(name);
		action->key = xstrdup(key);
		HASH_ADD_KEYPTR(
		    hh, runs->actions, action->id, strlen(action->id), action);
	}
	return ++action->runs;
}

uint64_t
runs_count(const struct runs *runs, const char *name, const char *key)
{
	const struct action *action = find_action(runs, name, key);

	return action != NULL ? action->runs : 0;
}

json_t *
runs_list(const struct runs *runs, const char *name)
{
	json_t *list = json_array();

	for (const struct action *action = runs->actions; action != NULL;
	     action = action->hh.next) {
		if (name[0] != '\0' && strcmp(action->name, name) != 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:I}", "name", action->name, "key",
			action->key, "runs", (json_int_t)action->runs));
	}
	return json_pack("{s:o}", "runs", list);
}

json_t *
runs_stats(const struct runs *runs)
{
	json_int_t total = 0;
	json_int_t actions = 0;
	json_int_t repeated = 0;

	for (const struct action *action = runs->actions; action != NULL;
	     action = action->hh.next) {
		total += (json_int_t)action->runs;
		actions++;
		if (action->runs > 1 && action_must_not_repeat(action->name))
			repeated++;
	}
	return json_pack("{s:I, s:I, s:I}", "runs", total, "actions", actions,
	    "repeated_once_only", repeated);
}
