#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "standins/paths.h"

enum {
	SERVERS_MAX = 256,
	ADDRESS_BYTES = 16,
	PORT_TEXT_BYTES = 8,
};

static const char SERVER_ADDRESS[] = "\"address\":\"127.0.0.1:";

struct paths {
	uv_loop_t *loop;
	char address[ADDRESS_BYTES]; /**< of the servers' proxies */
	char digit;                  /**< last digit of the address */
	enum proxy_mode mode;
	struct proxy *store;
	struct proxy *servers[SERVERS_MAX];
	size_t server_count;
};

static void
ensure_server_proxy(struct paths *paths, int port)
{
	const struct proxy_options options = {
	    .address = paths->address,
	    .port = port,
	    .target_port = port,
	};
	struct proxy *proxy;

	for (size_t i = 0; i < paths->server_count; i++) {
		if (proxy_port(paths->servers[i]) == port)
			return;
	}
	if (port == 0 || paths->server_count == SERVERS_MAX)
		return;
	proxy = proxy_create(paths->loop, &options);
	if (proxy == NULL)
		return;
	proxy_set_mode(proxy, paths->mode);
	paths->servers[paths->server_count++] = proxy;
}

/* Changes the servers' addresses in the bytes of a reply. Their length stays,
 * so that the framing of the records holds. */
static void
change_addresses(void *context, char *data, size_t len)
{
	struct paths *paths = context;
	size_t pattern_len = strlen(SERVER_ADDRESS);
	char *at = data;
	char *end = data + len;

	while ((at = memmem(at, (size_t)(end - at), SERVER_ADDRESS,
		    pattern_len)) != NULL) {
		char port[PORT_TEXT_BYTES] = {0};
		size_t digits = 0;

		at += pattern_len;
		while (digits < sizeof(port) - 1 && at + digits < end &&
		    at[digits] >= '0' && at[digits] <= '9') {
			port[digits] = at[digits];
			digits++;
		}
		at[-2] = paths->digit;
		ensure_server_proxy(paths, (int)strtol(port, NULL, 10));
	}
}

struct paths *
paths_create(uv_loop_t *loop, int number, int store_port, int port)
{
	struct paths *paths = xcalloc(1, sizeof(*paths));
	const struct proxy_options options = {
	    .address = "127.0.0.1",
	    .port = port,
	    .target_port = store_port,
	    .on_reply = change_addresses,
	    .context = paths,
	};

	paths->loop = loop;
	paths->digit = (char)('1' + number);
	snprintf(
	    paths->address, sizeof(paths->address), "127.0.0.%c", paths->digit);
	paths->store = proxy_create(loop, &options);
	if (paths->store != NULL)
		return paths;
	free(paths);
	return NULL;
}

void
paths_destroy(struct paths *paths)
{
	proxy_destroy(paths->store);
	for (size_t i = 0; i < paths->server_count; i++)
		proxy_destroy(paths->servers[i]);
	free(paths);
}

struct proxy *
paths_store(const struct paths *paths)
{
	return paths->store;
}

void
paths_set_server_mode(struct paths *paths, enum proxy_mode mode)
{
	paths->mode = mode;
	for (size_t i = 0; i < paths->server_count; i++)
		proxy_set_mode(paths->servers[i], mode);
}
