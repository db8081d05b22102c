/** @file
 * standin-paths: the network paths of one gateway, see standins/paths.h. GET
 * /stand-in/mode/NAME sets the mode of the paths to all servers: pass, refuse,
 * reset or dark. GET /stand-in/store/NAME sets that of the path to the store.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "h1/server.h"
#include "standins/paths.h"

enum {
	HEADER_MAX_BYTES = 4096,
	TIMEOUT_US = 10 * US_PER_S,
};

static struct {
	int number;
	int store_port;
	int port;
} options = {.number = 1};

static struct paths *paths;

static const char MODE_PATH[] = "/stand-in/mode/";
static const char STORE_PATH[] = "/stand-in/store/";

/* Returns the rest of a path after a prefix, or NULL. */
static const char *
path_suffix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}

/* Returns the mode of a name, or PROXY_MODE_COUNT. */
static enum proxy_mode
mode_of(const char *name)
{
	int mode = 0;

	while (mode < PROXY_MODE_COUNT &&
	    strcmp(name, proxy_mode_name((enum proxy_mode)mode)) != 0)
		mode++;
	return (enum proxy_mode)mode;
}

static void
handle(void *context, struct h1_exchange *exchange)
{
	const char *path =
	    (const char *)h1_exchange_head(exchange)->target.data;
	const char *servers = path_suffix(path, MODE_PATH);
	const char *store = path_suffix(path, STORE_PATH);
	const char *name = servers != NULL ? servers : store;
	enum proxy_mode mode = name != NULL ? mode_of(name) : PROXY_MODE_COUNT;

	(void)context;
	if (mode == PROXY_MODE_COUNT) {
		h1_respond(exchange, 404, NULL, "", 0);
		return;
	}
	if (servers != NULL)
		paths_set_server_mode(paths, mode);
	else
		proxy_set_mode(paths_store(paths), mode);
	h1_respond(exchange, 200, NULL, "", 0);
}

static const struct argp_option argp_options[] = {
    {"number", 'n', "N", 0, "Number of the gateway, 1 to 8", 0},
    {"store-port", 's', "PORT", 0, "Port of standin-store", 0},
    {"port", 'p', "PORT", 0, "Port for the gateway", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'n':
		options.number = (int)strtol(arg, NULL, 10);
		return 0;
	case 's':
		options.store_port = (int)strtol(arg, NULL, 10);
		return 0;
	case 'p':
		options.port = (int)strtol(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    .options = argp_options,
	    .parser = parse_option,
	    .doc = "Stands in for the network paths of one gateway.",
	};
	const struct h1_server_options server_options = {
	    .address = "127.0.0.1",
	    .limits =
		{
		    .max_header_bytes = HEADER_MAX_BYTES,
		    .header_timeout_us = TIMEOUT_US,
		    .idle_timeout_us = TIMEOUT_US,
		},
	    .on_request = handle,
	};
	struct h1_server *server;
	struct error err = {0};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	paths = paths_create(uv_default_loop(), options.number,
	    options.store_port, options.port);
	server = h1_server_create(uv_default_loop(), &server_options, &err);
	if (paths == NULL || server == NULL) {
		fprintf(stderr, "cannot listen: %s\n", err.text);
		return 1;
	}
	printf("listening %d\n", h1_server_port(server));
	fflush(stdout);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
