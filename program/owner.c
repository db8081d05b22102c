#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "program/internal.h"

#ifdef GUAVAKEEL_MUTATIONS
enum mutation mutation_current = MUTATION_NONE;
#endif

struct owner *
owner_create(const struct owner_options *options)
{
	struct owner *owner = xcalloc(1, sizeof(*owner));

	strncpy(owner->vm, options->vm, NAME_BYTES - 1);
	strncpy(owner->address, options->address, NAME_BYTES - 1);
	owner->limits = *options->limits;
	owner->counters = options->counters;
	owner->snapshot_records = options->snapshot_records > 0
	    ? options->snapshot_records
	    : SNAPSHOT_RECORDS;
	owner->retention_us = options->retention_us > 0 ? options->retention_us
							: RETENTION_DEFAULT_US;
	owner->append_share = 1;
	owner->append_credit = APPEND_BURST;
	owner->lane_total = 2 * owner->limits.lanes + 1;
	rng_init(&owner->rng, options->seed);
	list_init(&owner->events);
	list_init(&owner->fetches);
	list_init(&owner->suspect_vms);
	list_init(&owner->pending_kv_releases);
	list_init(&owner->cache);
	owner->slots = xcalloc(owner->limits.shards, sizeof(owner->slots[0]));
	owner->index = xcalloc(owner->limits.shards, sizeof(owner->index[0]));
	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		shard_init(&owner->slots[i].shard, i);
		list_init(&owner->slots[i].pending);
	}
	owner->lanes = xcalloc(owner->lane_total, sizeof(owner->lanes[0]));
	for (uint32_t i = 0; i < owner->lane_total; i++)
		list_init(&owner->lanes[i].unsharded);
	return owner;
}

static void
pending_list_free(struct owner *owner, struct list *list)
{
	list_for_each_safe (pending, tmp, list, struct pending, link)
		pending_free(owner, pending);
}

static void
lane_reset(struct owner *owner, struct lane *lane)
{
	pending_list_free(owner, &lane->unsharded);
	for (size_t i = 0; i < lane->item_count; i++)
		buf_reset(&lane->items[i]);
	free(lane->items);
}

void
owner_destroy(struct owner *owner)
{
	struct call *call;
	struct call *tmp_call;

	HASH_ITER (hh, owner->calls, call, tmp_call)
		call_remove(owner, call);
	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		pending_list_free(owner, &owner->slots[i].pending);
		shard_reset(&owner->slots[i].shard);
	}
	for (uint32_t i = 0; i < owner->lane_total; i++)
		lane_reset(owner, &owner->lanes[i]);
	list_for_each_safe (item, tmp, &owner->events, struct event_item, link)
		free(item);
	list_for_each_safe (fetch, tmp, &owner->fetches, struct fetch, link)
		free(fetch);
	list_for_each_safe (
	    suspect, tmp, &owner->suspect_vms, struct suspect_vm, link)
		free(suspect);
	kv_release_reset(owner);
	crash_reset(&owner->crashes);
	free(owner->pieces);
	free(owner->index);
	free(owner->slots);
	free(owner->lanes);
	free(owner);
}

void
owner_set_limits(struct owner *owner, const struct config_limits *limits)
{
	uint32_t shards = owner->limits.shards;
	uint32_t lanes = owner->limits.lanes;

	owner->limits = *limits;
	owner->limits.shards = shards;
	owner->limits.lanes = lanes;
	history_evict(owner);
}

void
owner_set_append_share(struct owner *owner, double share)
{
	owner->append_share = share;
}

bool
program_shard(const char *program, uint32_t *shard)
{
	char canonical[PROGRAM_ID_BYTES];
	unsigned number;
	unsigned long long serial;

	if (strlen(program) >= sizeof(canonical) ||
	    sscanf(program, "p%u-%16llx", &number, &serial) != 2)
		return false;
	snprintf(canonical, sizeof(canonical), "p%u-%016llx", number, serial);
	if (strcmp(canonical, program) != 0)
		return false;
	*shard = number;
	return true;
}

struct shard_slot *
owner_slot(struct owner *owner, const char *program)
{
	uint32_t shard;

	if (!program_shard(program, &shard) || shard >= owner->limits.shards)
		return NULL;
	return &owner->slots[shard];
}

bool
owner_owns(const struct owner *owner, uint32_t shard)
{
	return shard < owner->limits.shards && owner->slots[shard].owned;
}

struct shard_ownership
owner_shard_ownership(const struct owner *owner, uint32_t shard)
{
	struct shard_ownership ownership = {0};
	const struct shard *state;

	if (shard >= owner->limits.shards)
		return ownership;
	state = &owner->slots[shard].shard;
	ownership.owned = owner->slots[shard].owned;
	ownership.lane_read =
	    owner_reads_lane(owner, shard % owner->limits.lanes);
	if (!state->released) {
		memcpy(ownership.vm, state->vm, NAME_BYTES);
		memcpy(ownership.address, state->address, NAME_BYTES);
	}
	return ownership;
}

size_t
owner_owned_shard_count(const struct owner *owner)
{
	size_t count = 0;

	for (uint32_t i = 0; i < owner->limits.shards; i++)
		count += owner->slots[i].owned;
	return count;
}

size_t
owner_open_call_count(const struct owner *owner)
{
	return HASH_COUNT(owner->calls);
}

struct owner_event *
event_add(struct owner *owner, enum owner_event_type type, call_id call)
{
	struct event_item *item = xcalloc(1, sizeof(*item));

	item->event.type = type;
	item->event.call_id = call;
	list_append(&owner->events, &item->link);
	return &item->event;
}

void
event_refuse(struct owner *owner, const struct call *call, enum refusal reason,
    enum execution_state execution)
{
	struct owner_event *event;

	if (call->detached)
		return;
	event = event_add(owner, OWNER_REFUSED, call->id);
	event->reason = reason;
	event->execution = execution;
	event->turn = call->turn;
	memcpy(event->program, call->program, PROGRAM_ID_BYTES);
	owner->counters->refusals[reason]++;
}

bool
owner_next_event(struct owner *owner, struct owner_event *event)
{
	struct event_item *item;

	if (list_empty(&owner->events))
		return false;
	item = list_entry(owner->events.next, struct event_item, link);
	*event = item->event;
	list_remove(&item->link);
	free(item);
	return true;
}

struct call *
call_find(struct owner *owner, call_id id)
{
	struct call *call;

	HASH_FIND(hh, owner->calls, &id, sizeof(id), call);
	return call;
}

struct call *
call_add(struct owner *owner, call_id id, enum call_state state,
    const char *program, int64_t now_us)
{
	struct call *call = call_find(owner, id);
	struct shard_slot *slot = owner_slot(owner, program);

	if (call == NULL) {
		call = xcalloc(1, sizeof(*call));
		call->id = id;
		HASH_ADD(hh, owner->calls, id, sizeof(call->id), call);
	}
	call->state = state;
	call->since_us = now_us;
	strncpy(call->program, program, PROGRAM_ID_BYTES - 1);
	call->shard = slot->shard.number;
	call->epoch = slot->shard.epoch;
	return call;
}

void
call_remove(struct owner *owner, struct call *call)
{
	struct program *program = call_program(owner, call);

	if (program != NULL && program->call == call->id)
		program->call = 0;
	if (program != NULL && program->fetch_call == call->id)
		program->fetch_call = 0;
	/* The analyser assumes that the macro's table is freed or NULL. */
	/* NOLINTNEXTLINE(clang-analyzer-*) */
	HASH_DEL(owner->calls, call);
	free(call);
}

struct program *
call_program(struct owner *owner, const struct call *call)
{
	if (call->shard_lost)
		return NULL;
	return shard_find(&owner->slots[call->shard].shard, call->program);
}

enum owner_decision
owner_refuse(
    struct owner *owner, struct owner_result *result, enum refusal reason)
{
	result->reason = reason;
	result->execution = EXECUTION_NOT_STARTED;
	owner->counters->refusals[reason]++;
	return reason == REFUSAL_NOT_OWNER ? OWNER_NOT_OWNER : OWNER_REFUSE;
}

bool
owner_quarantined(const struct owner *owner, uint64_t fingerprint)
{
	return crash_quarantined(
	    &owner->crashes, fingerprint, owner->limits.max_crashes);
}

void
owner_report_crash(struct owner *owner, const char *server,
    const char *workspace, uint64_t fingerprint, uint64_t incident,
    uint32_t running, int64_t wall_us, int64_t now_us)
{
	struct record record = {
	    .type = RECORD_CRASH,
	    .crash =
		{
		    .fingerprint = fingerprint,
		    .incident = incident,
		    .running = running,
		    .wall_us = wall_us,
		},
	};

	strncpy(record.crash.server, server, NAME_BYTES - 1);
	strncpy(record.crash.workspace, workspace, NAME_BYTES - 1);
	crash_add(&owner->crashes, &record.crash);
	pending_add_unsharded(owner, owner->limits.lanes, &record, now_us);
}

void
owner_lift_quarantine(struct owner *owner, uint64_t fingerprint,
    const char *operator_name, int64_t now_us)
{
	struct record record = {
	    .type = RECORD_QUARANTINE_LIFT,
	    .quarantine_lift = {.fingerprint = fingerprint},
	};

	strncpy(record.quarantine_lift.operator_name, operator_name,
	    NAME_BYTES - 1);
	pending_add_unsharded(owner, owner->limits.lanes, &record, now_us);
}

void
owner_tick(struct owner *owner, int64_t now_us)
{
	for (uint32_t i = 0; i < owner->limits.shards; i++)
		slot_tick(owner, &owner->slots[i], now_us);
	intent_tick(owner, now_us);
	kv_release_tick(owner, now_us);
	waiters_tick(owner);
}

void
owner_describe(const struct owner *owner, struct buf *out)
{
	const char *separator = "";
	uint64_t stranded = 0;

	buf_append_text(out, "{\"programs\":[");
	for (uint32_t i = 0; i < owner->limits.shards; i++) {
		const struct shard_slot *slot = &owner->slots[i];
		struct program *p;

		stranded += slot->shard.stranded;
		if (!slot->owned)
			continue;
		for (p = slot->shard.programs; p != NULL; p = p->hh.next) {
			buf_printf(out,
			    "%s{\"program\":\"%s\",\"workspace\":\"%s\","
			    "\"turns\":%zu,\"ended\":%s,\"budget\":%llu,"
			    "\"spent\":%llu,\"stranded\":%llu,\"unknown\":[",
			    separator, p->id, p->workspace, p->turn_count,
			    p->ended ? "true" : "false",
			    (unsigned long long)p->budget,
			    (unsigned long long)p->spent,
			    (unsigned long long)p->stranded);
			separator = "";
			list_for_each (
			    once, &p->once_calls, struct once_call, link) {
				if (once->outcome != OUTCOME_UNKNOWN &&
				    once->outcome != OUTCOME_OPEN)
					continue;
				buf_printf(
				    out, "%s\"%s\"", separator, once->key);
				separator = ",";
			}
			buf_append_text(out, "]}");
			separator = ",";
		}
	}
	buf_printf(out, "],\"stranded_tokens\":%llu,\"suspects\":",
	    (unsigned long long)stranded);
	crash_describe(&owner->crashes, owner->limits.max_crashes, out);
	buf_append_text(out, "}");
}
