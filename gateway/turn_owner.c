#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "gateway/ownership.h"
#include "gateway/peer_gateways.h"
#include "gateway/turn_internal.h"

enum {
	OWNERS_TIMEOUT_US = 600 * US_PER_MS,
	OWNERS_INTERVAL_US = 150 * US_PER_MS,
	REPORT_RETRY_US = 250 * US_PER_MS,
	REPORT_MAX_AGE_US = 8 * US_PER_S,
	REPORT_CHECK_INTERVAL_MS = 100,
};

static const char GROUP[] = "programs";

/** A report of a turn's end that the partition owner has not acknowledged. */
struct end_report {
	struct list link;
	struct message message;
	int64_t created_us;
	int64_t next_send_us;
};

static void
handle_owners(void *context, const struct store_owners *owners)
{
	struct turns *turns = context;
	struct peer_gateways *peer_gateways = turns->gateway->peer_gateways;
	char vm[NAME_BYTES];

	turns->owners_call = NULL;
	for (size_t i = 0; i < owners->count; i++) {
		if (peer_gateways_add_by_name(
			peer_gateways, owners->owners[i].member, vm))
			peer_gateways_set_partition_owner(
			    peer_gateways, owners->owners[i].partition, vm);
	}
}

void
turns_refresh_owners(struct turns *turns)
{
	int64_t now_us = clock_monotonic_us();

	if (turns->owners_call != NULL ||
	    now_us - turns->owners_requested_us < OWNERS_INTERVAL_US)
		return;
	turns->owners_requested_us = now_us;
	turns->owners_call = store_owners(turns->gateway->store, GROUP,
	    OWNERS_TIMEOUT_US, handle_owners, turns);
}

bool
turns_send_to_owner(
    struct turns *turns, uint32_t partition, struct message *message)
{
	struct gateway *gateway = turns->gateway;
	const char *vm =
	    peer_gateways_partition_owner(gateway->peer_gateways, partition);

	if ((ownership_owned_mask(gateway->ownership) >> partition & 1) != 0)
		vm = gateway->settings.vm_name;
	else if (vm != NULL && strcmp(vm, gateway->settings.vm_name) == 0)
		vm = NULL; /* no longer the owner, and the new one is unknown */
	if (vm != NULL &&
	    peer_gateways_send(gateway->peer_gateways, vm, message))
		return true;
	turns_refresh_owners(turns);
	return false;
}

bool
turns_lack_owners(const struct turns *turns)
{
	const struct gateway *gateway = turns->gateway;
	uint32_t count = (uint32_t)gateway->settings.gateway_partitions;

	/* Before its first lease this gateway knows too little of the others.
	 */
	if (ownership_generation(gateway->ownership) == 0 ||
	    !ownership_store_is_away(gateway->ownership))
		return false;
	for (uint32_t partition = 0; partition < count; partition++) {
		const char *vm = peer_gateways_partition_owner(
		    gateway->peer_gateways, partition);

		if (vm != NULL && strcmp(vm, gateway->settings.vm_name) != 0 &&
		    peer_gateways_is_live(gateway->peer_gateways, vm))
			return false;
	}
	return true;
}

void
turns_introduce_to_owner(struct turns *turns, uint32_t partition)
{
	struct peer_gateways *peer_gateways = turns->gateway->peer_gateways;
	const char *vm =
	    peer_gateways_partition_owner(peer_gateways, partition);

	if (vm != NULL)
		peer_gateways_introduce(peer_gateways, vm);
}

static void
report_free(struct end_report *report)
{
	list_remove(&report->link);
	free(report);
}

static void
report_send(struct turns *turns, struct end_report *report)
{
	const char *program = report->message.turn_end.program;

	report->next_send_us = clock_monotonic_us() + REPORT_RETRY_US;
	turns_send_to_owner(turns, turn_partition_of(turns->gateway, program),
	    &report->message);
}

void
turn_report_spent(struct turn *turn, uint64_t spent)
{
	const struct attributes *attributes = &turn->request->attributes;
	struct turns *turns = turns_of(turn);
	struct end_report *report = xcalloc(1, sizeof(*report));
	struct message_turn_end *end = &report->message.turn_end;

	report->message.type = MESSAGE_TURN_END;
	end->type = TURN_RECORD_ENDED;
	memcpy(end->turn, turn->id, NAME_BYTES);
	memcpy(end->program, turn->program, NAME_BYTES);
	memcpy(end->session, attributes->session, NAME_BYTES);
	memcpy(end->server, turn->request->last_backend, NAME_BYTES);
	end->epoch = turn->epoch;
	end->spent_tokens = spent;
	end->max_tokens = attributes->max_tokens;
	end->budget_tokens = attributes->budget_tokens;
	report->created_us = clock_monotonic_us();
	list_append(&turns->pending_reports, &report->link);
	report_send(turns, report);
}

void
turn_report_retained(struct turn *turn, uint64_t offset, uint32_t bytes)
{
	const struct request *request = turn->request;
	const struct attributes *attributes = &request->attributes;
	struct message message = {.type = MESSAGE_TURN_END};
	struct message_turn_end *end = &message.turn_end;

	end->type = TURN_RECORD_RETAINED;
	memcpy(end->turn, turn->id, NAME_BYTES);
	memcpy(end->program, turn->program, NAME_BYTES);
	memcpy(end->session, attributes->session, NAME_BYTES);
	memcpy(end->previous, turn->previous, NAME_BYTES);
	memcpy(end->server, request->last_backend, NAME_BYTES);
	end->epoch = turn->epoch;
	end->spent_tokens = turn_tokens_spent(request);
	end->max_tokens = attributes->max_tokens;
	end->budget_tokens = attributes->budget_tokens;
	end->offset = offset;
	end->bytes = bytes;
	end->ancestors = turn->chain;
	end->ancestor_count = turn->chain_count;
	turns_send_to_owner(turns_of(turn), turn->partition, &message);
}

void
turns_handle_end_reply(struct turns *turns, const struct message *message)
{
	const struct message_turn_end_reply *reply = &message->turn_end_reply;

	list_for_each_safe (
	    report, tmp, &turns->pending_reports, struct end_report, link) {
		if (strcmp(report->message.turn_end.turn, reply->turn) != 0)
			continue;
		if (reply->is_owner)
			report_free(report);
		else
			turns_refresh_owners(turns);
		return;
	}
}

size_t
turns_pending_reports(const struct turns *turns)
{
	return list_length(&turns->pending_reports);
}

static struct end_report *
next_due_report(struct turns *turns, int64_t now_us)
{
	list_for_each (
	    report, &turns->pending_reports, struct end_report, link) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): relinked */
		if (report->next_send_us <= now_us)
			return report;
	}
	return NULL;
}

static void
handle_report_timer(uv_timer_t *timer)
{
	struct turns *turns = timer->data;
	int64_t now_us = clock_monotonic_us();
	struct end_report *report;

	while ((report = next_due_report(turns, now_us)) != NULL) {
		if (now_us - report->created_us > REPORT_MAX_AGE_US) {
			report_free(report);
			continue;
		}
		turns_refresh_owners(turns);
		report_send(turns, report);
	}
}

void
turns_start_reports(struct turns *turns)
{
	uv_timer_start(turns->report_timer, handle_report_timer,
	    REPORT_CHECK_INTERVAL_MS, REPORT_CHECK_INTERVAL_MS);
}

void
turns_discard_reports(struct turns *turns)
{
	list_for_each_safe (
	    report, tmp, &turns->pending_reports, struct end_report, link)
		report_free(report);
}
