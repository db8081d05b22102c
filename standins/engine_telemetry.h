/** @file
 * What the engine's stand-in tells late: load reports and cache events. No
 * I/O.
 */
#ifndef STANDINS_ENGINE_TELEMETRY_H
#define STANDINS_ENGINE_TELEMETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/rng.h"
#include "standins/engine_core.h"

struct engine_telemetry;

struct engine_telemetry_options {
	int64_t load_lag_us;
	int64_t event_lag_us;
	double event_loss; /**< probability that an event is never told */
	uint64_t seed;
};

struct engine_telemetry *
engine_telemetry_create(const struct engine_telemetry_options *options);
void engine_telemetry_destroy(struct engine_telemetry *telemetry);

/** Keeps a report for later. */
void engine_telemetry_add_load(
    struct engine_telemetry *telemetry, const struct engine_load *load);
/** Returns the newest report that is old enough; before there is one, the
 * oldest. Returns an all-zero one when none was added. */
struct engine_load
engine_telemetry_load(struct engine_telemetry *telemetry, int64_t now_us);

/** Numbers an event: "cleared", "stored" or "evicted". */
void engine_telemetry_add_event(struct engine_telemetry *telemetry,
    const char *type, const char *program, uint64_t changed_tokens,
    uint64_t tokens, int64_t now_us);
/** Returns {"events":[...], "last":N}: those after a number that are old
 * enough. A number that is missing was lost or is no longer kept. */
json_t *engine_telemetry_events(
    const struct engine_telemetry *telemetry, uint64_t since, int64_t now_us);

#endif
