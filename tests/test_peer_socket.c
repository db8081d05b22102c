#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <zmq.h>

#include "common/clock.h"
#include "peer/peer.h"
#include "tests/runner.h"

enum {
	NODE_COUNT = 3,
	WAIT_TIMEOUT_S = 20, /* reached only by a failing test */
};

/** Daemon of the test. */
struct node {
	struct peer_transport *peer;
	struct counters counters;
	char vm[NAME_BYTES];
	uint64_t received;
	uint64_t last_number;
	bool in_order;
};

static uv_loop_t loop;

static void
handle_message(void *context, const struct message *message)
{
	struct node *node = context;

	ck_assert_int_eq(message->type, MESSAGE_APPEND_REPLY);
	node->in_order &= message->append_reply.number > node->last_number;
	node->last_number = message->append_reply.number;
	node->received++;
}

static void
node_open(struct node *node, const char *vm, const char *keys, int port)
{
	struct peer_options options = {
	    .vm = vm,
	    .address = "127.0.0.1",
	    .port = port,
	    .secret_key_file = keys,
	    .max_queued_messages = 16,
	    .counters = &node->counters,
	    .handler = handle_message,
	    .handler_context = node,
	};
	struct error err = {0};

	node->in_order = true;
	snprintf(node->vm, sizeof(node->vm), "%s", vm);
	node->peer = peer_create(&loop, &options, &err);
	ck_assert_msg(node->peer != NULL, "%s", err.text);
	ck_assert_int_gt(peer_port(node->peer), 0);
}

static void
set_address(struct node *from, struct node *to)
{
	peer_set_address(from->peer, to->vm, "127.0.0.1", peer_port(to->peer));
}

static enum peer_result
send_number(struct node *from, const char *to, uint64_t number)
{
	struct message message = {
	    .type = MESSAGE_APPEND_REPLY,
	    .append_reply = {.number = number},
	};

	return peer_send(from->peer, to, &message);
}

/* Runs the loop until a node has received count messages. Returns false if the
 * timeout passes. */
static bool
wait_received(const struct node *node, uint64_t count)
{
	int64_t end_us =
	    clock_monotonic_us() + (int64_t)WAIT_TIMEOUT_S * US_PER_S;

	while (node->received < count && clock_monotonic_us() < end_us) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(200);
	}
	return node->received >= count;
}

static void
close_loop(void)
{
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}

START_TEST(three_nodes_exchange_messages_on_one_loop)
{
	struct node nodes[NODE_COUNT] = {0};
	uint64_t sent = 0;

	uv_loop_init(&loop);
	for (int i = 0; i < NODE_COUNT; i++) {
		char vm[NAME_BYTES];

		snprintf(vm, sizeof(vm), "vm-%d", i);
		node_open(&nodes[i], vm, NULL, 0);
	}
	set_address(&nodes[0], &nodes[1]);
	set_address(&nodes[1], &nodes[2]);
	set_address(&nodes[2], &nodes[0]);
	for (uint64_t n = 1; n <= 200; n++) {
		for (int i = 0; i < NODE_COUNT; i++)
			ck_assert_int_eq(send_number(&nodes[i],
					     nodes[(i + 1) % NODE_COUNT].vm, n),
			    PEER_QUEUED);
		sent++;
		ck_assert(wait_received(&nodes[0], sent));
	}
	for (int i = 0; i < NODE_COUNT; i++) {
		ck_assert(wait_received(&nodes[i], sent));
		ck_assert(nodes[i].in_order);
		ck_assert_uint_eq(nodes[i].received, sent);
		ck_assert_uint_eq(nodes[i].counters.peer_bytes_sent_total,
		    nodes[i].counters.peer_bytes_received_total);
		ck_assert_uint_eq(nodes[i].counters.peer_dropped_total, 0);
		ck_assert_uint_eq(peer_connection_count(nodes[i].peer), 1);
	}
	for (int i = 0; i < NODE_COUNT; i++)
		peer_destroy(nodes[i].peer);
	close_loop();
}
END_TEST

START_TEST(a_burst_is_read_after_one_event)
{
	struct node nodes[2] = {0};
	uint64_t queued = 0;

	uv_loop_init(&loop);
	node_open(&nodes[0], "vm-0", NULL, 0);
	node_open(&nodes[1], "vm-1", NULL, 0);
	set_address(&nodes[0], &nodes[1]);
	while (queued < 2000) {
		if (send_number(&nodes[0], "vm-1", queued + 1) == PEER_QUEUED)
			queued++;
		else
			uv_run(&loop, UV_RUN_NOWAIT);
	}
	ck_assert(wait_received(&nodes[1], queued));
	ck_assert(nodes[1].in_order);
	peer_destroy(nodes[0].peer);
	peer_destroy(nodes[1].peer);
	close_loop();
}
END_TEST

START_TEST(dropped_messages_are_counted)
{
	struct node node = {0};
	struct node closed = {0};
	uint64_t queued = 0;
	struct buf wire = {0};
	static uint8_t bytes[PEER_MAX_MESSAGE_BYTES + 1];

	uv_loop_init(&loop);
	node_open(&node, "vm-0", NULL, 0);
	node_open(&closed, "vm-1", NULL, 0);
	set_address(&node, &closed);
	peer_destroy(closed.peer);
	for (uint64_t n = 1; n <= 100; n++)
		queued += send_number(&node, "vm-1", n) == PEER_QUEUED;
	ck_assert_uint_eq(queued, 16);
	ck_assert_uint_eq(node.counters.peer_dropped_total, 84);
	ck_assert_int_eq(send_number(&node, "vm-9", 1), PEER_NO_ADDRESS);
	buf_append(&wire, bytes, sizeof(bytes));
	ck_assert_int_eq(
	    peer_send_encoded(node.peer, "vm-1", &wire), PEER_TOO_LONG);
	ck_assert_uint_eq(node.counters.peer_dropped_total, 86);
	buf_reset(&wire);
	peer_destroy(node.peer);
	close_loop();
}
END_TEST

START_TEST(a_restarted_peer_is_reached_again)
{
	struct node nodes[2] = {0};
	struct node restarted = {0};

	uv_loop_init(&loop);
	node_open(&nodes[0], "vm-0", NULL, 0);
	node_open(&nodes[1], "vm-1", NULL, 0);
	set_address(&nodes[0], &nodes[1]);
	set_address(&nodes[1], &nodes[0]);
	send_number(&nodes[0], "vm-1", 1);
	send_number(&nodes[1], "vm-0", 1);
	ck_assert(wait_received(&nodes[0], 1));
	ck_assert(wait_received(&nodes[1], 1));
	peer_destroy(nodes[1].peer);
	node_open(&restarted, "vm-1", NULL, 0);
	set_address(&nodes[0], &restarted);
	set_address(&restarted, &nodes[0]);
	send_number(&nodes[0], "vm-1", 2);
	send_number(&restarted, "vm-0", 2);
	ck_assert(wait_received(&restarted, 1));
	ck_assert(wait_received(&nodes[0], 2));
	peer_remove(nodes[0].peer, "vm-1");
	ck_assert_int_eq(send_number(&nodes[0], "vm-1", 3), PEER_NO_ADDRESS);
	peer_destroy(nodes[0].peer);
	peer_destroy(restarted.peer);
	close_loop();
}
END_TEST

static void
write_keys(char path[32], const char *secret, const char *accept)
{
	int fd;

	snprintf(path, 32, "keys-XXXXXX");
	fd = mkstemp(path);
	ck_assert_int_ge(fd, 0);
	dprintf(fd, "# test\nsecret %s\n", secret);
	if (accept != NULL)
		dprintf(fd, "accept %s\n", accept);
	close(fd);
}

/* Connects to a server with a key pair and returns the event that ends the
 * handshake. */
static int
handshake_event(struct node *server, const char *server_key, const char *pub,
    const char *secret)
{
	void *zmq = zmq_ctx_new();
	void *client = zmq_socket(zmq, ZMQ_DEALER);
	void *monitor = zmq_socket(zmq, ZMQ_PAIR);
	int64_t end_us =
	    clock_monotonic_us() + (int64_t)WAIT_TIMEOUT_S * US_PER_S;
	char endpoint[64];
	uint16_t event = 0;
	zmq_msg_t frame;

	zmq_setsockopt(client, ZMQ_CURVE_SERVERKEY, server_key, 41);
	zmq_setsockopt(client, ZMQ_CURVE_PUBLICKEY, pub, 41);
	zmq_setsockopt(client, ZMQ_CURVE_SECRETKEY, secret, 41);
	zmq_socket_monitor(client, "inproc://monitor",
	    ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
	zmq_connect(monitor, "inproc://monitor");
	snprintf(endpoint, sizeof(endpoint), "tcp://127.0.0.1:%d",
	    peer_port(server->peer));
	zmq_connect(client, endpoint);
	zmq_msg_init(&frame);
	while (event == 0 && clock_monotonic_us() < end_us) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(200);
		if (zmq_msg_recv(&frame, monitor, ZMQ_DONTWAIT) > 0)
			memcpy(&event, zmq_msg_data(&frame), sizeof(event));
	}
	zmq_msg_close(&frame);
	zmq_close(monitor);
	zmq_close(client);
	zmq_ctx_term(zmq);
	return event;
}

START_TEST(only_accepted_keys_can_connect)
{
	char pub[3][41];
	char secret[3][41];
	char path[32];
	struct node server = {0};
	struct node member = {0};

	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(zmq_curve_keypair(pub[i], secret[i]), 0);
	write_keys(path, secret[0], pub[1]);
	uv_loop_init(&loop);
	node_open(&server, "vm-0", path, 0);
	node_open(&member, "vm-1", path, 0);
	set_address(&member, &server);
	send_number(&member, "vm-0", 1);
	ck_assert(wait_received(&server, 1));
	ck_assert_int_eq(handshake_event(&server, pub[0], pub[1], secret[1]),
	    ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
	ck_assert_int_eq(handshake_event(&server, pub[0], pub[2], secret[2]),
	    ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
	peer_destroy(member.peer);
	peer_destroy(server.peer);
	close_loop();
	unlink(path);
}
END_TEST

START_TEST(a_bad_key_file_is_reported)
{
	static const char good[] = "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7";
	static uv_loop_t own_loop;
	struct counters counters = {0};
	struct peer_options options = {
	    .vm = "vm-0",
	    .address = "127.0.0.1",
	    .counters = &counters,
	};
	struct error err = {0};
	char path[32];

	uv_loop_init(&own_loop);
	write_keys(path, good, "short");
	options.secret_key_file = path;
	ck_assert_ptr_null(peer_create(&own_loop, &options, &err));
	ck_assert_int_eq(err.code, ERROR_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, ":3:"));
	options.secret_key_file = "no-such-file";
	ck_assert_ptr_null(peer_create(&own_loop, &options, &err));
	ck_assert_int_eq(err.code, ERROR_IO);
	uv_run(&own_loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&own_loop), 0);
	unlink(path);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    three_nodes_exchange_messages_on_one_loop,
	    a_burst_is_read_after_one_event,
	    dropped_messages_are_counted,
	    a_restarted_peer_is_reached_again,
	    only_accepted_keys_can_connect,
	    a_bad_key_file_is_reported,
	};

	return run_tests(
	    "peer_socket", tests, sizeof(tests) / sizeof(tests[0]));
}
