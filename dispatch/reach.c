#include "dispatch/reach.h"
#include "common/clock.h"

enum {
	/* Failures that are further apart than this have different causes. */
	EVIDENCE_US = 5 * US_PER_S,
	/* Longer than the time between events of concurrent streams; sound
	 * servers may still be silent for longer now and then. */
	SILENCE_US = 300 * US_PER_MS,
	SILENT_SERVERS = 2,
	PROBE_INTERVAL_US = 250 * US_PER_MS,
	/* A VM can take the requests of two others beside its own. */
	TAKEOVER_DIVISOR = 3,
};

static bool
has_failed(const struct reach *reach, uint64_t server)
{
	for (size_t i = 0; i < reach->failed_count; i++) {
		if (reach->failed[i] == server)
			return true;
	}
	return false;
}

bool
reach_handle_failure(
    struct reach *reach, uint64_t server, size_t server_count, int64_t now_us)
{
	size_t needed =
	    server_count < REACH_EVIDENCE ? server_count : REACH_EVIDENCE;

	if (now_us - reach->last_failure_us > EVIDENCE_US)
		reach->failed_count = 0;
	reach->last_failure_us = now_us;
	if (reach->failed_count < REACH_EVIDENCE && !has_failed(reach, server))
		reach->failed[reach->failed_count++] = server;
	/* A single server that fails says nothing of the paths. */
	if (reach->lost || needed < 2 || reach->failed_count < needed)
		return false;
	reach->lost = true;
	reach->next_probe_us = now_us + PROBE_INTERVAL_US;
	return true;
}

bool
reach_handle_reached(struct reach *reach, int64_t now_us)
{
	bool was_lost = reach->lost;

	reach->lost = false;
	reach->silent = false;
	reach->failed_count = 0;
	reach->last_byte_us = now_us;
	return was_lost;
}

void
reach_handle_bytes(struct reach *reach, int64_t now_us)
{
	reach->last_byte_us = now_us;
	reach->silent = false;
}

int64_t
reach_silence_start_us(int64_t now_us)
{
	return now_us - SILENCE_US;
}

void
reach_check_silence(struct reach *reach, size_t waiting_servers, int64_t now_us)
{
	reach->silent = waiting_servers >= SILENT_SERVERS &&
	    reach->last_byte_us < reach_silence_start_us(now_us);
}

bool
reach_needs_new_connection(const struct reach *reach, int64_t now_us)
{
	/* Kept connections may live on while new ones fail. */
	if (reach->lost)
		return reach->last_byte_us < reach_silence_start_us(now_us);
	return reach->failed_count > 0 || reach->silent;
}

bool
reach_probe_is_due(struct reach *reach, int64_t now_us)
{
	if (!reach->lost || now_us < reach->next_probe_us)
		return false;
	reach->next_probe_us = now_us + PROBE_INTERVAL_US;
	return true;
}

int
reach_choose_distance(const struct reach_group *groups, size_t count)
{
	size_t live = 0;
	size_t reaching = 0;

	for (size_t i = 0; i < count; i++) {
		live += groups[i].live;
		reaching += groups[i].reaching;
		if (reaching > 0 && reaching * TAKEOVER_DIVISOR >= live)
			return (int)i;
	}
	return reaching > 0 ? (int)count - 1 : -1;
}

size_t
reach_choose_candidate(
    const struct reach_candidate *candidates, size_t count, struct rng *rng)
{
	size_t first = rng_below(rng, count);
	size_t second = first;

	if (count > 1)
		second = (first + 1 + rng_below(rng, count - 1)) % count;
	return candidates[second].running < candidates[first].running
	    ? candidates[second].at
	    : candidates[first].at;
}
