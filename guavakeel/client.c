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

/** A fetch under way. */
struct fetch {
	struct client_answer *answer;
	bool done;
};

static void
handle_answer(void *context, const struct http_response *answer)
{
	struct fetch *fetch = context;

	fetch->answer->result = answer->result;
	fetch->answer->status = answer->status;
	buf_append(&fetch->answer->body, answer->body, answer->body_len);
	fetch->done = true;
}

void
client_fetch(struct client *client, const struct http_call_params *params,
    struct client_answer *answer)
{
	struct fetch fetch = {.answer = answer};

	memset(answer, 0, sizeof(*answer));
	http_fetch(client->net, params, handle_answer, &fetch);
	client_wait(client, &fetch.done);
}
