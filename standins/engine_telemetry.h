/** @file
 * Load reports and cache events of standin-engine, which become visible with a
 * delay. Does no I/O.
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
	int64_t load_lag_us;  /**< age at which load reports become visible */
	int64_t event_lag_us; /**< age at which events become visible */
	double event_loss;    /**< probability that an event is lost */
	uint64_t seed;
};

struct engine_telemetry *
engine_telemetry_create(const struct engine_telemetry_options *options);
void engine_telemetry_destroy(struct engine_telemetry *telemetry);

/** Adds a load report. */
void engine_telemetry_add_load(
    struct engine_telemetry *telemetry, const struct engine_load *load);
/** Returns the newest load report that is at least load_lag_us old, or the
 * oldest report if there is none. All members are 0 if no report was added. */
struct engine_load
engine_telemetry_load(struct engine_telemetry *telemetry, int64_t now_us);

/** Adds an event of type "cleared", "stored" or "evicted", unless it is lost.
 * Lost events use up a number too. */
void engine_telemetry_add_event(struct engine_telemetry *telemetry,
    const char *type, const char *program, uint64_t changed_tokens,
    uint64_t tokens, int64_t now_us);
/** Returns {"events":[...], "last":N}: the events with numbers above `since`
 * that are at least event_lag_us old, and the last of their numbers, or `since`
 * if there are none. A `since` beyond all numbers is of an earlier process and
 * counts as 0. Events whose numbers are missing were lost or are no longer
 * kept. */
json_t *engine_telemetry_events(
    const struct engine_telemetry *telemetry, uint64_t since, int64_t now_us);

#endif
