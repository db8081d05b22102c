/** @file
 * What all stand-ins share: command line, server, requests, faults.
 *
 * A request's path is /faults, /stats or one of the program's own. Faults
 * reach only the program's own paths.
 */
#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "common/buf.h"
#include "common/rng.h"
#include "net/http.h"
#include "standins/fields.h"

enum {
	STANDIN_KEY_BYTES = 256,
};

/** A request, kept until it is answered. The caller may go away earlier. */
struct standin_request {
	struct standin *standin;
	struct http_exchange *exchange; /**< NULL: the caller has gone */
	enum http_method method;
	char path[HTTP_PATH_BYTES];
	char query[HTTP_PATH_BYTES];
	char key[STANDIN_KEY_BYTES]; /**< header idempotency-key, or "" */
	struct buf body;
	uv_timer_t *timer; /**< see standin_request_delay(); may be NULL */
	void (*on_delay_elapsed)(struct standin_request *request);
	void (*on_close)(struct standin_request *request);
	void *context; /**< of the program */
};

/** What makes a stand-in a program of its own. */
struct standin_program {
	const char *name;
	const char *summary; /**< of --help */
	const struct field *options;
	size_t option_count;
	/** Faults beside those that all stand-ins have. */
	const struct field *faults;
	size_t fault_count;
	/** Called once the server listens. May be NULL. */
	void (*start)(struct standin *standin);
	/** Frees what start() made. May be NULL. */
	void (*stop)(struct standin *standin);
	/** Takes a request, which ends in one of standin_reply*(),
	 * standin_stream_end() or standin_drop_connection(). */
	void (*handle)(struct standin_request *request);
	/** Returns the answer of GET /stats. */
	json_t *(*stats)(struct standin *standin);
	/** Faults were set or cleared. May be NULL. */
	void (*faults_changed)(struct standin *standin);
};

struct standin {
	const struct standin_program *program;
	uv_loop_t loop;
	struct net *net;
	struct rng rng;
	int64_t listen_port;
	int64_t max_connections;
	int64_t seed;
	/* faults */
	int64_t outage_ms;
	int64_t outage_until_us;
	int64_t delay_ms;
	int64_t reply_delay_ms;
	int64_t drop_requests;
	double drop_probability;
	int64_t lose_replies;
	double lose_probability;
	int64_t hang_requests;
	int64_t hang_replies;
	int64_t error_requests;
	int64_t error_status;
	int64_t exit_requests;
	int64_t exit_replies;
	char *match_path;
};

/** Starts to listen, on a loop of its own. The members listen_port,
 * max_connections and seed are read. Errors: ERROR_IO. */
bool standin_open(struct standin *standin,
    const struct standin_program *program, struct error *err);
/** Stops and frees what standin_open() made. */
void standin_close(struct standin *standin);
/** Runs a stand-in until the process is killed. Returns the exit status. */
int standin_main(const struct standin_program *program, int argc, char **argv);
/** Takes one of a number of ordered faults; false: none is left. */
bool standin_consume_fault(int64_t *left);
bool standin_is_in_outage(const struct standin *standin);

/** Answers with JSON, which is consumed; the request is then invalid. */
void standin_reply(struct standin_request *request, int status, json_t *body);
/** Answers {"error":{"reason":...}}. */
void standin_reply_error(
    struct standin_request *request, int status, const char *reason);
/** Answers with bytes of any type. */
void standin_reply_bytes(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len);
/** Cuts the connection; the request is then invalid. */
void standin_drop_connection(struct standin_request *request);
/** Ends a streamed answer, or one whose caller has gone; the request is then
 * invalid. */
void standin_stream_end(struct standin_request *request);
/** Calls on_time after a delay, unless the request is answered before. */
void standin_request_delay(struct standin_request *request, int64_t delay_ms,
    void (*on_delay_elapsed)(struct standin_request *request));
/** Returns the body as JSON; NULL when it is malformed. */
json_t *standin_request_json(const struct standin_request *request);
/** Returns a query parameter as a number, or a default. */
int64_t standin_query_number(const struct standin_request *request,
    const char *name, int64_t default_value);
/** Copies a query parameter; "" when it is absent. */
void standin_query_text(const struct standin_request *request, const char *name,
    char *value, size_t size);
/** Returns what follows a prefix in the path; NULL when it has another. */
const char *
standin_path_suffix(const struct standin_request *request, const char *prefix);

#endif
