#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/ownership.h"
#include "gateway/partition.h"
#include "gateway/peer_gateways.h"
#include "gateway/recorder.h"

enum {
	JOINS_PER_LEASE = 4,
	/* Joins in flight: one lost reply must not cost the lease. */
	JOINS_IN_FLIGHT_MAX = 4,
	JOIN_TIMEOUT_US = 900 * US_PER_MS,
	/* Time between expiries of old ledger entries. */
	EXPIRE_INTERVAL_US = 1 * US_PER_S,
	TICK_MS = 20,
	/* A tick that is later than this shows that the process got no
	 * processor time. Replies may then lie unread. */
	STALL_US = 200 * US_PER_MS,
};

static const char GROUP[] = "programs";

/** A call that renews the membership of this gateway in the group. */
struct join {
	struct ownership *ownership;
	struct store_call *call; /**< NULL: unused */
	int64_t sent_us;
};

struct ownership {
	struct gateway *gateway;
	struct partition partitions[SETTINGS_PARTITIONS_MAX];
	uint32_t partition_count;
	uint64_t generation; /**< of the newest assignment */
	int64_t lease_us;
	/** End of the lease. Counted from the sending of the join, so that it
	 * is not later than the end that the store counts. */
	int64_t lease_until_us;
	struct join joins[JOINS_IN_FLIGHT_MAX];
	struct store_call *leave_call; /**< NULL: none in progress */
	/** The membership of the process before this one has ended, so that
	 * the first join starts a generation, which is the epoch of what this
	 * process owns. */
	bool predecessor_left;
	int64_t last_expiry_us; /**< last expiry of old ledger entries */
	bool leaving;
	bool join_failed;
	bool suspended; /**< the lease has expired */
	/** A join has failed since the last one that succeeded, and the process
	 * had processor time while the join was in flight. */
	bool store_is_away;
	int64_t last_tick_us;
	int64_t stall_ended_us; /**< end of the last stall; 0: none */
	uv_timer_t *join_timer;
	uv_timer_t *tick_timer;
};

bool
ownership_lease_is_valid(const struct ownership *ownership)
{
	return clock_monotonic_us() < ownership->lease_until_us;
}

bool
ownership_store_is_away(const struct ownership *ownership)
{
	return ownership->store_is_away && !ownership_lease_is_valid(ownership);
}

uint64_t
ownership_generation(const struct ownership *ownership)
{
	return ownership->generation;
}

uint64_t
ownership_owned_mask(const struct ownership *ownership)
{
	uint64_t owned = 0;

	if (!ownership_lease_is_valid(ownership))
		return 0;
	for (uint32_t i = 0; i < ownership->partition_count; i++) {
		if (ownership->partitions[i].assigned)
			owned |= (uint64_t)1 << i;
	}
	return owned;
}

static void
trace_store_state(struct ownership *ownership, enum store_status status)
{
	bool failed = status != STORE_OK;
	struct trace trace;

	if (failed == ownership->join_failed)
		return;
	ownership->join_failed = failed;
	trace_begin_unlimited(
	    &trace, failed ? "dependency_lost" : "dependency_regained");
	trace_text(&trace, "dependency", "store/ownership");
	trace_text(&trace, "store_status", store_status_name(status));
	trace_end(&trace);
}

static bool
is_assigned(const struct store_joined *joined, uint32_t partition)
{
	for (size_t i = 0; i < joined->partition_count; i++) {
		if (joined->partitions[i] == partition)
			return true;
	}
	return false;
}

static void
apply_assignment(struct ownership *ownership, const struct store_joined *joined)
{
	uint64_t owned_before = ownership_owned_mask(ownership);

	for (uint32_t i = 0; i < ownership->partition_count; i++) {
		struct partition *partition = &ownership->partitions[i];
		bool assigned = is_assigned(joined, i);

		if (assigned && !partition->assigned)
			partition_acquire(partition, joined->generation);
		else if (assigned &&
		    (ownership->suspended ||
			(partition->yielded_generation != 0 &&
			    joined->generation >=
				partition->yielded_generation)))
			partition_resume(partition, joined->generation);
		else if (!assigned)
			partition_release(partition);
	}
	ownership->suspended = false;
	if (ownership_owned_mask(ownership) != owned_before)
		peer_gateways_announce_state(ownership->gateway->peer_gateways);
}

void
ownership_handle_claim(
    struct ownership *ownership, uint32_t partition, uint64_t generation)
{
	if (partition < ownership->partition_count &&
	    generation > ownership->generation)
		partition_yield(&ownership->partitions[partition], generation);
}

static void
handle_joined(void *context, const struct store_joined *joined)
{
	struct join *join = context;
	struct ownership *ownership = join->ownership;
	int64_t until_us = join->sent_us + ownership->lease_us;

	join->call = NULL;
	trace_store_state(ownership, joined->status);
	if (joined->status == STORE_OK)
		ownership->store_is_away = false;
	else if (join->sent_us >= ownership->stall_ended_us)
		ownership->store_is_away = true;
	/* The reply to a later join may have arrived before this one. */
	if (joined->status != STORE_OK || ownership->leaving ||
	    joined->generation < ownership->generation)
		return;
	if (until_us > ownership->lease_until_us)
		ownership->lease_until_us = until_us;
	ownership->generation = joined->generation;
	apply_assignment(ownership, joined);
}

static struct join *
find_free_join(struct ownership *ownership)
{
	for (size_t i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		if (ownership->joins[i].call == NULL)
			return &ownership->joins[i];
	}
	return NULL;
}

static void handle_join_timer(uv_timer_t *timer);

static void
handle_predecessor_left(void *context, enum store_status status)
{
	struct ownership *ownership = context;

	ownership->leave_call = NULL;
	trace_store_state(ownership, status);
	ownership->store_is_away = status != STORE_OK;
	if (status != STORE_OK) /* the join timer tries again */
		return;
	ownership->predecessor_left = true;
	handle_join_timer(ownership->join_timer);
}

/* A process that starts again within its lease would be given the partitions
 * under the generation of its predecessor, whose grants it does not know. */
static void
end_predecessor(struct ownership *ownership)
{
	char name[PEER_GATEWAY_NAME_BYTES];

	if (ownership->leave_call != NULL)
		return;
	peer_gateways_self_name(ownership->gateway->peer_gateways, name);
	ownership->leave_call = store_leave(ownership->gateway->store, GROUP,
	    name, JOIN_TIMEOUT_US, handle_predecessor_left, ownership);
}

static void
handle_join_timer(uv_timer_t *timer)
{
	struct ownership *ownership = timer->data;
	struct gateway *gateway = ownership->gateway;
	struct join *join = find_free_join(ownership);
	char name[PEER_GATEWAY_NAME_BYTES];

	if (join == NULL || ownership->leaving)
		return;
	if (!ownership->predecessor_left) {
		end_predecessor(ownership);
		return;
	}
	peer_gateways_self_name(gateway->peer_gateways, name);
	join->sent_us = clock_monotonic_us();
	join->call = store_join(gateway->store, GROUP, name, TOPIC_TURNS,
	    ownership->lease_us, ownership->generation, JOIN_TIMEOUT_US,
	    handle_joined, join);
}

/* After the lease has expired, the store may assign the partitions to another
 * VM. The ledgers are kept: if the partitions come back to this VM, only the
 * records that were appended since have to be read. */
static void
suspend_if_expired(struct ownership *ownership)
{
	if (ownership->suspended || ownership->generation == 0 ||
	    ownership_lease_is_valid(ownership))
		return;
	ownership->suspended = true;
	for (uint32_t i = 0; i < ownership->partition_count; i++)
		partition_reply_pending(&ownership->partitions[i]);
	peer_gateways_announce_state(ownership->gateway->peer_gateways);
}

static void
note_stall(struct ownership *ownership, int64_t now_us)
{
	if (ownership->last_tick_us != 0 &&
	    now_us - ownership->last_tick_us > STALL_US) {
		ownership->stall_ended_us = now_us;
		ownership->store_is_away = false;
	}
	ownership->last_tick_us = now_us;
}

static void
handle_tick(uv_timer_t *timer)
{
	struct ownership *ownership = timer->data;
	int64_t now_us = clock_monotonic_us();
	bool expire = now_us - ownership->last_expiry_us > EXPIRE_INTERVAL_US;

	note_stall(ownership, now_us);
	suspend_if_expired(ownership);
	if (expire)
		ownership->last_expiry_us = now_us;
	for (uint32_t i = 0; i < ownership->partition_count; i++)
		partition_tick(&ownership->partitions[i], now_us, expire);
}

static void
cancel_joins(struct ownership *ownership)
{
	for (size_t i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		if (ownership->joins[i].call != NULL)
			store_cancel(ownership->joins[i].call);
		ownership->joins[i].call = NULL;
	}
}

static void
handle_left(void *context, enum store_status status)
{
	struct ownership *ownership = context;

	(void)status; /* after a failure the lease just expires */
	ownership->leave_call = NULL;
}

void
ownership_leave(struct ownership *ownership)
{
	struct gateway *gateway = ownership->gateway;
	char name[PEER_GATEWAY_NAME_BYTES];

	if (ownership->leaving)
		return;
	ownership->leaving = true;
	cancel_joins(ownership);
	if (ownership->leave_call != NULL)
		store_cancel(ownership->leave_call);
	for (uint32_t i = 0; i < ownership->partition_count; i++)
		partition_release(&ownership->partitions[i]);
	peer_gateways_self_name(gateway->peer_gateways, name);
	ownership->leave_call = store_leave(gateway->store, GROUP, name,
	    JOIN_TIMEOUT_US, handle_left, ownership);
}

static struct partition *
partition_of(struct ownership *ownership, const char *program)
{
	return &ownership->partitions[hash_text(program, 0) %
	    ownership->partition_count];
}

void
ownership_handle_message(
    struct ownership *ownership, const struct message *message)
{
	switch (message->type) {
	case MESSAGE_TURN_BEGIN:
		partition_handle_request(
		    partition_of(ownership, message->turn_begin.program),
		    message);
		return;
	case MESSAGE_TURN_FIND:
		if (message->turn_find.partition < ownership->partition_count)
			partition_handle_request(
			    &ownership
				 ->partitions[message->turn_find.partition],
			    message);
		return;
	case MESSAGE_TURN_END:
		partition_handle_turn_end(
		    partition_of(ownership, message->turn_end.program),
		    message);
		return;
	default:
		return;
	}
}

static uv_timer_t *
create_timer(struct ownership *ownership, uv_timer_cb handler, uint64_t ms)
{
	uv_timer_t *timer = xcalloc(1, sizeof(*timer));

	uv_timer_init(&ownership->gateway->loop, timer);
	timer->data = ownership;
	uv_timer_start(timer, handler, 0, ms);
	return timer;
}

struct ownership *
ownership_create(struct gateway *gateway)
{
	struct ownership *ownership = xcalloc(1, sizeof(*ownership));

	ownership->gateway = gateway;
	ownership->partition_count =
	    (uint32_t)gateway->settings.gateway_partitions;
	ownership->lease_us = gateway->settings.gateway_lease_us;
	for (uint32_t i = 0; i < ownership->partition_count; i++)
		partition_init(&ownership->partitions[i], gateway, i);
	for (size_t i = 0; i < JOINS_IN_FLIGHT_MAX; i++)
		ownership->joins[i].ownership = ownership;
	ownership->join_timer = create_timer(ownership, handle_join_timer,
	    (uint64_t)(ownership->lease_us / JOINS_PER_LEASE / US_PER_MS));
	ownership->tick_timer = create_timer(ownership, handle_tick, TICK_MS);
	return ownership;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
ownership_destroy(struct ownership *ownership)
{
	cancel_joins(ownership);
	if (ownership->leave_call != NULL)
		store_cancel(ownership->leave_call);
	for (uint32_t i = 0; i < ownership->partition_count; i++)
		partition_reset(&ownership->partitions[i]);
	uv_close((uv_handle_t *)ownership->join_timer, handle_timer_closed);
	uv_close((uv_handle_t *)ownership->tick_timer, handle_timer_closed);
	free(ownership);
}
