/** @file
 * Message transport between daemons: ZeroMQ over TCP on the process's libuv
 * loop.
 *
 * Each daemon receives on one bound ROUTER socket and sends on one DEALER
 * socket per destination, which is opened on demand. Messages to a destination
 * arrive at most once and in order. Messages that do not fit into a queue are
 * dropped and counted.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <uv.h>

#include "common/counter.h"
#include "common/error.h"
#include "peer/message.h"

enum {
	PEER_MAX_MESSAGE_BYTES = 1 << 20,
};

struct peer_transport;

/** Handles a received message. The message and the data that it points to are
 * valid until the handler returns. */
typedef void (*peer_handler)(void *context, const struct message *message);

struct peer_options {
	const char *vm;      /**< name of this VM; must be unique */
	const char *address; /**< IP address to bind */
	int port;            /**< 0: any free port, see peer_port() */
	/** Key file, see docs/operators/peers.md; NULL or "": connections are
	 * neither encrypted nor authenticated. */
	const char *secret_key_file;
	int max_queued_messages; /**< limit of each queue; 0: 64 */
	/** Time after which an unused connection is closed; 0: 30 s. */
	int64_t idle_timeout_us;
	/** Time after which a connection with unacknowledged bytes is closed;
	 * 0: 5 s. */
	int64_t ack_timeout_us;
	struct counters *counters;
	peer_handler handler;
	void *handler_context;
};

enum peer_result {
	PEER_QUEUED,     /**< queued; delivery is not guaranteed */
	PEER_QUEUE_FULL, /**< queue full, or no connection; dropped, counted */
	/** Longer than PEER_MAX_MESSAGE_BYTES; dropped, counted. */
	PEER_TOO_LONG,
	PEER_NO_ADDRESS, /**< address of the VM unknown; dropped, counted */
};

/** Binds the address and starts to receive. Returns NULL on failure.
 * Errors: ERROR_IO if the address can't be bound or the key file can't be
 * read, ERROR_INVALID if the key file is malformed. */
struct peer_transport *peer_create(
    uv_loop_t *loop, const struct peer_options *options, struct error *err);
/** Closes all connections, and blocks for up to 250 ms while queued messages
 * are sent. The loop must be run afterwards until it has no handles left. */
void peer_destroy(struct peer_transport *peer);
/** Returns the port that the transport is bound to. */
int peer_port(const struct peer_transport *peer);
/** Sets the address that a VM listens on. If it changes, the connection to the
 * old address is closed. */
void peer_set_address(
    struct peer_transport *peer, const char *vm, const char *address, int port);
/** Removes a VM's address and closes the connection to it. */
void peer_remove(struct peer_transport *peer, const char *vm);
/** Queues a message to a VM and fills in its sender. */
enum peer_result
peer_send(struct peer_transport *peer, const char *vm, struct message *message);
/** Returns whether there is a connection to a VM; a message opens one. */
bool peer_is_connected(const struct peer_transport *peer, const char *vm);
/** Queues an encoded message to a VM. */
enum peer_result peer_send_encoded(
    struct peer_transport *peer, const char *vm, const struct buf *wire);
/** Returns the number of open outgoing connections. */
size_t peer_connection_count(const struct peer_transport *peer);

#endif
