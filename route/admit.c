#include "route/admit.h"

enum {
	/** new programs are refused while one has waited longer */
	ADMIT_START_WAIT_MAX_US = 20 * US_PER_S,
	/** wait after which a queued new program is refused */
	ADMIT_START_TIMEOUT_US = 60 * US_PER_S,
	ADMIT_QUEUE_MAX = 10000, /**< calls waiting on this VM */
};

/** Share of a server's KV memory in use from which it starts no programs. */
static const double ADMIT_KV_UTILIZATION_MAX = 0.75;
/** The same limit for calls that have waited for QUEUE_STARVATION_US. */
static const double ADMIT_STARVING_KV_UTILIZATION_MAX = 0.9;
/** Width of the range below the limit in which the probability to start a
 * program falls linearly from 1 to 0, as a share of KV memory. */
static const double ADMIT_RAMP_WIDTH = 0.1;
/** Share of a server's batch in use from which it starts no programs. */
static const double ADMIT_BATCH_SHARE_MAX = 0.7;

bool
admit_call(const struct route_queue *queue, const struct sched_policy *policy,
    const struct route_call *call, int64_t now_us, enum refusal *reason)
{
	if (call->request.deadline_us <= now_us) {
		*reason = REFUSAL_DEADLINE;
		return false;
	}
	if (policy->no_admission)
		return true;
	*reason = REFUSAL_OVERLOADED;
	if (queue->count >= ADMIT_QUEUE_MAX)
		return false;
	if (!queue_starts_program(call))
		return true;
	if (queue_start_wait_us(queue, now_us) > ADMIT_START_WAIT_MAX_US)
		return false;
	return call->request.deadline_us - now_us >
	    queue_start_wait_us(queue, now_us);
}

bool
admit_expired(
    const struct route_call *call, int64_t now_us, enum refusal *reason)
{
	*reason = REFUSAL_DEADLINE;
	if (call->request.deadline_us <= now_us)
		return true;
	*reason = REFUSAL_OVERLOADED;
	return queue_starts_program(call) && call->attempts == 0 &&
	    now_us - call->submitted_us >= ADMIT_START_TIMEOUT_US;
}

bool
admit_program_start(const struct route_server *server,
    const struct sched_policy *policy, int64_t waited_us)
{
	double limit = ADMIT_KV_UTILIZATION_MAX;
	double max_calls = server->config.max_running * ADMIT_BATCH_SHARE_MAX;

	if (policy->no_admission || server->reported_us == 0)
		return true;
	/* All VMs see the same free memory in a report. To keep them from
	 * overfilling the server, each starts at most one program per report,
	 * with a probability that falls as the memory fills. */
	if (server->last_program_start_us > server->load.measured_us)
		return false;
	if (waited_us >= QUEUE_STARVATION_US)
		limit = ADMIT_STARVING_KV_UTILIZATION_MAX;
	else if ((double)server_estimated_calls(server, policy) >= max_calls)
		return false;
	return server->admission_draw * ADMIT_RAMP_WIDTH <
	    limit - server_kv_utilization(server);
}
