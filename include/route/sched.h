/** @file
 * Scheduler of model calls on backend servers: admission, order of waiting
 * calls, choice of server, KV cache retention during pauses, and retries. It
 * does no I/O, so that the daemon and `guavakeel experiment` share the code.
 */
#ifndef ROUTE_SCHED_H
#define ROUTE_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/rng.h"
#include "config/config.h"

struct sched;

/** How a server is chosen for a call. */
enum sched_routing {
	SCHED_ROUTE_COST, /**< lowest expected cost among a few candidates */
	SCHED_ROUTE_RANDOM,
	SCHED_ROUTE_ROUND_ROBIN,
	SCHED_ROUTE_LEAST_LOADED,
	SCHED_ROUTE_TWO_CHOICES,
	SCHED_ROUTE_AFFINITY, /**< prefix affinity with a load bound */
};

/** Order of waiting calls, in this VM's queue and in the engine. */
enum sched_order {
	SCHED_ORDER_PROGRAM, /**< urgent calls first, then least attained
				service of the program */
	SCHED_ORDER_FCFS,
};

/** How long KV caches of pausing programs are kept. */
enum sched_cache_retention {
	SCHED_RETAIN_LEARNED, /**< by the tool's past pauses */
	SCHED_RETAIN_ALWAYS,
	SCHED_RETAIN_NEVER,
};

/** Scheduling policy. All zero is the policy of the product; other values serve
 * as baselines in `guavakeel experiment`. */
struct sched_policy {
	enum sched_routing routing;
	enum sched_order order;
	enum sched_cache_retention cache_retention;
	bool no_admission;       /**< never refuse or hold back a new program */
	bool no_load_correction; /**< ignore this VM's calls sent since the last
				    load report */
	bool no_decode_speed;    /**< ignore each server's measured speed */
	bool no_waste_price;     /**< ignore limits.wasted_token_cost_us */
};

/** Options of sched_create(). */
struct sched_options {
	const char *region;         /**< of this VM */
	const char *failure_domain; /**< of this VM */
	struct counters *counters;
	uint64_t seed;
	struct sched_policy policy;
};

/** A model call to schedule. */
struct sched_request {
	uint64_t call_id; /**< chosen by the caller; the `handle` of the
			   * functions below */
	char program[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char model[NAME_BYTES];
	char adapter[NAME_BYTES];
	uint64_t fingerprint; /**< hash of the request's content */
	uint64_t turn;        /**< number of the turn, from 1 */
	/** prompt tokens that earlier turns already had */
	uint64_t history_tokens;
	uint64_t new_tokens;      /**< prompt tokens added by this turn */
	uint64_t max_tokens;      /**< limit of generated tokens */
	int64_t program_begun_us; /**< local time of the program's start */
	uint64_t program_served_tokens; /**< tokens processed for the program so
					   far */
	int64_t deadline_us;            /**< local time; INT64_MAX: none */
	bool urgent;
	bool sub_agent; /**< whether the program is a sub-agent's */
};

/** Result of sched_submit(). */
enum sched_submit_result {
	SCHED_QUEUED,
	SCHED_REFUSED, /**< nothing was sent; *reason says why */
};

/** A call to send, and the server to send it to. */
struct sched_dispatch {
	uint64_t call_id;
	char server[NAME_BYTES];
	uint32_t attempt;                /**< number of the attempt, from 1 */
	uint64_t expected_cached_tokens; /**< history tokens expected in the
					    server's KV cache */
	uint32_t priority; /**< priority in the engine; lower runs first */
};

/** How an attempt ended. */
enum sched_result {
	SCHED_DONE,        /**< complete response */
	SCHED_CANCELLED,   /**< cancelled by the caller, or a faster copy won */
	SCHED_NOT_STARTED, /**< connecting failed */
	SCHED_BUSY,        /**< the server refused the call */
	SCHED_FAILED,      /**< the server returned an error */
	SCHED_DISCONNECTED, /**< the connection broke */
	SCHED_TIMED_OUT,    /**< no complete response in time */
};

/** What the caller must do after an attempt. */
enum sched_retry_decision {
	SCHED_RETRY,   /**< nothing; the call is queued again and a dispatch
			  follows */
	SCHED_GIVE_UP, /**< after a failure, refuse the call with *reason; it is
			  no longer known */
};

/** Load report of a backend server. Reports arrive with a delay. */
struct sched_load {
	uint32_t running;        /**< calls in the batch */
	uint32_t waiting;        /**< calls queued in the server */
	uint64_t kv_used_tokens; /**< KV memory in use */
	uint64_t kv_tokens;      /**< KV memory capacity; 0: unknown */
	/** prompt tokens waiting for prefill */
	uint64_t waiting_prefill_tokens;
	int64_t measured_us; /**< local time of the measurement, if known */
};

/** Change of a server's KV cache. */
enum sched_cache_event {
	SCHED_CACHE_STORED,
	SCHED_CACHE_EVICTED,
	SCHED_CACHE_CLEARED, /**< the server restarted, or events were lost */
};

/** What to do with a program's KV cache when a pause begins. */
enum sched_cache_action {
	SCHED_CACHE_ACTION_KEEP,
	SCHED_CACHE_ACTION_DROP,
	SCHED_CACHE_ACTION_EXPORT, /**< export it now and import it at the next
				      turn */
};

/** Creates a scheduler, to be freed with sched_destroy(). */
struct sched *sched_create(const struct sched_options *options);
/** Frees a scheduler; NULL is allowed. */
void sched_destroy(struct sched *sched);
/** Applies a configuration's servers, models, workspace shares and limits. */
void sched_set_config(struct sched *sched, const struct config *config);

/** Queues a model call, or refuses it and sets *reason. */
enum sched_submit_result sched_submit(struct sched *sched,
    const struct sched_request *request, int64_t now_us, enum refusal *reason);
/** Removes the next call that a server can take from the queue and fills in
 * *dispatch. Returns false if there is none. */
bool sched_next_dispatch(
    struct sched *sched, int64_t now_us, struct sched_dispatch *dispatch);
/** Returns the time at which sched_next_dispatch(), sched_next_expired() and
 * sched_next_release() should be called again even if no other event occurs;
 * INT64_MAX if never. */
int64_t sched_next_wakeup_us(const struct sched *sched);
/** Removes and frees the next queued call that is past its deadline, or that
 * would start a program and has waited too long, and sets *handle and *reason.
 * Returns false if there is none. */
bool sched_next_expired(struct sched *sched, int64_t now_us, uint64_t *handle,
    enum refusal *reason);
/** Records the arrival of the first token of an attempt. */
void sched_handle_first_token(
    struct sched *sched, uint64_t handle, const char *server, int64_t now_us);
/** Records the end of an attempt. After SCHED_DONE and SCHED_CANCELLED the call
 * is freed; otherwise the return value says whether it is retried.
 * name is the server's, cached_tokens the number of tokens that it found in its
 * cache, prompt_tokens the length of the history after the turn. */
enum sched_retry_decision
sched_handle_attempt_end(struct sched *sched, uint64_t handle, const char *name,
    enum sched_result result, uint64_t prompt_tokens, uint64_t cached_tokens,
    int64_t now_us, enum refusal *reason);
/** Removes and frees a call, whether it waits or runs. */
void sched_cancel(struct sched *sched, uint64_t handle, int64_t now_us);

/** Records that a program began to pause because its last call requested a tool
 * ("" if none). Returns what to do with the program's KV cache. */
enum sched_cache_action sched_handle_pause_begin(struct sched *sched,
    const char *id, const char *workspace, const char *tool, int64_t now_us);
/** Sets id and server to the next program and server whose KV cache should be
 * released, either because the program pauses for longer than the cache is
 * worth keeping, or because another server holds a newer copy. Returns false if
 * there is none. */
bool sched_next_release(struct sched *sched, int64_t now_us,
    char id[PROGRAM_ID_BYTES], char server[NAME_BYTES]);
/** Removes the routing state of a program that has ended. */
void sched_handle_program_end(struct sched *sched, const char *program);

/** Applies a load report of a server. Unknown servers are ignored. */
void sched_handle_load(struct sched *sched, const char *name,
    const struct sched_load *load, int64_t now_us);
/** Applies a cache event of a server. id and tokens are unused for
 * SCHED_CACHE_CLEARED. Unknown servers and programs are ignored. */
void sched_handle_cache_event(struct sched *sched, const char *name,
    enum sched_cache_event event, const char *id, uint64_t tokens,
    int64_t now_us);
/** Applies the result of a health probe of a server. */
void sched_handle_health(
    struct sched *sched, const char *name, bool healthy, int64_t now_us);
/** Marks whether a server is leaving, as the server list or an operator says; a
 * leaving server gets no new work. */
void sched_set_leaving(struct sched *sched, const char *name, bool leaving);

#endif
