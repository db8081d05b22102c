#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <zmq.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/memory.h"
#include "peer/keys.h"
#include "peer/peer.h"
#include "peer/socket_watch.h"

enum {
	MAX_ENDPOINT_BYTES = 96,
	DEFAULT_MAX_QUEUED_MESSAGES = 64,
	DEFAULT_IDLE_TIMEOUT_S = 30,
	SWEEP_INTERVAL_MS = 1000,
	LINGER_MS = 250,
	RECONNECT_MIN_MS = 100,
	RECONNECT_MAX_MS = 1000,
	DEFAULT_ACK_TIMEOUT_MS = 5000,
};

/** Outgoing connection to one destination. */
struct peer_link {
	UT_hash_handle hh;
	char vm[NAME_BYTES];
	char endpoint[MAX_ENDPOINT_BYTES];
	void *socket; /**< DEALER socket; NULL: not connected */
	int64_t last_used_us;
};

struct peer_transport {
	char vm[NAME_BYTES];
	struct counters *counters;
	peer_handler handler;
	void *handler_context;
	int max_queued_messages;
	int64_t idle_timeout_us;
	int64_t ack_timeout_us;
	void *zmq;
	void *receiver;
	struct socket_watch *watch;
	struct keys keys;
	struct keys_authenticator *authenticator; /**< NULL: no keys are used */
	struct peer_link *links;                  /**< hash by vm */
	uv_timer_t *sweep_timer;
	int port;
};

static bool
set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value)) == 0;
}

static bool
set_common_options(const struct peer_transport *peer, void *socket)
{
	const int64_t max_bytes = PEER_MAX_MESSAGE_BYTES;

	return set_int(socket, ZMQ_SNDHWM, peer->max_queued_messages) &&
	    set_int(socket, ZMQ_RCVHWM, peer->max_queued_messages) &&
	    set_int(socket, ZMQ_LINGER, LINGER_MS) &&
	    set_int(socket, ZMQ_TCP_MAXRT,
		(int)(peer->ack_timeout_us / US_PER_MS)) &&
	    zmq_setsockopt(
		socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes)) == 0;
}

/* Receives the next frame of a message. Returns whether another one follows. */
static bool
receive_frame(void *socket, zmq_msg_t *frame)
{
	zmq_msg_init(frame);
	return zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) >= 0 &&
	    zmq_msg_more(frame);
}

static bool
frame_is_text(zmq_msg_t *frame, const char *text)
{
	return zmq_msg_size(frame) == strlen(text) &&
	    memcmp(zmq_msg_data(frame), text, strlen(text)) == 0;
}

static void
handle_frames(struct peer_transport *peer, zmq_msg_t *sender, zmq_msg_t *body)
{
	struct message message;
	struct error err = {0};

	peer->counters->peer_bytes_received_total += zmq_msg_size(body);
	if (!message_decode(
		zmq_msg_data(body), zmq_msg_size(body), &message, &err)) {
		diag(LOG_WARNING, NULL, "can't decode peer message: %s",
		    err.text);
		return;
	}
	if (frame_is_text(sender, message.sender))
		peer->handler(peer->handler_context, &message);
	else
		diag(LOG_WARNING, NULL,
		    "dropped peer message: %s is not the connection's VM",
		    message.sender);
	message_reset(&message);
}

static void
handle_readable(void *context)
{
	struct peer_transport *peer = context;
	zmq_msg_t sender;
	zmq_msg_t body;
	bool more = receive_frame(peer->receiver, &sender);

	if (more) {
		more = receive_frame(peer->receiver, &body);
		if (!more)
			handle_frames(peer, &sender, &body);
		zmq_msg_close(&body);
	}
	zmq_msg_close(&sender);
	/* Frames past the second are malformed and dropped. */
	while (more) {
		more = receive_frame(peer->receiver, &body);
		zmq_msg_close(&body);
	}
}

static bool
bind_receiver(struct peer_transport *peer, const struct peer_options *options,
    struct error *err)
{
	char endpoint[MAX_ENDPOINT_BYTES];
	size_t size = sizeof(endpoint);
	const char *colon;
	bool ok;

	peer->receiver = zmq_socket(peer->zmq, ZMQ_ROUTER);
	/* With ZMQ_ROUTER_HANDOVER, the new connection of a restarted VM
	 * replaces the old one of the same name. */
	ok = peer->receiver != NULL &&
	    set_common_options(peer, peer->receiver) &&
	    set_int(peer->receiver, ZMQ_ROUTER_HANDOVER, 1) &&
	    (peer->authenticator == NULL ||
		keys_apply_server(&peer->keys, peer->receiver));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%d", options->address,
	    options->port);
	ok = ok && zmq_bind(peer->receiver, endpoint) == 0 &&
	    zmq_getsockopt(
		peer->receiver, ZMQ_LAST_ENDPOINT, endpoint, &size) == 0;
	if (!ok)
		return error_set(err, ERROR_IO, "can't bind %s: %s", endpoint,
		    zmq_strerror(zmq_errno()));
	colon = strrchr(endpoint, ':');
	peer->port = colon != NULL ? (int)strtol(colon + 1, NULL, 10) : 0;
	return true;
}

static void
link_close(struct peer_link *link)
{
	if (link->socket != NULL)
		zmq_close(link->socket);
	link->socket = NULL;
}

static bool
link_open(struct peer_transport *peer, struct peer_link *link)
{
	void *socket = zmq_socket(peer->zmq, ZMQ_DEALER);

	if (socket == NULL)
		return false;
	link->socket = socket;
	if (set_common_options(peer, socket) &&
	    set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS) &&
	    set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
	    zmq_setsockopt(
		socket, ZMQ_ROUTING_ID, peer->vm, strlen(peer->vm)) == 0 &&
	    (peer->authenticator == NULL ||
		keys_apply_client(&peer->keys, socket)) &&
	    zmq_connect(socket, link->endpoint) == 0)
		return true;
	diag(LOG_WARNING, NULL, "can't connect to %s: %s", link->endpoint,
	    zmq_strerror(zmq_errno()));
	link_close(link);
	return false;
}

static struct peer_link *
find_link(const struct peer_transport *peer, const char *vm)
{
	struct peer_link *link;

	HASH_FIND_STR(peer->links, vm, link);
	return link;
}

void
peer_set_address(
    struct peer_transport *peer, const char *vm, const char *address, int port)
{
	struct peer_link *link = find_link(peer, vm);
	char endpoint[MAX_ENDPOINT_BYTES];

	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%d", address, port);
	if (link == NULL) {
		link = xcalloc(1, sizeof(*link));
		snprintf(link->vm, sizeof(link->vm), "%s", vm);
		HASH_ADD_STR(peer->links, vm, link);
	}
	if (strcmp(link->endpoint, endpoint) == 0)
		return;
	link_close(link);
	memcpy(link->endpoint, endpoint, sizeof(endpoint));
}

static void
link_destroy(struct peer_transport *peer, struct peer_link *link)
{
	link_close(link);
	HASH_DEL(peer->links, link);
	free(link);
}

void
peer_remove(struct peer_transport *peer, const char *vm)
{
	struct peer_link *link = find_link(peer, vm);

	if (link != NULL)
		link_destroy(peer, link);
}

bool
peer_is_connected(const struct peer_transport *peer, const char *vm)
{
	const struct peer_link *link = find_link(peer, vm);

	return link != NULL && link->socket != NULL;
}

enum peer_result
peer_send_encoded(
    struct peer_transport *peer, const char *vm, const struct buf *wire)
{
	struct peer_link *link = find_link(peer, vm);
	enum peer_result result = PEER_QUEUED;

	if (wire->len > PEER_MAX_MESSAGE_BYTES)
		result = PEER_TOO_LONG;
	else if (link == NULL)
		result = PEER_NO_ADDRESS;
	else if ((link->socket == NULL && !link_open(peer, link)) ||
	    zmq_send(link->socket, wire->data, wire->len, ZMQ_DONTWAIT) < 0)
		result = PEER_QUEUE_FULL;
	if (link != NULL)
		link->last_used_us = clock_monotonic_us();
	if (result == PEER_QUEUED)
		peer->counters->peer_bytes_sent_total += wire->len;
	else
		peer->counters->peer_dropped_total++;
	return result;
}

enum peer_result
peer_send(struct peer_transport *peer, const char *vm, struct message *message)
{
	struct buf wire = {0};
	enum peer_result result;

	snprintf(message->sender, sizeof(message->sender), "%s", peer->vm);
	message_encode(message, &wire);
	result = peer_send_encoded(peer, vm, &wire);
	buf_reset(&wire);
	return result;
}

/* Closes the connections that were unused for too long. */
static void
handle_sweep(uv_timer_t *timer)
{
	struct peer_transport *peer = timer->data;
	int64_t now_us = clock_monotonic_us();

	for (struct peer_link *link = peer->links; link != NULL;
	     link = link->hh.next) {
		int events;
		size_t size = sizeof(events);

		if (link->socket == NULL)
			continue;
		if (now_us - link->last_used_us > peer->idle_timeout_us)
			link_close(link);
		else /* lets the library process its pending commands */
			zmq_getsockopt(
			    link->socket, ZMQ_EVENTS, &events, &size);
	}
}

size_t
peer_connection_count(const struct peer_transport *peer)
{
	size_t count = 0;

	for (const struct peer_link *link = peer->links; link != NULL;
	     link = link->hh.next)
		count += link->socket != NULL;
	return count;
}

static bool
start(struct peer_transport *peer, uv_loop_t *loop,
    const struct peer_options *options, struct error *err)
{
	const char *path = options->secret_key_file;

	peer->zmq = zmq_ctx_new();
	if (path != NULL && path[0] != '\0') {
		if (!keys_load(&peer->keys, path, err))
			return false;
		peer->authenticator = keys_authenticator_create(
		    loop, peer->zmq, &peer->keys, err);
		if (peer->authenticator == NULL)
			return false;
	}
	if (!bind_receiver(peer, options, err))
		return false;
	peer->watch = socket_watch_create(
	    loop, peer->receiver, handle_readable, peer, err);
	if (peer->watch == NULL)
		return false;
	peer->sweep_timer = xcalloc(1, sizeof(*peer->sweep_timer));
	peer->sweep_timer->data = peer;
	uv_timer_init(loop, peer->sweep_timer);
	uv_timer_start(peer->sweep_timer, handle_sweep, SWEEP_INTERVAL_MS,
	    SWEEP_INTERVAL_MS);
	return true;
}

struct peer_transport *
peer_create(
    uv_loop_t *loop, const struct peer_options *options, struct error *err)
{
	struct peer_transport *peer = xcalloc(1, sizeof(*peer));

	snprintf(peer->vm, sizeof(peer->vm), "%s", options->vm);
	peer->counters = options->counters;
	peer->handler = options->handler;
	peer->handler_context = options->handler_context;
	peer->max_queued_messages = options->max_queued_messages;
	if (peer->max_queued_messages == 0)
		peer->max_queued_messages = DEFAULT_MAX_QUEUED_MESSAGES;
	peer->idle_timeout_us = options->idle_timeout_us;
	if (peer->idle_timeout_us == 0)
		peer->idle_timeout_us =
		    (int64_t)DEFAULT_IDLE_TIMEOUT_S * US_PER_S;
	peer->ack_timeout_us = options->ack_timeout_us;
	if (peer->ack_timeout_us == 0)
		peer->ack_timeout_us =
		    (int64_t)DEFAULT_ACK_TIMEOUT_MS * US_PER_MS;
	if (start(peer, loop, options, err))
		return peer;
	peer_destroy(peer);
	return NULL;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
peer_destroy(struct peer_transport *peer)
{
	struct peer_link *link;
	struct peer_link *next;

	if (peer == NULL)
		return;
	socket_watch_destroy(peer->watch);
	if (peer->sweep_timer != NULL)
		uv_close((uv_handle_t *)peer->sweep_timer, handle_timer_closed);
	link = peer->links;
	HASH_CLEAR(hh, peer->links);
	while (link != NULL) {
		next = link->hh.next;
		link_close(link);
		free(link);
		link = next;
	}
	if (peer->receiver != NULL)
		zmq_close(peer->receiver);
	keys_authenticator_destroy(peer->authenticator);
	zmq_ctx_term(peer->zmq);
	free(peer);
}

int
peer_port(const struct peer_transport *peer)
{
	return peer->port;
}
