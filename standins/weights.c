/** @file
 * standin-weights: a stand-in for a rate-limited weight store. Transfers run
 * one after another. A grant tells the client when its transfer starts and
 * ends.
 */
#include "common/clock.h"
#include "standins/programs.h"

static double bytes_per_s = 8e9;
static int64_t max_backlog_ms = 60000;

static int64_t busy_until_us; /**< end of the last granted transfer */
static json_int_t grants;
static json_int_t granted_bytes;
static json_int_t refusals;

static void
refuse(struct standin_request *request, int64_t backlog_us)
{
	json_int_t retry_ms = backlog_us / US_PER_MS - max_backlog_ms + 1;

	refusals++;
	standin_reply(request, 429,
	    json_pack("{s:{s:s}, s:I}", "error", "reason", "backlog_full",
		"retry_after_ms", retry_ms));
}

static void
grant(struct standin_request *request, json_int_t bytes)
{
	int64_t now_us = clock_monotonic_us();
	int64_t start_us = busy_until_us > now_us ? busy_until_us : now_us;
	json_int_t start_ms = (start_us - now_us) / US_PER_MS;
	json_int_t done_ms;

	if (start_ms > max_backlog_ms) {
		refuse(request, start_us - now_us);
		return;
	}
	busy_until_us =
	    start_us + (int64_t)((double)bytes * US_PER_S / bytes_per_s);
	done_ms = (busy_until_us - now_us) / US_PER_MS;
	grants++;
	granted_bytes += bytes;
	standin_reply(request, 200,
	    json_pack("{s:I, s:I, s:I}", "bytes", bytes, "start_ms", start_ms,
		"done_ms", done_ms));
}

static void
handle(struct standin_request *request)
{
	json_t *root;
	json_int_t bytes = -1;

	if (request->method != HTTP_POST ||
	    standin_path_suffix(request, "/v1/grants") == NULL) {
		standin_reply_error(request, 404, "unknown_path");
		return;
	}
	root = standin_request_json(request);
	if (json_unpack(root, "{s:I}", "bytes", &bytes) != 0 || bytes < 0)
		standin_reply_error(request, 400, "malformed_request");
	else
		grant(request, bytes);
	json_decref(root);
}

static json_t *
stats(struct standin *standin)
{
	int64_t left_us = busy_until_us - clock_monotonic_us();
	json_int_t backlog_ms = left_us > 0 ? left_us / US_PER_MS : 0;

	(void)standin;
	return json_pack("{s:I, s:I, s:I, s:I}", "grants", grants, "bytes",
	    granted_bytes, "refusals", refusals, "backlog_ms", backlog_ms);
}

static const struct field options[] = {
    {"bytes_per_s", "N", "Bytes per second of all transfers together",
	FIELD_REAL, {.real = &bytes_per_s}},
    {"max_backlog_ms", "MS", "Longest wait for a transfer; beyond it 429",
	FIELD_INTEGER, {.integer = &max_backlog_ms}},
};
const struct standin_program weights_program = {
    .name = "standin-weights",
    .summary = "Stand-in for a rate-limited weight store.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .handle = handle,
    .stats = stats,
};
