/** @file
 * Declarations shared by the source files of the HTTP server; see h1/server.h
 * for its interface.
 */
#ifndef H1_SERVER_INTERNAL_H
#define H1_SERVER_INTERNAL_H

#include <http_parser.h>
#include <uv.h>

#include "common/list.h"
#include "h1/server.h"

enum {
	PEER_BYTES = 46,    /**< an IP address as text */
	READ_BYTES = 65536, /**< longest single read */
};

enum phase {
	PHASE_IDLE,     /**< between requests */
	PHASE_HEAD,     /**< receiving a request's head */
	PHASE_BODY,     /**< receiving a request's body */
	PHASE_RESPONSE, /**< the handler has the request */
	PHASE_LINGER,   /**< the last response was sent; closing */
};

enum framing {
	FRAMING_NONE, /**< the response has not started */
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_CONNECTION, /**< the end of the connection ends the body */
};

struct h1_connection {
	struct list link; /**< in h1_server.connections */
	/** In h1_server.resume_queue, while received requests wait to be parsed
	 * (see unparsed). */
	struct list resume_link;
	struct h1_server *server;
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	http_parser parser;
	enum phase phase;
	int64_t phase_started_us; /**< start of the phase, or last piece of the
				     body */
	size_t head_bytes;
	struct h1_exchange *exchange; /**< NULL while idle */
	struct buf unparsed; /**< bytes received after the current request */
	bool keep_alive;     /**< the connection stays open after the
			  response */
	bool write_failed;   /**< a write has failed */
	size_t held_bytes;   /**< memory of what the caller has not read */
	/** Since when it holds any; 0: it held none when it last was looked at.
	 */
	int64_t behind_since_us;
	uint64_t behind_bytes; /**< queued in all since then */
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
	void (*on_close)(void *context); /**< see h1_exchange_on_close() */
	void *close_context;
};

struct h1_server {
	struct h1_server_options options;
	uv_tcp_t listener;
	uv_timer_t timeout_timer;
	uv_idle_t resume_idle; /**< runs while resume_queue has connections */
	struct list connections;
	struct list resume_queue; /**< connections with requests to parse */
	size_t connection_count;
	size_t exchange_count;
	int open_handles; /**< without those of connections */
	bool draining;
	bool destroyed;
	int64_t drain_idle_us;
	char read_buffer[READ_BYTES];
};

/* server.c */
/** Closes a connection without running its on_close callback. */
void h1_connection_close(struct h1_connection *connection);
/** Does the same with a TCP reset instead of an orderly close. */
void h1_connection_reset(struct h1_connection *connection);
/** Closes a connection, and runs the on_close callback of a request that the
 * handler has. */
void h1_connection_lost(struct h1_connection *connection);
/** Frees the exchange of a connection, if there is one. */
void h1_connection_drop_exchange(struct h1_connection *connection);
void
h1_connection_set_phase(struct h1_connection *connection, enum phase phase);
/** Shuts down sending, and closes the connection when the caller closes it or
 * after a second. Closing at once, with received bytes unread, would reset the
 * connection and could lose the response. */
void h1_connection_linger(struct h1_connection *connection);
void h1_connection_write(
    struct h1_connection *connection, const void *data, size_t len);
void h1_connection_start_reading(struct h1_connection *connection);

/* server_parse.c */
/** Parses up to the end of one request and calls the handler with it. Bytes
 * after that request are kept in unparsed. */
void h1_connection_parse(
    struct h1_connection *connection, const char *data, size_t len);
/** Schedules parsing of the unparsed bytes in the next loop iteration. */
void h1_connection_resume_later(struct h1_connection *connection);

/* server_response.c */
/** Responds with an error to a request that the handler has not seen, and
 * closes the connection. */
void h1_connection_reject(struct h1_connection *connection, int status,
    const char *reason, const char *detail);

#endif
