#include <string.h>

#include "guavakeel/client.h"

bool
client_open(struct client *client, struct error *err)
{
	struct net_options options = {0};

	memset(client, 0, sizeof(*client));
	uv_loop_init(&client->loop);
	uv_timer_init(&client->loop, &client->timer);
	client->net = net_create(&client->loop, &options, err);
	if (client->net != NULL)
		return true;
	client_close(client);
	return false;
}

void
client_close(struct client *client)
{
	if (client->net != NULL)
		net_destroy(client->net);
	uv_close((uv_handle_t *)&client->timer, NULL);
	uv_run(&client->loop, UV_RUN_DEFAULT);
	uv_loop_close(&client->loop);
}

void
client_wait(struct client *client, const bool *done)
{
	while (!*done)
		uv_run(&client->loop, UV_RUN_ONCE);
}

static void
handle_timer(uv_timer_t *timer)
{
	bool *done = timer->data;

	*done = true;
}

void
client_sleep(struct client *client, int ms)
{
	bool done = false;

	client->timer.data = &done;
	uv_timer_start(&client->timer, handle_timer, (uint64_t)ms, 0);
	client_wait(client, &done);
}

/** A request in progress. */
struct fetch {
	struct client_response *response;
	bool done;
};

static void
handle_response(void *context, const struct http_response *response)
{
	struct fetch *fetch = context;

	fetch->response->result = response->result;
	fetch->response->status = response->status;
	buf_append(&fetch->response->body, response->body, response->body_len);
	fetch->done = true;
}

void
client_fetch(struct client *client, const struct http_call_params *params,
    struct client_response *response)
{
	struct fetch fetch = {.response = response};

	memset(response, 0, sizeof(*response));
	http_fetch(client->net, params, handle_response, &fetch);
	client_wait(client, &fetch.done);
}
