/** @file
 * Command-line options and faults of standin-engine. The macros turn the names
 * of members into the names of options and faults.
 */
#include "standins/engine.h"
#include "standins/programs.h"

#define INTEGER(name, arg, help) \
	{ \
#name, arg, help, FIELD_INTEGER, \
		{ \
			.integer = &engine.settings.name \
		} \
	}
#define REAL(name, arg, help) \
	{ \
#name, arg, help, FIELD_REAL, \
		{ \
			.real = &engine.settings.name \
		} \
	}
#define TEXT(name, arg, help) \
	{ \
#name, arg, help, FIELD_TEXT, \
		{ \
			.text = &engine.settings.name \
		} \
	}
#define FAULT(name) \
	{ \
#name, "", "", FIELD_INTEGER, \
		{ \
			.integer = &engine.faults.name \
		} \
	}

static const struct field options[] = {
    INTEGER(kv_tokens, "N", "Tokens of KV memory"),
    REAL(prefill_tokens_per_s, "N", "Prompt tokens computed per second"),
    INTEGER(prefill_chunk_tokens, "N", "Most prompt tokens computed per step"),
    INTEGER(step_us, "US", "Base duration of a step"),
    INTEGER(step_us_per_request, "US",
	"Addition to a step for each decoding request"),
    INTEGER(max_running, "N", "Most requests in the batch"),
    INTEGER(max_waiting, "N", "Most waiting requests; further ones get 429"),
    INTEGER(answer_tokens, "N",
	"Tokens of an answer unless the message sets ANSWER_TOKENS"),
    INTEGER(load_lag_ms, "MS", "Age of load reports"),
    INTEGER(event_lag_ms, "MS", "Delay of cache events"),
    REAL(event_loss, "P", "Probability that a cache event is lost"),
    INTEGER(
	resume_ms, "MS", "Time in which an interrupted stream can be resumed"),
    INTEGER(kv_bytes_per_token, "N", "Bytes of KV memory per token"),
    REAL(kv_bytes_per_s, "N",
	"Bytes per second of KV export and import; 0: no delay"),
    {"check_fencing", "yes|no", "Refuse orders with an older fencing number",
	FIELD_BOOL, {.flag = &engine.settings.check_fencing}},
    TEXT(models, "LIST",
	"Models loaded at the start, or none; absent: serve any"),
    TEXT(adapters, "LIST", "Adapters loaded at the start; absent: serve any"),
    INTEGER(model_bytes, "N", "Bytes of a model"),
    INTEGER(adapter_bytes, "N", "Bytes of an adapter"),
    REAL(load_bytes_per_s, "N",
	"Bytes per second of loading without a weight store"),
    TEXT(weights_address, "IP", "Address of the weight store"),
    INTEGER(weights_port, "PORT", "Port of the weight store"),
    TEXT(crash_on, "TEXT", "Exit when a prompt contains this text"),
};

static const struct field faults[] = {
    FAULT(stall_requests),
    FAULT(stall_after_tokens),
    FAULT(cut_requests),
    FAULT(cut_after_tokens),
    FAULT(crash_requests),
    FAULT(crash_after_tokens),
    {"crash_on", "", "", FIELD_TEXT, {.text = &engine.faults.crash_on}},
    FAULT(slow_step_us),
    {"ignore_cancel", "", "", FIELD_BOOL,
	{.flag = &engine.faults.ignore_cancel}},
};

const struct standin_program engine_program = {
    .name = "standin-engine",
    .summary = "Stand-in for a model engine.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .faults = faults,
    .fault_count = sizeof(faults) / sizeof(faults[0]),
    .start = engine_start,
    .stop = engine_stop,
    .handle = engine_handle,
    .stats = engine_stats,
    .faults_changed = engine_faults_changed,
};
