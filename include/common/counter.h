/** @file
 * Counters and latency histograms of one process.
 */
#ifndef COMMON_COUNTER_H
#define COMMON_COUNTER_H

#include <stdint.h>

#include "common/buf.h"
#include "common/refusal.h"

/* name, help text */
#define COUNTER_LIST(X) \
	X(requests_total, "Requests received from callers") \
	X(responses_total, "Whole answers sent to callers") \
	X(tokens_relayed_total, "Generated tokens relayed to callers") \
	X(attempts_total, "Requests sent to backend servers") \
	X(programs_begun_total, "Programs begun") \
	X(programs_ended_total, "Programs ended") \
	X(turns_total, "Turns recorded") \
	X(turns_in_parts_total, "Turns recorded with their content in parts") \
	X(prompt_tokens_total, "Prompt tokens sent to engines") \
	X(cached_tokens_total, "Prompt tokens that engines had cached") \
	X(recomputed_tokens_total, "Prompt tokens computed again") \
	X(kv_releases_total, "Orders to release KV cache") \
	X(log_appends_total, "Appends to the platform log") \
	X(log_append_bytes_total, "Bytes appended to the platform log") \
	X(log_reads_total, "Reads of the platform log") \
	X(log_records_ignored_total, \
	    "Records of keyed topics without a name or value") \
	X(server_list_reads_total, "Reads of the list of backend servers") \
	X(log_read_bytes_total, "Bytes read from the platform log") \
	X(log_records_total, "Records appended to the platform log") \
	X(claims_total, "Ownership claims appended") \
	X(takeovers_total, "Shards taken over from another VM") \
	X(servers_leaving_total, "Servers that said in a response they leave") \
	X(path_losses_total, "Losses of the paths to all backend servers") \
	X(relayed_total, "Requests passed to other gateways") \
	X(relay_failures_total, "Requests that other gateways did not answer") \
	X(permits_granted_total, "Permits given for servers with a limit") \
	X(permits_denied_total, "Permits denied for servers with a limit") \
	X(permits_unanswered_total, "Requests for permits without a reply") \
	X(cap_permits_granted_total, "Permits given for workspaces' requests") \
	X(cap_permits_denied_total, "Permits denied for workspaces' requests") \
	X(cap_permits_leased_total, "Permits leased to VMs ahead of requests") \
	X(cap_permits_returned_total, "Permits given back by other VMs") \
	X(cap_asks_total, "Messages that asked for a workspace's permit") \
	X(cap_unanswered_total, \
	    "Requests for a workspace's permit unanswered") \
	X(cap_share_used_total, "Requests run on this VM's share of a cap") \
	X(responses_paused_total, "Responses paused for slow callers") \
	X(slow_callers_ended_total, "Callers ended to bound memory") \
	X(suspect_crashes_total, "Crashes noted against the requests there") \
	X(suspicions_cleared_total, "Requests cleared since they completed") \
	X(suspect_crashes_known_total, "Crashes that were known already") \
	X(suspect_runs_unresolved_total, "Runs whose outcome was not known") \
	X(suspect_runs_taken_over_total, "Runs of gateways that are gone") \
	X(suspect_held_total, "Requests held back for runs with no outcome") \
	X(suspect_runs_dropped_total, "Runs whose servers live on") \
	X(suspect_runs_recorded_total, "Unfinished runs written to the store") \
	X(suspect_records_dropped_total, "Crashes that were not stored") \
	X(server_probes_total, "Connections that show if a server lives") \
	X(peer_bytes_sent_total, "Bytes sent to other daemons") \
	X(peer_bytes_received_total, "Bytes received from other daemons") \
	X(peer_dropped_total, "Messages to daemons dropped on a full queue") \
	X(config_patches_total, "Configuration patches folded") \
	X(config_rejects_total, "Configuration patches rejected by the fold")

/* name, help text; values in microseconds */
#define HISTOGRAM_LIST(X) \
	X(first_token_us, "Time from request to first byte of the answer") \
	X(inter_token_us, "Time between tokens") \
	X(request_us, "Time from request to end of answer") \
	X(queue_us, "Time a call waited for a backend server") \
	X(durable_us, "Time from end of a turn to its durable record") \
	X(log_append_us, "Time of an append to the platform log") \
	X(config_force_us, "Time from publication of a version to force")

enum {
	HISTOGRAM_SUB_BUCKETS = 8, /**< linear steps within a power of two */
	HISTOGRAM_BUCKETS = 40 * HISTOGRAM_SUB_BUCKETS,
};

/** Log-linear histogram of non-negative integers. A bucket is at most 12.5 % of
 * its lower bound wide, which bounds the error of a quantile. */
struct histogram {
	uint64_t count;
	uint64_t sum;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

/** All counters of a process. */
struct counters {
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t retries[RETRY_COUNT];
	uint64_t attempt_failures[RETRY_COUNT];
#define COUNTER_FIELD(name, help) uint64_t name;
	COUNTER_LIST(COUNTER_FIELD)
#undef COUNTER_FIELD
#define HISTOGRAM_FIELD(name, help) struct histogram name;
	HISTOGRAM_LIST(HISTOGRAM_FIELD)
#undef HISTOGRAM_FIELD
};

/** Adds a value; a negative one counts as 0. */
void histogram_add(struct histogram *histogram, int64_t value);
/** Returns the upper bound of the bucket that holds the quantile (0..1), or 0
 * if the histogram is empty. */
uint64_t histogram_quantile(const struct histogram *histogram, double quantile);
/** Appends all counters in the Prometheus text format. */
void counters_render(const struct counters *counters, struct buf *out);

#endif
