#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/standin_internal.h"

enum {
	MAX_HEADER_BYTES = 16384,
	MAX_BODY_BYTES = 64 << 20,
	HEADER_TIMEOUT_US = 30 * US_PER_S,
	IDLE_TIMEOUT_US = 60 * US_PER_S,
	MAX_SEND_QUEUE_BYTES = 64 << 20,
	DEFAULT_CONNECTIONS = 1024,
	COMMON_OPTIONS = 3,
};

/* Lists the options of all stand-ins and those of the program. */
static void
list_options(struct standin *standin, struct field_list *list)
{
	const struct field common[COMMON_OPTIONS] = {
	    {"listen_port", "PORT", "TCP port on 127.0.0.1; 0: any free port",
		FIELD_INTEGER, {.integer = &standin->listen_port}},
	    {"max_connections", "N", "Most open connections", FIELD_INTEGER,
		{.integer = &standin->max_connections}},
	    {"seed", "N", "Seed of the random numbers; 0: random",
		FIELD_INTEGER, {.integer = &standin->seed}},
	};

	field_list_add(list, common, COMMON_OPTIONS);
	field_list_add(
	    list, standin->program->options, standin->program->option_count);
}

static void
handle_program_path(struct standin_request *request)
{
	if (!standin_faults_apply(request) ||
	    !standin_faults_intercept(request))
		request->standin->program->handle(request);
}

static void
handle_path(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (strcmp(request->path, "/faults") == 0)
		standin_handle_faults(request);
	else if (strcmp(request->path, "/stats") == 0)
		standin_reply(request, 200, standin->program->stats(standin));
	else
		handle_program_path(request);
}

static void
handle_request(void *context, struct http_exchange *exchange,
    const struct http_request *http)
{
	(void)exchange;
	handle_path(standin_request_create(context, http));
}

static void
handle_strict_request(void *context, struct h1_exchange *exchange)
{
	struct standin_request *request =
	    standin_request_create_strict(context, exchange);

	if (request != NULL)
		handle_path(request);
}

static void
parse_options(struct standin *standin, int argc, char **argv)
{
	struct field_list options = {0};

	list_options(standin, &options);
	fields_parse(options.items, options.count, standin->program->summary,
	    argc, argv);
}

static bool
open_strict(struct standin *standin, struct error *err)
{
	const struct h1_server_options options = {
	    .address = "127.0.0.1",
	    .port = (int)standin->listen_port,
	    .limits =
		{
		    .max_header_bytes = MAX_HEADER_BYTES,
		    .max_body_bytes = MAX_BODY_BYTES,
		    .header_timeout_us = HEADER_TIMEOUT_US,
		    .idle_timeout_us = IDLE_TIMEOUT_US,
		},
	    .on_request = handle_strict_request,
	    .context = standin,
	};

	standin->h1_server = h1_server_create(&standin->loop, &options, err);
	return standin->h1_server != NULL;
}

static bool
open_net(struct standin *standin, struct error *err)
{
	struct net_options options = {
	    .listen_address = "127.0.0.1",
	    .listen_port = (int)standin->listen_port,
	    .max_body_bytes = MAX_BODY_BYTES,
	    .max_send_queue_bytes = MAX_SEND_QUEUE_BYTES,
	    .max_connections = (int)standin->max_connections,
	    .handler = handle_request,
	    .handler_context = standin,
	};

	standin->net = net_create(&standin->loop, &options, err);
	return standin->net != NULL;
}

bool
standin_open(struct standin *standin, const struct standin_program *program,
    struct error *err)
{
	standin->program = program;
	if (standin->seed > 0)
		rng_init(&standin->rng, (uint64_t)standin->seed);
	else
		rng_init_random(&standin->rng);
	uv_loop_init(&standin->loop);
	if (program->strict_targets ? !open_strict(standin, err)
				    : !open_net(standin, err))
		return false;
	if (program->start != NULL)
		program->start(standin);
	return true;
}

void
standin_close(struct standin *standin)
{
	if (standin->program->stop != NULL)
		standin->program->stop(standin);
	if (standin->h1_server != NULL)
		h1_server_destroy(standin->h1_server);
	else
		net_destroy(standin->net);
	uv_run(&standin->loop, UV_RUN_DEFAULT);
	uv_loop_close(&standin->loop);
	free(standin->match_path);
}

int
standin_main(const struct standin_program *program, int argc, char **argv)
{
	static struct standin standin = {
	    .max_connections = DEFAULT_CONNECTIONS,
	};
	struct error err = {0};

	standin.program = program;
	parse_options(&standin, argc, argv);
	if (!standin_open(&standin, program, &err)) {
		fprintf(stderr, "%s: %s\n", program->name, err.text);
		return EXIT_FAILURE;
	}
	printf("listening %d\n",
	    standin.h1_server != NULL ? h1_server_port(standin.h1_server)
				      : net_port(standin.net));
	fflush(stdout);
	uv_run(&standin.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
