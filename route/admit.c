#include "route/admit.h"

enum {
	ADMIT_WAIT_US = 20 * US_PER_S,    /**< longest wait of a new program */
	ADMIT_GIVE_UP_US = 60 * US_PER_S, /**< a new program is refused then */
	ADMIT_QUEUE_MAX = 10000,          /**< calls waiting on one VM */
};

/** Share of a server's memory above which it begins no programs. */
static const double ADMIT_PRESSURE = 0.75;
static const double ADMIT_STARVING_PRESSURE = 0.9; /**< after a long wait */
/** Share of memory over which the chance to begin a program falls to none. */
static const double ADMIT_SLOPE = 0.1;
/** Share of its batch above which it begins no programs. */
static const double ADMIT_RUNNING = 0.7;

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
	if (queue_start_wait_us(queue, now_us) > ADMIT_WAIT_US)
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
	    now_us - call->submitted_us >= ADMIT_GIVE_UP_US;
}

bool
admit_program_start(const struct route_server *server,
    const struct sched_policy *policy, int64_t waited_us)
{
	double limit = ADMIT_PRESSURE;
	double room = server->config.max_running * ADMIT_RUNNING;

	if (policy->no_admission || server->reported_us == 0)
		return true;
	/* Other VMs see the same room: one program a report, by chance. */
	if (server->last_program_start_us > server->load.measured_us)
		return false;
	if (waited_us >= QUEUE_STARVATION_US)
		limit = ADMIT_STARVING_PRESSURE;
	else if ((double)server_estimated_calls(server, policy) >= room)
		return false;
	return server->admission_draw * ADMIT_SLOPE <
	    limit - server_kv_utilization(server);
}
