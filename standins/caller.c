/** @file
 * standin-caller: runs programs of dependent calls against guavakeel, or
 * directly against engines, and prints one line `name value unit` for each
 * measurement.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/caller.h"
#include "standins/fields.h"

enum {
	ARRIVAL_TICK_MS = 1,
};

static struct caller caller = {
    .settings =
	{
	    .programs = 10,
	    .programs_per_s = 5,
	    .turns = 4,
	    .prompt_tokens = 200,
	    .answer_tokens = 100,
	},
};

bool
caller_parse_address(const char *text, struct caller_address *address)
{
	return sscanf(text, "%63[0-9.]:%d", address->ip, &address->port) == 2;
}

void
caller_program_finished(struct caller *load)
{
	load->finished_programs++;
	if (load->finished_programs == load->settings.programs)
		uv_stop(&load->loop);
}

/* Starts the programs whose arrival time has passed. */
static void
handle_arrivals(uv_timer_t *timer)
{
	double elapsed_s =
	    (double)(clock_monotonic_us() - caller.begun_us) / US_PER_S;
	int64_t due = (int64_t)(elapsed_s * caller.settings.programs_per_s) + 1;

	while (caller.started_programs < due &&
	    caller.started_programs < caller.settings.programs)
		load_program_start(&caller, caller.started_programs++);
	if (caller.started_programs == caller.settings.programs)
		uv_timer_stop(timer);
}

static void
print_quantiles(const char *name, struct samples *samples)
{
	static const int percents[] = {50, 95, 99};

	for (size_t i = 0; i < sizeof(percents) / sizeof(percents[0]); i++)
		printf("%s_p%d %.3f ms\n", name, percents[i],
		    samples_quantile(samples, percents[i] / 100.0));
}

static void
print_results(double elapsed_s)
{
	struct caller_results *results = &caller.results;

	printf("programs %" PRIu64 " count\n", results->programs_done);
	printf("programs_failed %" PRIu64 " count\n", results->programs_failed);
	printf("wrong_answers %" PRIu64 " count\n", results->wrong_answers);
	printf("requests %" PRIu64 " count\n", results->requests);
	printf("retries %" PRIu64 " count\n", results->retries);
	printf("elapsed %.3f s\n", elapsed_s);
	printf(
	    "request_rate %.2f 1/s\n", (double)results->requests / elapsed_s);
	printf("token_rate %.1f 1/s\n", (double)results->tokens / elapsed_s);
	printf("prompt_tokens %" PRIu64 " count\n", results->prompt_tokens);
	printf("cached_tokens %" PRIu64 " count\n", results->cached_tokens);
	print_quantiles("first_token", &results->first_token_ms);
	print_quantiles("inter_token", &results->inter_token_ms);
	print_quantiles("program_latency", &results->program_ms);
}

/* Reads the addresses of the option, "IP:PORT,IP:PORT". Returns false if one is
 * malformed or there are more than CALLER_ADDRESSES. */
static bool
parse_addresses(void)
{
	char *copy = xstrdup(
	    caller.settings.addresses != NULL ? caller.settings.addresses : "");
	char *rest = copy;
	char *part;
	bool ok = true;

	while (ok && (part = strsep(&rest, ",")) != NULL) {
		ok = caller.address_count < CALLER_ADDRESSES &&
		    caller_parse_address(
			part, &caller.addresses[caller.address_count++]);
	}
	free(copy);
	return ok;
}

static void
parse_options(int argc, char **argv)
{
	struct caller_settings *settings = &caller.settings;
	const struct field options[] = {
	    {"addresses", "IP:PORT,...", "Addresses that calls are sent to",
		FIELD_TEXT, {.text = &settings->addresses}},
	    {"guavakeel", "yes|no",
		"Begin and end programs, send only new messages", FIELD_BOOL,
		{.flag = &settings->guavakeel}},
	    {"programs", "N", "Number of programs", FIELD_INTEGER,
		{.integer = &settings->programs}},
	    {"programs_per_s", "N", "Programs started per second", FIELD_REAL,
		{.real = &settings->programs_per_s}},
	    {"turns", "N", "Calls per program", FIELD_INTEGER,
		{.integer = &settings->turns}},
	    {"prompt_tokens", "N", "Prompt tokens added by each call",
		FIELD_INTEGER, {.integer = &settings->prompt_tokens}},
	    {"answer_tokens", "N", "Tokens of each answer", FIELD_INTEGER,
		{.integer = &settings->answer_tokens}},
	    {"pause_ms", "MS", "Pause between calls", FIELD_INTEGER,
		{.integer = &settings->pause_ms}},
	    {"workspace", "NAME", "Workspace of the programs", FIELD_TEXT,
		{.text = &settings->workspace}},
	    {"model", "NAME", "Model to call", FIELD_TEXT,
		{.text = &settings->model}},
	    {"class", "NAME", "normal or urgent", FIELD_TEXT,
		{.text = &settings->class}},
	};

	settings->workspace = xstrdup("studio");
	settings->model = xstrdup("draft-1");
	settings->class = xstrdup("normal");
	fields_parse(options, sizeof(options) / sizeof(options[0]),
	    "Runs programs of dependent model calls and measures them.", argc,
	    argv);
}

int
main(int argc, char **argv)
{
	const struct net_options options = {0};
	struct error err = {0};
	int64_t elapsed_us;

	parse_options(argc, argv);
	uv_loop_init(&caller.loop);
	caller.net = net_create(&caller.loop, &options, &err);
	if (caller.net == NULL || !parse_addresses()) {
		fprintf(stderr, "standin-caller: %s\n",
		    caller.net == NULL ? err.text : "malformed --addresses");
		return EXIT_FAILURE;
	}
	caller.begun_us = clock_monotonic_us();
	uv_timer_init(&caller.loop, &caller.arrivals);
	uv_timer_start(&caller.arrivals, handle_arrivals, 0, ARRIVAL_TICK_MS);
	uv_run(&caller.loop, UV_RUN_DEFAULT);
	elapsed_us = clock_monotonic_us() - caller.begun_us;
	print_results((double)elapsed_us / US_PER_S);
	return caller.results.programs_failed == 0 &&
		caller.results.wrong_answers == 0
	    ? EXIT_SUCCESS
	    : EXIT_FAILURE;
}
