#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "standins/standin_internal.h"

enum {
	MAX_BODY_BYTES = 64 << 20,
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
handle_request(void *context, struct http_exchange *exchange,
    const struct http_request *http)
{
	struct standin *standin = context;
	struct standin_request *request = standin_request_create(standin, http);

	(void)exchange;
	if (strcmp(request->path, "/faults") == 0)
		standin_handle_faults(request);
	else if (strcmp(request->path, "/stats") == 0)
		standin_reply(request, 200, standin->program->stats(standin));
	else
		handle_program_path(request);
}

static void
parse_options(struct standin *standin, int argc, char **argv)
{
	struct field_list options = {0};

	list_options(standin, &options);
	fields_parse(options.items, options.count, standin->program->summary,
	    argc, argv);
}

bool
standin_open(struct standin *standin, const struct standin_program *program,
    struct error *err)
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

	standin->program = program;
	if (standin->seed > 0)
		rng_init(&standin->rng, (uint64_t)standin->seed);
	else
		rng_init_random(&standin->rng);
	uv_loop_init(&standin->loop);
	standin->net = net_create(&standin->loop, &options, err);
	if (standin->net == NULL)
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
	printf("listening %d\n", net_port(standin.net));
	fflush(stdout);
	uv_run(&standin.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
