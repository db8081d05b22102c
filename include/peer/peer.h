/** @file
 * Message transport between daemons: ZeroMQ over TCP on the process's own
 * libuv loop.
 *
 * Each daemon receives on one bound ROUTER socket and sends on one DEALER
 * socket a destination, opened on demand. Delivery is at most once and in
 * order a destination; what does not fit into a queue is dropped and counted.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <uv.h>

#include "common/counter.h"
#include "common/error.h"
#include "peer/message.h"

enum {
	PEER_MAX_MESSAGE_BYTES = 1 << 20, /**< longest message */
};

struct peer_transport;

/** Takes a message; it and what it points to are valid until the return. */
typedef void (*peer_handler)(void *context, const struct message *message);

struct peer_options {
	const char *vm;      /**< name of this VM; must be unique */
	const char *address; /**< IP address to bind */
	int port;            /**< 0: any free one, see peer_port() */
	/** File of keys, see docs/operators/peers.md; NULL or "": plain. */
	const char *secret_key_file;
	int max_queued_messages; /**< bound of each queue; 0: 64 */
	int64_t idle_timeout_us; /**< unused connections close; 0: 30 s */
	int64_t ack_timeout_us;  /**< unacknowledged bytes close one; 0: 5 s */
	struct counters *counters;
	peer_handler handler;
	void *handler_context;
};

enum peer_result {
	PEER_QUEUED,     /**< may arrive */
	PEER_QUEUE_FULL, /**< dropped and counted */
	PEER_TOO_LONG,   /**< longer than PEER_MAX_MESSAGE_BYTES; counted */
	PEER_NO_ADDRESS, /**< the VM's address is not known; counted */
};

/** Binds and starts to receive. Returns NULL on failure.
 * Errors: ERROR_IO when the address can't be bound, ERROR_INVALID for a bad
 * key file. */
struct peer_transport *peer_create(
    uv_loop_t *loop, const struct peer_options *options, struct error *err);
/** Closes all connections; unsent messages have a moment to leave. The loop
 * must be run afterwards until it has no handles left. */
void peer_destroy(struct peer_transport *peer);
int peer_port(const struct peer_transport *peer);
/** Tells where a VM listens. A change closes the old connection. */
void peer_set_address(
    struct peer_transport *peer, const char *vm, const char *address, int port);
/** Forgets a VM and closes the connection to it. */
void peer_remove(struct peer_transport *peer, const char *vm);
/** Queues a message to a VM; the sender's name is filled in. */
enum peer_result
peer_send(struct peer_transport *peer, const char *vm, struct message *message);
/** Queues a message that is encoded already. */
enum peer_result peer_send_encoded(
    struct peer_transport *peer, const char *vm, const struct buf *wire);
/** Returns the number of open outgoing connections. */
size_t peer_connection_count(const struct peer_transport *peer);

#endif
