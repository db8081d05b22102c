#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/memory.h"
#include "standins/engine_telemetry.h"

enum {
	MAX_EVENTS = 16384,
	MAX_EVENTS_AN_ANSWER = 1024,
	MAX_LOADS = 8192,
};

struct load_entry {
	struct list link;
	struct engine_load load;
};

struct event_entry {
	struct list link;
	uint64_t number;
	const char *type;
	char program[ENGINE_NAME_BYTES];
	uint64_t changed_tokens;
	uint64_t tokens;
	int64_t at_us;
};

struct engine_telemetry {
	struct engine_telemetry_options options;
	struct rng rng;
	struct list loads; /**< of struct load_entry, oldest first */
	size_t load_count;
	struct list events; /**< of struct event_entry, oldest first */
	size_t event_count;
	uint64_t last_number;
};

struct engine_telemetry *
engine_telemetry_create(const struct engine_telemetry_options *options)
{
	struct engine_telemetry *feed = xcalloc(1, sizeof(*feed));

	feed->options = *options;
	rng_init(&feed->rng, options->seed);
	list_init(&feed->loads);
	list_init(&feed->events);
	return feed;
}

static void
drop_load(struct engine_telemetry *feed, struct load_entry *entry)
{
	list_remove(&entry->link);
	free(entry);
	feed->load_count--;
}

static void
drop_event(struct engine_telemetry *feed, struct event_entry *entry)
{
	list_remove(&entry->link);
	free(entry);
	feed->event_count--;
}

void
engine_telemetry_destroy(struct engine_telemetry *feed)
{
	list_for_each_safe (entry, tmp, &feed->loads, struct load_entry, link)
		drop_load(feed, entry);
	list_for_each_safe (entry, tmp, &feed->events, struct event_entry, link)
		drop_event(feed, entry);
	free(feed);
}

void
engine_telemetry_add_load(
    struct engine_telemetry *feed, const struct engine_load *load)
{
	struct load_entry *entry = xcalloc(1, sizeof(*entry));

	entry->load = *load;
	list_append(&feed->loads, &entry->link);
	if (++feed->load_count > MAX_LOADS)
		drop_load(feed,
		    list_entry(feed->loads.next, struct load_entry, link));
}

struct engine_load
engine_telemetry_load(struct engine_telemetry *feed, int64_t now_us)
{
	int64_t until_us = now_us - feed->options.load_lag_us;
	struct load_entry *newest = NULL;

	list_for_each (entry, &feed->loads, struct load_entry, link) {
		if (newest != NULL && entry->load.measured_us > until_us)
			break;
		newest = entry;
	}
	if (newest == NULL)
		return (struct engine_load){0};
	list_for_each_safe (entry, tmp, &feed->loads, struct load_entry, link) {
		if (entry == newest)
			break;
		drop_load(feed, entry);
	}
	return newest->load;
}

void
engine_telemetry_add_event(struct engine_telemetry *feed, const char *type,
    const char *program, uint64_t changed_tokens, uint64_t tokens,
    int64_t now_us)
{
	struct event_entry *entry;

	feed->last_number++;
	if (feed->options.event_loss > 0 &&
	    rng_real(&feed->rng) < feed->options.event_loss)
		return;
	entry = xcalloc(1, sizeof(*entry));
	entry->number = feed->last_number;
	entry->type = type;
	entry->changed_tokens = changed_tokens;
	entry->tokens = tokens;
	entry->at_us = now_us;
	strncpy(entry->program, program, sizeof(entry->program) - 1);
	list_append(&feed->events, &entry->link);
	if (++feed->event_count > MAX_EVENTS)
		drop_event(feed,
		    list_entry(feed->events.next, struct event_entry, link));
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
    const struct engine_telemetry *feed, uint64_t since, int64_t now_us)
{
	int64_t until_us = now_us - feed->options.event_lag_us;
	json_t *events = json_array();
	uint64_t last = since;

	list_for_each (entry, &feed->events, struct event_entry, link) {
		if (entry->number <= since)
			continue;
		if (entry->at_us > until_us ||
		    json_array_size(events) == MAX_EVENTS_AN_ANSWER)
			break;
		json_array_append_new(events, event_json(entry));
		last = entry->number;
	}
	return json_pack(
	    "{s:o, s:I}", "events", events, "last", (json_int_t)last);
}
