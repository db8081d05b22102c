/** @file
 * What the cases of review 2 share: a record of what happens, an HTTP/1.1
 * server with a thread for each connection, stand-ins of the platform's store
 * and of backend servers, gateways as separate processes, and callers.
 *
 * The stand-ins follow PROTOCOL.md of the platform. All addresses are loopback
 * addresses.
 */
#ifndef REVIEW_CASE_H
#define REVIEW_CASE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/buf.h"

enum {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2,
	CASE_GATEWAYS_MAX = 8,
	CASE_ID_BYTES = 40,
	CASE_STACK_BYTES = 256 << 10,
};

/* The record. */

/** Opens the record and reads TROUBLE; the time counts from here. Ends the
 * process with CASE_NOT_RUN after `limit` seconds. */
void case_begin(const char *path, int limit);
/** Returns false if TROUBLE=0 is in the environment. */
bool case_has_trouble(void);
/** Writes a line with the time to the record. */
void case_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Returns the milliseconds since case_begin(). */
int64_t case_ms(void);
void case_sleep_until(int64_t ms);
/** Kills the gateways and ends the process with a status. */
void case_end(int status) __attribute__((noreturn));
/** Writes a new id of 16 hexadecimal digits. */
void case_new_id(char id[CASE_ID_BYTES]);
void case_start_thread(void *(*run)(void *), void *context);

/* HTTP server. */

struct case_request {
	int fd;
	char method[16];
	char target[1024];
	struct buf head; /**< with a NUL after it */
	struct buf body;
	size_t body_length; /**< as the head says */
	bool keep_alive;
};

/** Handles a request whose head has been read. Returns false if the connection
 * is to be closed. */
typedef bool (*case_handler)(void *context, struct case_request *request);

/** Listens on a free port, which is returned; 0 on failure. */
int case_serve(case_handler handle, void *context);
bool case_read_body(struct case_request *request);
/** Returns the value of a field of the head in `value`, "" if absent. */
void case_field(const struct case_request *request, const char *name,
    char *value, size_t size);
bool case_send(int fd, const void *data, size_t len);

/* Callers. */

struct case_reply {
	int status;      /**< 0: no head was received */
	bool complete;   /**< the whole answer was received */
	bool gave_up;    /**< it was waited for in vain until the end */
	bool closing;    /**< has Connection: close */
	struct buf head; /**< with a NUL after it */
	struct buf body;
};

/** Connects to a port on loopback. Returns a socket, or -1. */
int case_connect(int port);
/** Reads an answer for at most ms milliseconds. The caller sends one request
 * at a time, so nothing follows it. */
void case_read_reply(int fd, int ms, struct case_reply *reply);
/** Returns the value of a field in `value`, "" if absent. */
void case_reply_field(
    const struct case_reply *reply, const char *name, char *value, size_t size);
void case_reply_reset(struct case_reply *reply);
/** Sends a request with a body on a new connection and reads the answer.
 * fields: lines that end in CRLF. */
void
case_call(int port, const char *method, const char *target, const char *fields,
    const void *body, size_t len, int ms, struct case_reply *reply);

/* Store. */

struct case_store;

struct case_store_options {
	size_t capacity_bytes; /**< above it appends receive 507; 0: none */
	int64_t retention_ms;  /**< records expire after it; 0: never */
};

struct case_store *case_store_start(const struct case_store_options *options);
int case_store_port(const struct case_store *store);
/** Writes a record as the operator or a server does. */
void case_store_put(struct case_store *store, const char *topic,
    const char *key, const char *value);
size_t case_store_bytes(struct case_store *store);
/** Returns how many appends have received 507. */
unsigned case_store_full_count(const struct case_store *store);

/* Model servers of one service, at 127.0.0.1. */

struct case_server {
	char id[CASE_ID_BYTES];
	int port;
};

/** Publishes a configuration with the routes /turn/, where turns are retained,
 * and /stream/, where they are not. */
void case_publish(struct case_store *store, int retention_s);
/** Writes a server's entry. born_ms: start of its lifetime. */
void case_put_server(
    struct case_store *store, const char *id, int port, long born_ms);
/** Starts servers whose requests are handled with a struct case_server as
 * context, and writes their entries. */
void case_start_servers(struct case_store *store, case_handler handle,
    struct case_server *servers, int count);
/** Answers with a stream of events, the first one after event_ms. */
bool
case_send_stream(const struct case_request *request, int events, int event_ms);
bool case_begin_stream(const struct case_request *request);
bool case_send_event(const struct case_request *request, int number);
bool case_end_stream(const struct case_request *request);

/* Gateways. */

/** Starts gateways with a store. domains: number of zones. */
void case_gateways_init(int store_port, int memory_mb, int domains);
/** Starts the first gateways and waits until they are ready. */
void case_gateways_start(int count);
/** Starts a gateway; false on failure. Also after it has ended. */
bool case_gateway_start(int number);
void case_gateway_signal(int number, int signal);
int case_gateway_port(int number);

#endif
