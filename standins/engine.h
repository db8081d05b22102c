/** @file
 * Shared by the files of standin-engine.
 */
#ifndef STANDINS_ENGINE_H
#define STANDINS_ENGINE_H

#include <uthash.h>

#include "common/list.h"
#include "standins/engine_core.h"
#include "standins/engine_telemetry.h"
#include "standins/standin.h"
#include "standins/text.h"

/** Values of the command line. */
struct engine_settings {
	int64_t kv_tokens;
	double prefill_tokens_per_s;
	int64_t prefill_chunk_tokens;
	int64_t step_us;
	int64_t step_us_per_request;
	int64_t max_running;
	int64_t max_waiting;
	int64_t answer_tokens;
	int64_t load_lag_ms;
	int64_t event_lag_ms;
	double event_loss;
	int64_t resume_ms;
	int64_t kv_bytes_per_token;
	double kv_bytes_per_s;
	bool check_fencing;
	char *models;
	char *adapters;
	int64_t model_bytes;
	int64_t adapter_bytes;
	double load_bytes_per_s;
	char *weights_address;
	int64_t weights_port;
	char *crash_on;
};

/** Faults beside those of all stand-ins. */
struct engine_faults {
	int64_t stall_requests;
	int64_t stall_after_tokens;
	int64_t cut_requests;
	int64_t cut_after_tokens;
	int64_t crash_requests;
	int64_t crash_after_tokens;
	char *crash_on;
	int64_t slow_step_us;
	bool ignore_cancel;
};

enum generation_fault {
	GENERATION_FAULT_NONE,
	GENERATION_FAULT_STALL,
	GENERATION_FAULT_DISCONNECT,
	GENERATION_FAULT_CRASH,
};

/** An answer that is being made, or was made a short time ago. */
struct generation {
	uint64_t id;
	char attempt[ENGINE_NAME_BYTES];
	char model[ENGINE_NAME_BYTES];
	struct standin_request *request; /**< NULL: no caller at present */
	bool stream;
	struct buf text; /**< the whole answer */
	struct text_directives directives;
	bool cut_short; /**< by max_tokens */
	uint64_t input_hash;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t answer_tokens;
	uint64_t produced_tokens;
	uint64_t sent_tokens;
	bool finished;
	enum generation_fault fault;
	uint64_t fault_after_tokens;
	int64_t expires_us; /**< when it is forgotten without a caller */
	UT_hash_handle by_id;
	UT_hash_handle by_attempt;
};

struct engine_counters {
	uint64_t started;
	uint64_t finished;
	uint64_t cancelled; /**< by order */
	uint64_t abandoned; /**< the caller went away and did not resume */
	uint64_t resumed;
	uint64_t refused;
	uint64_t releases;
	uint64_t exports;
	uint64_t imports;
	uint64_t orders;
	uint64_t stale_orders;
};

struct engine {
	struct standin *standin;
	struct engine_settings settings;
	struct engine_faults faults;
	struct engine_core *core;
	struct engine_telemetry *telemetry;
	uv_timer_t step_timer;
	uv_timer_t expiry_timer;
	struct generation *by_id;      /**< hash table */
	struct generation *by_attempt; /**< hash table */
	uint64_t last_id;
	struct engine_counters counters;
};

extern struct engine engine;

/* ---- engine.c: see struct standin_program ---- */

void engine_start(struct standin *standin);
void engine_stop(struct standin *standin);
void engine_handle(struct standin_request *request);
json_t *engine_stats(struct standin *standin);
void engine_faults_changed(struct standin *standin);
/** Hands on what the core has made, and sets the timer for more. */
void engine_dispatch_events(void);

/* ---- engine_stream.c: generations and their callers ---- */

void generation_add(struct generation *generation);
struct generation *generation_find(const char *attempt);
/** Forgets a generation; a caller that it still has is cut. */
void generation_remove(struct generation *generation);
/** Gives the answer to a caller, from a token on. */
void generation_attach(struct generation *generation,
    struct standin_request *request, uint64_t first_token);
void generation_handle_event(const struct engine_event *event);
void generations_reset(void);
/** Forgets generations that have been without a caller for long. */
void generations_expire(int64_t now_us);

/* ---- the paths ---- */

void engine_handle_chat(struct standin_request *request);
void engine_handle_cancel(struct standin_request *request);
/** Returns false when the path is not one of /v1/kv. */
bool engine_handle_kv(struct standin_request *request);
uint64_t engine_exported_bytes_of_ended(void);
void engine_kv_reset(void);
void engine_handle_program_ended(struct standin_request *request);
void engine_handle_orders(struct standin_request *request);
void engine_handle_state(struct standin_request *request);
void engine_orders_init(void);
void engine_orders_reset(void);
/** Returns whether requests for a model, and an adapter unless "", run. */
bool engine_serves(const char *model, const char *adapter);

#endif
