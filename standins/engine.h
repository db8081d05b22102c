/** @file
 * Interfaces between the files of standin-engine.
 */
#ifndef STANDINS_ENGINE_H
#define STANDINS_ENGINE_H

#include <uthash.h>

#include "common/list.h"
#include "standins/engine_core.h"
#include "standins/engine_telemetry.h"
#include "standins/standin.h"
#include "standins/text.h"

/** Values of the command-line options; engine_program.c describes them. */
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

/** Faults of the engine, in addition to those of all stand-ins. */
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

/** What happens to a generation after fault_after_tokens tokens. */
enum generation_fault {
	GENERATION_FAULT_NONE,
	GENERATION_FAULT_STALL,      /**< produces no more tokens */
	GENERATION_FAULT_DISCONNECT, /**< the caller's connection is closed */
	GENERATION_FAULT_CRASH,      /**< the engine process exits */
};

/** An answer that is being generated, or is kept so that its stream can be
 * resumed. */
struct generation {
	uint64_t id;
	char attempt[ENGINE_NAME_BYTES];
	char model[ENGINE_NAME_BYTES];
	/** Request of the current caller; NULL: none is connected. */
	struct standin_request *request;
	bool stream;
	struct buf text; /**< whole answer, known from the start */
	struct text_directives directives;
	bool cut_short; /**< whether max_tokens shortened the answer */
	uint64_t input_hash;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t answer_tokens;
	uint64_t produced_tokens;
	uint64_t sent_tokens;
	bool finished;
	enum generation_fault fault;
	uint64_t fault_after_tokens;
	int64_t expires_us; /**< removal time while there is no caller */
	UT_hash_handle by_id;
	UT_hash_handle by_attempt;
};

/** Counters of GET /stats. */
struct engine_counters {
	uint64_t started;
	uint64_t finished;
	uint64_t cancelled; /**< cancelled by a request to do so */
	uint64_t abandoned; /**< disconnected and not resumed */
	uint64_t resumed;
	uint64_t refused;
	uint64_t releases;
	uint64_t exports;
	uint64_t imports;
	uint64_t orders;
	uint64_t stale_orders;
};

/** State of the engine's process. */
struct engine {
	struct standin *standin;
	struct engine_settings settings;
	struct engine_faults faults;
	struct engine_core *core;
	struct engine_telemetry *telemetry;
	uv_timer_t step_timer;
	uv_timer_t expiry_timer;
	struct generation *by_id;      /**< hash table by id */
	struct generation *by_attempt; /**< hash table by attempt */
	uint64_t last_id;
	struct engine_counters counters;
};

extern struct engine engine;

/* The callbacks of struct standin_program. */

void engine_start(struct standin *standin);
void engine_stop(struct standin *standin);
void engine_handle(struct standin_request *request);
json_t *engine_stats(struct standin *standin);
void engine_faults_changed(struct standin *standin);
/** Advances the core to the present, sends its events to the generations,
 * records telemetry and schedules the next step. */
void engine_dispatch_events(void);

/** Adds a generation to the hash tables, which own it. */
void generation_add(struct generation *generation);
/** Returns the generation of an attempt, or NULL. */
struct generation *generation_find(const char *attempt);
/** Removes and frees a generation; drops the connection of its caller. */
void generation_remove(struct generation *generation);
/** Makes a request the generation's caller and sends it the answer from a token
 * on. Drops the connection of the previous caller. */
void generation_attach(struct generation *generation,
    struct standin_request *request, uint64_t first_token);
/** Handles a token or the end of a generation: applies its fault, or sends the
 * new part of the answer. */
void generation_handle_event(const struct engine_event *event);
/** Removes all generations. */
void generations_reset(void);
/** Removes generations that have had no caller for resume_ms. */
void generations_expire(int64_t now_us);

void engine_handle_chat(struct standin_request *request);
void engine_handle_cancel(struct standin_request *request);
/** Handles a request below /v1/kv; returns false if the path is another one. */
bool engine_handle_kv(struct standin_request *request);
/** Returns the bytes of exports that belong to ended programs. */
uint64_t engine_exported_bytes_of_ended(void);
/** Frees all KV exports. */
void engine_kv_reset(void);
void engine_handle_program_ended(struct standin_request *request);
void engine_handle_orders(struct standin_request *request);
void engine_handle_state(struct standin_request *request);
/** Adds the weights that are loaded at the start. */
void engine_orders_init(void);
void engine_orders_reset(void);
/** Returns whether the engine can run requests for a model, and for an adapter
 * unless it is "". */
bool engine_serves(const char *model, const char *adapter);

#endif
