/** @file
 * Counts how often each action of a tool or service was executed. Does no I/O.
 */
#ifndef STANDINS_RUNS_H
#define STANDINS_RUNS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

struct runs;

struct runs *runs_create(void);
void runs_destroy(struct runs *runs);
/** Returns whether an action must run only once per key. Such actions are
 * invoice, publish and certificate. */
bool action_must_not_repeat(const char *name);
/** Counts a run of an action with a key; returns the number of its runs. */
uint64_t runs_add(struct runs *runs, const char *name, const char *key);
/** Returns the number of runs of an action with a key. */
uint64_t runs_count(const struct runs *runs, const char *name, const char *key);
/** Returns {"runs":[{"name","key","runs"}, ...]} of the action with a name, or
 * of all actions if the name is "". */
json_t *runs_list(const struct runs *runs, const char *name);
/** Returns {"runs", "actions", "repeated_once_only"}. The last one is the
 * number of actions that ran more than once but must not. */
json_t *runs_stats(const struct runs *runs);

#endif
