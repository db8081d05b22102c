#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "dispatch/cap_leases.h"
#include "dispatch/caps.h"
#include "dispatch/fleet_share.h"
#include "gateway/peer_gateways.h"
#include "gateway/request.h"
#include "gateway/workspace_caps.h"

enum {
	/* Some round trips between regions. */
	REPLY_TIMEOUT_US = 100 * US_PER_MS,
	/* Part of the route's latency target that a request may wait. */
	TARGET_DIVISOR = 4,
	/* A round trip between regions, by which a permit arrives later than it
	 * was issued. */
	ROUND_TRIP_US = 16 * US_PER_MS,
	/* Another VM coordinates the workspace by then, or the same one has
	 * been asked again. */
	RETRY_AFTER_US = 300 * US_PER_MS,
	/* The share is counted again after this time, also between ticks: a
	 * process that was frozen hears requests before its timers. */
	SHARE_COUNTED_US = 200 * US_PER_MS,
	WHY_BYTES = 160,
};

/* Rates are sent to other gateways as requests in 1000 s, bursts in thousandths
 * of a request. */
static const double MILLI = 1000;

struct workspace_caps {
	struct gateway *gateway;
	struct caps caps;         /**< issued by this gateway */
	struct cap_leases leases; /**< issued to it */
	struct fleet_share fleet;
	int64_t fleet_counted_us;
	struct cap_wait *waiting; /**< uthash by number */
	uint64_t last_number;
};

/** A coordinator's reply to a request for a permit. */
struct cap_answer {
	const char *coordinator;
	uint32_t result; /**< enum cap_result or enum cap_reply */
	int64_t wait_us;
	uint32_t leased;
	bool began_program;
	struct cap cap;
	double demand_per_s;
};

struct workspace_caps *
workspace_caps_create(struct gateway *gateway)
{
	struct workspace_caps *workspace_caps =
	    xcalloc(1, sizeof(*workspace_caps));

	workspace_caps->gateway = gateway;
	caps_init(&workspace_caps->caps);
	cap_leases_init(&workspace_caps->leases);
	return workspace_caps;
}

void
workspace_caps_destroy(struct workspace_caps *workspace_caps)
{
	caps_reset(&workspace_caps->caps);
	cap_leases_reset(&workspace_caps->leases);
	fleet_share_reset(&workspace_caps->fleet);
	free(workspace_caps);
}

static uint64_t
workspace_hash(const char *name)
{
	return hash_text(name, 0);
}

static uint64_t
program_hash(const struct request *request)
{
	const char *program = request->attributes.program;

	if (program[0] == '\0')
		return 0;
	return hash_text(program, workspace_hash(request->workspace->name));
}

static struct cap
cap_of(const struct gateway_config *config, const struct workspace *workspace)
{
	return (struct cap){
	    .version = config->version,
	    .per_s = workspace->rate_per_s,
	    .burst = workspace->burst,
	};
}

static struct message_workspace_cap
encode_cap(const struct cap *cap)
{
	return (struct message_workspace_cap){
	    .version = cap->version,
	    .per_1000_s = (uint64_t)(cap->per_s * MILLI),
	    .burst_1000 = (uint64_t)(cap->burst * MILLI),
	};
}

static struct cap
decode_cap(const struct message_workspace_cap *cap)
{
	return (struct cap){
	    .version = cap->version,
	    .per_s = (double)cap->per_1000_s / MILLI,
	    .burst = (double)cap->burst_1000 / MILLI,
	};
}

/* Replaces a cap by the one that this gateway's configuration declares, if that
 * is newer. A workspace that it does not have keeps its cap for the requests
 * that began under an earlier version. */
static void
apply_own_version(
    const struct gateway *gateway, const char *name, struct cap *cap)
{
	const struct gateway_config *config = gateway->blackboard.config;
	struct workspace *workspace = NULL;

	if (config == NULL || config->version <= cap->version)
		return;
	HASH_FIND_STR(config->workspaces, name, workspace);
	if (workspace != NULL)
		*cap = cap_of(config, workspace);
}

static void
count_fleet(struct workspace_caps *workspace_caps, int64_t now_us)
{
	const struct peer_gateways *peer_gateways =
	    workspace_caps->gateway->peer_gateways;
	struct fleet_share *fleet = &workspace_caps->fleet;

	fleet_share_begin(fleet);
	for (size_t i = 0; i < peer_gateways_known(peer_gateways); i++) {
		struct peer_sign sign = peer_gateways_sign(peer_gateways, i);
		uint64_t vm = hash_text(sign.vm, 0);

		if (sign.is_stopping)
			fleet_share_remove(fleet, vm);
		else
			fleet_share_count(fleet, vm, sign.seen_us, sign.live);
	}
	fleet_share_end(fleet, now_us);
	workspace_caps->fleet_counted_us = now_us;
}

/* Returns the share of a cap that this gateway may issue as a coordinator; 0 if
 * it cannot know how many others there are. */
static double
own_share(struct workspace_caps *workspace_caps, int64_t now_us)
{
	const struct fleet_share *fleet = &workspace_caps->fleet;

	if (now_us - workspace_caps->fleet_counted_us >= SHARE_COUNTED_US)
		count_fleet(workspace_caps, now_us);
	if (!peer_gateways_list_is_read(
		workspace_caps->gateway->peer_gateways) &&
	    fleet->reached == 1)
		return 0;
	return caps_share(fleet->reached, fleet->known);
}

static const char *
coordinator_of(const struct workspace_caps *workspace_caps, uint64_t workspace)
{
	return peer_gateways_coordinator(
	    workspace_caps->gateway->peer_gateways, workspace, "");
}

static bool
coordinates(void *context, uint64_t workspace)
{
	const struct workspace_caps *workspace_caps = context;

	return strcmp(coordinator_of(workspace_caps, workspace),
		   workspace_caps->gateway->settings.vm_name) == 0;
}

static void
trace_state(const struct workspace_caps *workspace_caps, const char *event,
    const char *name, uint64_t workspace)
{
	struct cap_state state;
	struct trace trace;

	if (!caps_state(&workspace_caps->caps, workspace, &state))
		return;
	trace_begin(&trace, event);
	trace_text(&trace, "workspace", name);
	trace_number(
	    &trace, "cap_per_1000_s", (int64_t)(state.cap.per_s * MILLI));
	trace_number(&trace, "burst", (int64_t)state.cap.burst);
	trace_number(
	    &trace, "demand_per_1000_s", (int64_t)(state.demand_per_s * MILLI));
	trace_number(&trace, "program_requests_1000",
	    (int64_t)(state.program_requests * MILLI));
	trace_number(&trace, "refused", (int64_t)state.refused);
	trace_number(
	    &trace, "vms_reached", (int64_t)workspace_caps->fleet.reached);
	trace_number(&trace, "vms_known", (int64_t)workspace_caps->fleet.known);
	trace_end(&trace);
}

/* Issues a permit of this gateway, if it coordinates the workspace. */
static struct cap_answer
issue(struct workspace_caps *workspace_caps, const char *name,
    struct cap_claim *claim)
{
	struct gateway *gateway = workspace_caps->gateway;
	int64_t now_us = clock_monotonic_us();
	struct cap_answer answer = {
	    .coordinator = gateway->settings.vm_name,
	    .result = CAP_REPLY_NOT_COORDINATOR,
	};
	struct cap_permit permit;
	struct cap_state state;

	apply_own_version(gateway, name, &claim->cap);
	answer.cap = claim->cap;
	claim->share = own_share(workspace_caps, now_us);
	if (claim->share == 0 || !coordinates(workspace_caps, claim->workspace))
		return answer;
	permit = caps_take(&workspace_caps->caps, claim, now_us);
	if (permit.result == CAP_GRANTED)
		gateway->counters.cap_permits_granted_total++;
	else
		gateway->counters.cap_permits_denied_total++;
	gateway->counters.cap_permits_leased_total += permit.leased;
	if (permit.begins_to_bind)
		trace_state(workspace_caps, "workspace_cap_binds", name,
		    claim->workspace);
	answer.result = permit.result;
	answer.wait_us = permit.wait_us;
	answer.leased = permit.leased;
	answer.began_program = permit.began_program;
	if (caps_state(&workspace_caps->caps, claim->workspace, &state)) {
		answer.cap = state.cap;
		answer.demand_per_s = state.demand_per_s;
	}
	return answer;
}

static struct cap_claim
claim_of(const struct request *request, int64_t now_us)
{
	struct workspace_caps *workspace_caps =
	    request->gateway->workspace_caps;
	int64_t max_wait_us =
	    request->cap_wait.give_up_us - now_us - ROUND_TRIP_US;
	struct cap_claim claim = {
	    .workspace = workspace_hash(request->workspace->name),
	    .cap = cap_of(request->config, request->workspace),
	    .program = program_hash(request),
	    .has_begun = request->attributes.previous_turn[0] != '\0',
	    .max_wait_us = max_wait_us > 0 ? max_wait_us : 0,
	};

	cap_leases_fill_claim(&workspace_caps->leases, &claim, now_us);
	return claim;
}

static void
start_wait(struct request *request, int64_t now_us)
{
	struct workspace_caps *workspace_caps =
	    request->gateway->workspace_caps;
	struct cap_wait *wait = &request->cap_wait;
	int64_t target_us = request->route->latency_target_us;

	if (target_us > request->deadline_us - request->received_us)
		target_us = request->deadline_us - request->received_us;
	wait->number = ++workspace_caps->last_number;
	wait->give_up_us = request->received_us + target_us / TARGET_DIVISOR;
	/* The request may have been at another gateway before. */
	if (wait->give_up_us < now_us + ROUND_TRIP_US)
		wait->give_up_us = now_us + ROUND_TRIP_US;
	wait->granted = false;
	HASH_ADD(
	    hh, workspace_caps->waiting, number, sizeof(wait->number), wait);
}

void
workspace_caps_cancel(struct request *request)
{
	struct cap_wait *wait = &request->cap_wait;

	if (wait->number == 0)
		return;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(request->gateway->workspace_caps->waiting, wait);
	wait->number = 0;
}

static void
refuse(struct request *request, const struct cap_answer *answer)
{
	char why[WHY_BYTES];

	snprintf(why, sizeof(why),
	    "%scap of %.2f per s and %.0f at once, %.2f per s asked for, by "
	    "%.63s",
	    answer->result == CAP_PROGRAM_REFUSED ? "new program: " : "",
	    answer->cap.per_s, answer->cap.burst, answer->demand_per_s,
	    answer->coordinator);
	request_refuse(request, REFUSAL_WORKSPACE_CAP, answer->wait_us, why);
}

static void
wait_until(struct request *request, int64_t due_us)
{
	const struct cap_wait *wait = &request->cap_wait;

	request->stage_due_us =
	    due_us < wait->give_up_us ? due_us : wait->give_up_us;
}

static void
hold_permit(struct request *request, const struct cap_answer *answer)
{
	struct cap_wait *wait = &request->cap_wait;
	int64_t now_us = clock_monotonic_us();

	wait->has_permit = true;
	wait->began_program = answer->began_program;
	snprintf(wait->coordinator, NAME_BYTES, "%s", answer->coordinator);
	cap_leases_add(&request->gateway->workspace_caps->leases,
	    workspace_hash(request->workspace->name), program_hash(request),
	    answer->leased, now_us);
}

/* Handles a coordinator's answer to a request that waits. */
static enum stage_result
apply_answer(struct request *request, const struct cap_answer *answer)
{
	int64_t now_us = clock_monotonic_us();

	switch (answer->result) {
	case CAP_GRANTED:
		hold_permit(request, answer);
		if (answer->wait_us == 0) {
			workspace_caps_cancel(request);
			return STAGE_PASSED;
		}
		request->cap_wait.granted = true;
		request->stage_due_us = now_us + answer->wait_us;
		return STAGE_WAITING;
	case CAP_REFUSED:
	case CAP_PROGRAM_REFUSED:
		refuse(request, answer);
		return STAGE_ENDED;
	case CAP_REPLY_NOT_COORDINATOR:
	default:
		/* VMs disagree until the heartbeats have arrived. */
		wait_until(request, now_us + REPLY_TIMEOUT_US);
		return STAGE_WAITING;
	}
}

static void
send_claim(struct request *request, const struct cap_claim *claim,
    const char *coordinator)
{
	struct gateway *gateway = request->gateway;
	struct message message = {.type = MESSAGE_CAP_GET};
	struct message_cap_get *get = &message.cap_get;

	get->number = request->cap_wait.number;
	memcpy(get->workspace, request->workspace->name, NAME_BYTES);
	get->cap = encode_cap(&claim->cap);
	get->program = claim->program;
	get->has_begun = claim->has_begun;
	get->max_wait_us = claim->max_wait_us;
	get->wanted = claim->wanted;
	get->used = claim->used;
	gateway->counters.cap_asks_total++;
	peer_gateways_send(gateway->peer_gateways, coordinator, &message);
}

static enum stage_result
ask(struct request *request)
{
	struct gateway *gateway = request->gateway;
	struct workspace_caps *workspace_caps = gateway->workspace_caps;
	int64_t now_us = clock_monotonic_us();
	struct cap_claim claim = claim_of(request, now_us);
	const char *coordinator =
	    coordinator_of(workspace_caps, claim.workspace);
	struct cap_answer answer;

	if (strcmp(coordinator, gateway->settings.vm_name) == 0) {
		answer =
		    issue(workspace_caps, request->workspace->name, &claim);
		return apply_answer(request, &answer);
	}
	send_claim(request, &claim, coordinator);
	wait_until(request, now_us + REPLY_TIMEOUT_US);
	return STAGE_WAITING;
}

enum stage_result
workspace_caps_enter(struct request *request)
{
	const struct workspace *workspace = request->workspace;
	int64_t now_us;

	if (workspace == NULL || workspace->rate_per_s <= 0 ||
	    request->cap_wait.has_permit)
		return STAGE_PASSED;
	now_us = clock_monotonic_us();
	if (cap_leases_take(&request->gateway->workspace_caps->leases,
		workspace_hash(workspace->name), program_hash(request),
		now_us)) {
		request->cap_wait.has_permit = true;
		return STAGE_PASSED;
	}
	start_wait(request, now_us);
	return ask(request);
}

/* Takes a permit of this gateway's own share, as no coordinator replies. */
static bool
take_share(struct request *request, int64_t now_us)
{
	struct workspace_caps *workspace_caps =
	    request->gateway->workspace_caps;
	const struct cap cap = cap_of(request->config, request->workspace);

	if (own_share(workspace_caps, now_us) == 0 ||
	    !cap_leases_take_share(&workspace_caps->leases,
		workspace_hash(request->workspace->name), &cap,
		caps_share(1, workspace_caps->fleet.known), now_us))
		return false;
	request->gateway->counters.cap_share_used_total++;
	request->cap_wait.has_permit = true;
	return true;
}

static void
finish_step(struct request *request, enum stage_result result)
{
	switch (result) {
	case STAGE_PASSED:
		stage_resume(request);
		return;
	case STAGE_WAITING:
		request_arm_timer(request);
		return;
	case STAGE_ENDED:
		return;
	}
}

static void
handle_unanswered(struct request *request)
{
	int64_t now_us = clock_monotonic_us();

	request->gateway->counters.cap_unanswered_total++;
	if (take_share(request, now_us)) {
		workspace_caps_cancel(request);
		stage_resume(request);
		return;
	}
	if (now_us >= request->cap_wait.give_up_us) {
		request_refuse(request, REFUSAL_CAP_UNREACHABLE, RETRY_AFTER_US,
		    "no permit for the workspace in time");
		return;
	}
	finish_step(request, ask(request));
}

void
workspace_caps_handle_due(struct request *request)
{
	if (!request->cap_wait.granted) {
		handle_unanswered(request);
		return;
	}
	workspace_caps_cancel(request);
	stage_resume(request);
}

static void
send_return(struct request *request, const char *coordinator)
{
	struct message message = {.type = MESSAGE_CAP_GET};
	struct message_cap_get *get = &message.cap_get;

	get->returned = true;
	get->began_program = request->cap_wait.began_program;
	get->program = program_hash(request);
	memcpy(get->workspace, request->workspace->name, NAME_BYTES);
	peer_gateways_send(
	    request->gateway->peer_gateways, coordinator, &message);
}

void
workspace_caps_return_permit(struct request *request)
{
	struct workspace_caps *workspace_caps =
	    request->gateway->workspace_caps;
	struct cap_wait *wait = &request->cap_wait;

	if (!wait->has_permit)
		return;
	wait->has_permit = false;
	/* Leased permits count as used when they are issued. */
	if (wait->coordinator[0] == '\0')
		return;
	if (strcmp(wait->coordinator, request->gateway->settings.vm_name) == 0)
		caps_give_back(&workspace_caps->caps,
		    workspace_hash(request->workspace->name),
		    program_hash(request), wait->began_program);
	else
		send_return(request, wait->coordinator);
}

static void
handle_get(struct workspace_caps *workspace_caps, const struct message *message)
{
	struct gateway *gateway = workspace_caps->gateway;
	const struct message_cap_get *get = &message->cap_get;
	struct cap_claim claim = {
	    .workspace = workspace_hash(get->workspace),
	    .cap = decode_cap(&get->cap),
	    .program = get->program,
	    .has_begun = get->has_begun,
	    .max_wait_us = get->max_wait_us,
	    .wanted = get->wanted,
	    .used = get->used,
	};
	struct message reply = {.type = MESSAGE_CAP};
	struct cap_answer answer;

	if (get->returned) {
		gateway->counters.cap_permits_returned_total++;
		caps_give_back(&workspace_caps->caps, claim.workspace,
		    get->program, get->began_program);
		return;
	}
	answer = issue(workspace_caps, get->workspace, &claim);
	reply.cap = (struct message_cap){
	    .number = get->number,
	    .result = answer.result,
	    .wait_us = answer.wait_us,
	    .leased = answer.leased,
	    .cap = encode_cap(&answer.cap),
	    .demand_per_1000_s = (uint64_t)(answer.demand_per_s * MILLI),
	    .began_program = answer.began_program,
	    .workspace_hash = claim.workspace,
	};
	peer_gateways_send(gateway->peer_gateways, message->sender, &reply);
}

/* Keeps a permit whose request has ended for the next one. */
static void
keep_late_permit(
    struct workspace_caps *workspace_caps, const struct message_cap *reply)
{
	if (reply->result == CAP_GRANTED)
		cap_leases_add(&workspace_caps->leases, reply->workspace_hash,
		    0, 1 + reply->leased, clock_monotonic_us());
}

static void
handle_reply(
    struct workspace_caps *workspace_caps, const struct message *message)
{
	const struct message_cap *reply = &message->cap;
	const struct cap_answer answer = {
	    .coordinator = message->sender,
	    .result = reply->result,
	    .wait_us = reply->wait_us,
	    .leased = reply->leased,
	    .began_program = reply->began_program,
	    .cap = decode_cap(&reply->cap),
	    .demand_per_s = (double)reply->demand_per_1000_s / MILLI,
	};
	struct cap_wait *wait = NULL;
	struct request *request;

	HASH_FIND(hh, workspace_caps->waiting, &reply->number,
	    sizeof(reply->number), wait);
	if (wait == NULL || wait->granted) {
		keep_late_permit(workspace_caps, reply);
		return;
	}
	request = list_entry(wait, struct request, cap_wait);
	finish_step(request, apply_answer(request, &answer));
}

void
workspace_caps_handle_message(
    struct workspace_caps *workspace_caps, const struct message *message)
{
	switch (message->type) {
	case MESSAGE_CAP_GET:
		handle_get(workspace_caps, message);
		return;
	case MESSAGE_CAP:
		handle_reply(workspace_caps, message);
		return;
	default:
		return;
	}
}

/* Returns the name of a workspace from its hash, or NULL. */
static const char *
find_name(const struct gateway *gateway, uint64_t workspace)
{
	if (gateway->blackboard.config == NULL)
		return NULL;
	for (const struct workspace *at =
		 gateway->blackboard.config->workspaces;
	     at != NULL; at = at->hh.next) {
		if (workspace_hash(at->name) == workspace)
			return at->name;
	}
	return NULL;
}

void
workspace_caps_tick(struct workspace_caps *workspace_caps)
{
	int64_t now_us = clock_monotonic_us();
	uint64_t workspace;

	count_fleet(workspace_caps, now_us);
	caps_keep(&workspace_caps->caps, coordinates, workspace_caps);
	cap_leases_expire(&workspace_caps->leases, now_us);
	while ((workspace =
		       caps_next_released(&workspace_caps->caps, now_us)) != 0)
		trace_state(workspace_caps, "workspace_cap_released",
		    find_name(workspace_caps->gateway, workspace), workspace);
}
