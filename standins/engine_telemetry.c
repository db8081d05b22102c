#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/engine_telemetry.h"

enum {
	MAX_EVENTS = 16384,
	MAX_EVENTS_PER_RESPONSE = 1024,
	MAX_LOADS = 8192,
};

/** A load report. */
struct load_entry {
	struct list link;
	struct engine_load load;
};

/** A cache event. */
struct event_entry {
	struct list link;
	uint64_t number;
	const char *type;
	char program[ENGINE_NAME_BYTES];
	uint64_t changed_tokens; /**< tokens stored or evicted */
	uint64_t tokens;         /**< tokens held after the change */
	int64_t at_us;
};

struct engine_telemetry {
	struct engine_telemetry_options options;
	struct rng rng;
	struct list loads; /**< list of struct load_entry, oldest first */
	size_t load_count;
	struct list events; /**< list of struct event_entry, oldest first */
	size_t event_count;
	uint64_t last_number;
};

struct engine_telemetry *
engine_telemetry_create(const struct engine_telemetry_options *options)
{
	struct engine_telemetry *telemetry = xcalloc(1, sizeof(*telemetry));

	telemetry->options = *options;
	rng_init(&telemetry->rng, options->seed);
	list_init(&telemetry->loads);
	list_init(&telemetry->events);
	return telemetry;
}

static void
drop_load(struct engine_telemetry *telemetry, struct load_entry *entry)
{
	list_remove(&entry->link);
	free(entry);
	telemetry->load_count--;
}

static void
drop_event(struct engine_telemetry *telemetry, struct event_entry *entry)
{
	list_remove(&entry->link);
	free(entry);
	telemetry->event_count--;
}

void
engine_telemetry_destroy(struct engine_telemetry *telemetry)
{
	list_for_each_safe (
	    entry, tmp, &telemetry->loads, struct load_entry, link)
		drop_load(telemetry, entry);
	list_for_each_safe (
	    entry, tmp, &telemetry->events, struct event_entry, link)
		drop_event(telemetry, entry);
	free(telemetry);
}

void
engine_telemetry_add_load(
    struct engine_telemetry *telemetry, const struct engine_load *load)
{
	struct load_entry *entry = xcalloc(1, sizeof(*entry));

	entry->load = *load;
	list_append(&telemetry->loads, &entry->link);
	if (++telemetry->load_count > MAX_LOADS)
		drop_load(telemetry,
		    list_entry(telemetry->loads.next, struct load_entry, link));
}

struct engine_load
engine_telemetry_load(struct engine_telemetry *telemetry, int64_t now_us)
{
	int64_t newest_us = now_us - telemetry->options.load_lag_us;
	struct load_entry *newest = NULL;

	list_for_each (entry, &telemetry->loads, struct load_entry, link) {
		if (newest != NULL && entry->load.measured_us > newest_us)
			break;
		newest = entry;
	}
	if (newest == NULL)
		return (struct engine_load){0};
	list_for_each_safe (
	    entry, tmp, &telemetry->loads, struct load_entry, link) {
		if (entry == newest)
			break;
		drop_load(telemetry, entry);
	}
	return newest->load;
}

void
engine_telemetry_add_event(struct engine_telemetry *telemetry, const char *type,
    const char *program, uint64_t changed_tokens, uint64_t tokens,
    int64_t now_us)
{
	struct event_entry *entry;

	telemetry->last_number++;
	if (telemetry->options.event_loss > 0 &&
	    rng_real(&telemetry->rng) < telemetry->options.event_loss)
		return;
	entry = xcalloc(1, sizeof(*entry));
	entry->number = telemetry->last_number;
	entry->type = type;
	entry->changed_tokens = changed_tokens;
	entry->tokens = tokens;
	entry->at_us = now_us;
	strncpy(entry->program, program, sizeof(entry->program) - 1);
	list_append(&telemetry->events, &entry->link);
	if (++telemetry->event_count > MAX_EVENTS)
		drop_event(telemetry,
		    list_entry(
			telemetry->events.next, struct event_entry, link));
}

static json_t *
event_json(const struct event_entry *entry)
{
	return json_pack("{s:I, s:s, s:s, s:I, s:I}", "number",
	    (json_int_t)entry->number, "type", entry->type, "program",
	    entry->program, "changed_tokens", (json_int_t)entry->changed_tokens,
	    "tokens", (json_int_t)entry->tokens);
}

json_t *
engine_telemetry_events(
    const struct engine_telemetry *telemetry, uint64_t since, int64_t now_us)
{
	int64_t newest_us = now_us - telemetry->options.event_lag_us;
	json_t *events = json_array();
	uint64_t last;

	/* The caller has read events of an earlier process. */
	if (since > telemetry->last_number)
		since = 0;
	last = since;

	list_for_each (entry, &telemetry->events, struct event_entry, link) {
		if (entry->number <= since)
			continue;
		if (entry->at_us > newest_us ||
		    json_array_size(events) == MAX_EVENTS_PER_RESPONSE)
			break;
		json_array_append_new(events, event_json(entry));
		last = entry->number;
	}
	return json_pack(
	    "{s:o, s:I}", "events", events, "last", (json_int_t)last);
}
