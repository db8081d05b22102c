/** @file
 * Scheduling of model calls on backend servers: order of waiting calls,
 * choice of server, KV cache during pauses, retries, admission. No I/O; the
 * daemon and `guavakeel experiment` use the same code.
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

/** Choice of server. */
enum sched_routing {
	SCHED_ROUTE_COST, /**< least expected cost of a few candidates */
	SCHED_ROUTE_RANDOM,
	SCHED_ROUTE_ROUND_ROBIN,
	SCHED_ROUTE_LEAST_LOADED,
	SCHED_ROUTE_TWO_CHOICES,
	SCHED_ROUTE_AFFINITY, /**< prefix affinity with a load bound */
};

/** Order of waiting calls, here and in the engine. */
enum sched_order {
	SCHED_ORDER_PROGRAM, /**< by program; urgent calls first */
	SCHED_ORDER_FCFS,
};

enum sched_cache_retention {
	SCHED_RETAIN_LEARNED, /**< by the tool's pauses so far */
	SCHED_RETAIN_ALWAYS,
	SCHED_RETAIN_NEVER,
};

/** How decisions are made; all zero: as the product ships. The others are
 * baselines of `guavakeel experiment`. */
struct sched_policy {
	enum sched_routing routing;
	enum sched_order order;
	enum sched_cache_retention cache_retention;
	bool no_admission;       /**< never refuse or hold back a new program */
	bool no_load_correction; /**< ignore own calls newer than a report */
	bool no_decode_speed;    /**< ignore each server's measured speed */
	bool no_waste_price;     /**< ignore limits.wasted_token_cost_us */
};

struct sched_options {
	const char *region;         /**< of this VM */
	const char *failure_domain; /**< of this VM */
	struct counters *counters;
	uint64_t seed;
	struct sched_policy policy;
};

struct sched_request {
	uint64_t handle; /**< handle of the daemon */
	char program[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char model[NAME_BYTES];
	char adapter[NAME_BYTES];
	uint64_t fingerprint;           /**< hash of the request's content */
	uint64_t turn;                  /**< 1 for the program's first */
	uint64_t history_tokens;        /**< prompt that earlier turns had */
	uint64_t new_tokens;            /**< prompt added by this turn */
	uint64_t max_tokens;            /**< longest answer */
	int64_t program_begun_us;       /**< local time of its begin */
	uint64_t program_served_tokens; /**< work done for it so far */
	int64_t deadline_us;            /**< local time; INT64_MAX: none */
	bool urgent;
	bool sub_agent; /**< of a sub-agent */
};

enum sched_submit_result {
	SCHED_QUEUED,
	SCHED_REFUSED, /**< see *reason; nothing was sent */
};

/** A call and the server that it should be sent to now. */
struct sched_dispatch {
	uint64_t handle;
	char server[NAME_BYTES];
	uint32_t attempt; /**< 1, 2, ... */
	bool hedge;       /**< a second copy of a slow call */
	uint64_t expected_cached_tokens;
	uint32_t priority; /**< for the engine; lower runs first */
};

/** How an attempt ended. */
enum sched_result {
	SCHED_DONE,         /**< whole answer */
	SCHED_CANCELLED,    /**< by the caller or a faster copy */
	SCHED_NOT_STARTED,  /**< could not connect */
	SCHED_BUSY,         /**< the server refused it */
	SCHED_FAILED,       /**< the server answered an error */
	SCHED_DISCONNECTED, /**< the connection broke */
	SCHED_TIMED_OUT,
};

/** What to do after a failed attempt. */
enum sched_retry_decision {
	SCHED_RETRY,   /**< queued again; a dispatch follows */
	SCHED_GIVE_UP, /**< refuse with *reason */
};

/** Report of a backend server; arrives late. */
struct sched_load {
	uint32_t running;
	uint32_t waiting;
	uint64_t kv_used_tokens;
	uint64_t kv_tokens;
	uint64_t waiting_prefill_tokens;
	int64_t measured_us; /**< local time of the measurement, if known */
};

enum sched_cache_event {
	SCHED_CACHE_STORED,
	SCHED_CACHE_EVICTED,
	SCHED_CACHE_CLEARED, /**< the server restarted, or events were lost */
};

/** What to do with a program's KV cache when a call has ended. */
enum sched_cache_action {
	SCHED_CACHE_ACTION_KEEP,
	SCHED_CACHE_ACTION_DROP,
	SCHED_CACHE_ACTION_EXPORT, /**< export now, import at the next turn */
};

struct sched *sched_create(const struct sched_options *options);
void sched_destroy(struct sched *sched);
/** Takes the servers, models and limits of a configuration version. */
void sched_set_config(struct sched *sched, const struct config *config);

/** Queues a model call, or refuses it. */
enum sched_submit_result sched_submit(struct sched *sched,
    const struct sched_request *request, int64_t now_us, enum refusal *reason);
/** Takes the next call that has a server now; false: none. */
bool sched_next_dispatch(
    struct sched *sched, int64_t now_us, struct sched_dispatch *dispatch);
/** Returns when sched_next(), sched_next_expired() or sched_next_release() may
 * have something without any other event; INT64_MAX: never. */
int64_t sched_next_wakeup_us(const struct sched *sched);
/** Takes the next queued call that is past its deadline, or that would begin a
 * program and has waited too long; it is forgotten. */
bool sched_next_expired(struct sched *sched, int64_t now_us, uint64_t *handle,
    enum refusal *reason);
/** The first token of an attempt has come. */
void sched_handle_first_token(
    struct sched *sched, uint64_t handle, const char *server, int64_t now_us);
/** An attempt is over. For SCHED_DONE and SCHED_CANCELLED the call is
 * forgotten; else the result tells whether it is tried again. cached_tokens:
 * what the server found in its cache; prompt_tokens: length of the history
 * after the turn. */
enum sched_retry_decision
sched_handle_attempt_end(struct sched *sched, uint64_t handle, const char *name,
    enum sched_result result, uint64_t prompt_tokens, uint64_t cached_tokens,
    int64_t now_us, enum refusal *reason);
/** Forgets a call that waits or runs. */
void sched_cancel(struct sched *sched, uint64_t handle, int64_t now_us);

/** A call of the program ended with a request for this tool (or ""). */
enum sched_cache_action sched_pause_begin(struct sched *sched, const char *id,
    const char *workspace, const char *tool, int64_t now_us);
/** Takes the next program whose pause has outlasted what keeping its cache
 * is worth: order that server to release it. False: none. */
bool sched_next_release(struct sched *sched, int64_t now_us,
    char id[PROGRAM_ID_BYTES], char server[NAME_BYTES]);
/** The program is over: forget its cache and its history of pauses. */
void sched_program_end(struct sched *sched, const char *program);

void sched_handle_load(struct sched *sched, const char *name,
    const struct sched_load *load, int64_t now_us);
void sched_handle_cache_event(struct sched *sched, const char *name,
    enum sched_cache_event event, const char *id, uint64_t tokens,
    int64_t now_us);
/** Health as probes see it, and leaving as list or operator say. */
void sched_handle_health(
    struct sched *sched, const char *name, bool healthy, int64_t now_us);
void sched_set_leaving(struct sched *sched, const char *name, bool leaving);

#endif
