/** @file
 * How often each action of a tool or service really ran. No I/O.
 */
#ifndef STANDINS_RUNS_H
#define STANDINS_RUNS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

struct runs;

struct runs *runs_create(void);
void runs_destroy(struct runs *runs);
/** Returns whether an action must not run twice: invoice, publish,
 * certificate. */
bool action_must_not_repeat(const char *name);
/** Counts a run; returns how often the action has run with this key now. */
uint64_t runs_add(struct runs *runs, const char *name, const char *key);
/** Returns how often an action ran with a key. */
uint64_t runs_count(const struct runs *runs, const char *name, const char *key);
/** Returns {"runs":[{"name","key","runs"}, ...]}, filtered by a name unless
 * it is "". */
json_t *runs_list(const struct runs *runs, const char *name);
/** Returns {"runs", "actions", "repeated_once_only"}. */
json_t *runs_stats(const struct runs *runs);

#endif
