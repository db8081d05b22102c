/** @file
 * What the parts of the HTTP server share; see h1/server.h for the whole.
 */
#ifndef H1_SERVER_INTERNAL_H
#define H1_SERVER_INTERNAL_H

#include <http_parser.h>
#include <uv.h>

#include "common/list.h"
#include "h1/server.h"

enum {
	PEER_BYTES = 46,    /**< of an IP address as text */
	READ_BYTES = 65536, /**< that are read at once */
};

enum phase {
	PHASE_IDLE,     /**< no byte of a request has come */
	PHASE_HEAD,     /**< a request's head is coming */
	PHASE_BODY,     /**< its body is coming */
	PHASE_RESPONSE, /**< the handler has it */
	PHASE_LINGER,   /**< the last answer is out, the connection closes */
};

enum framing {
	FRAMING_NONE, /**< the answer has not begun */
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
};

struct h1_connection {
	struct list link;   /**< in the server */
	struct list resume; /**< in the server, while more requests wait */
	struct h1_server *server;
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	http_parser parser;
	enum phase phase;
	int64_t phase_us; /**< when the phase began */
	size_t head_bytes;
	struct h1_exchange *exchange; /**< NULL while idle */
	struct buf pending;           /**< read past the present request */
	bool keep;                    /**< the connection outlives the answer */
	bool broken;                  /**< writing has failed */
	bool reading;
	bool closing;
	int reject_status; /**< set by parser callbacks */
	const char *reject_reason;
	const char *reject_detail;
	char peer[PEER_BYTES];
};

struct h1_exchange {
	struct h1_connection *connection;
	struct h1_head head;
	struct buf body;
	int64_t received_us;
	enum framing framing;
	void (*gone)(void *context);
	void *gone_context;
};

struct h1_server {
	struct h1_server_options options;
	uv_tcp_t listener;
	uv_timer_t sweep;
	uv_idle_t resume;
	struct list connections;
	struct list resumed; /**< connections with requests to be parsed */
	size_t connection_count;
	size_t exchange_count;
	int open_handles; /**< the server's own */
	bool draining;
	bool destroyed;
	int64_t drain_idle_us;
	char read_buffer[READ_BYTES];
};

/* server.c */
void h1_connection_close(struct h1_connection *connection);
/** Frees the exchange of a connection, if there is one. */
void h1_connection_drop_exchange(struct h1_connection *connection);
void
h1_connection_set_phase(struct h1_connection *connection, enum phase phase);
/** Closes once the caller has read what was sent: closing at once with bytes
 * unread would reset the connection and could lose the answer. */
void h1_connection_linger(struct h1_connection *connection);
void h1_connection_write(
    struct h1_connection *connection, const void *data, size_t len);
void h1_connection_start_reading(struct h1_connection *connection);

/* server_parse.c */
/** Parses up to the end of one request, and hands that to the handler. */
void h1_connection_parse(
    struct h1_connection *connection, const char *data, size_t len);
/** Parses what was read past the present request, from the loop. */
void h1_connection_resume_later(struct h1_connection *connection);

/* server_answer.c */
/** Answers a request that the handler never saw, and closes. */
void h1_connection_reject(struct h1_connection *connection, int status,
    const char *reason, const char *detail);

#endif
