/** @file
 * Framework of the stand-ins: command line, HTTP server, requests and faults.
 *
 * Every stand-in serves /faults, /stats and paths of its own. Faults apply only
 * to its own paths.
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
#include "h1/server.h"
#include "net/http.h"
#include "standins/fields.h"

enum {
	STANDIN_KEY_BYTES = 256,
	STANDIN_QUERY_BYTES = 4096,
};

/** A request, valid until a reply ends it. Its caller may disconnect before. */
struct standin_request {
	struct standin *standin;
	struct http_exchange *exchange; /**< NULL: the caller disconnected */
	/** In place of exchange for a program with strict_targets. */
	struct h1_exchange *h1_exchange;
	enum http_method method;
	char path[HTTP_PATH_BYTES];
	char query[STANDIN_QUERY_BYTES]; /**< encoded if strict_targets */
	char key[STANDIN_KEY_BYTES];     /**< idempotency-key header, or "" */
	struct buf body;
	uv_timer_t *timer; /**< timer of standin_request_delay(), or NULL */
	void (*on_delay_elapsed)(struct standin_request *request);
	/** Called when the caller disconnects. May be NULL. */
	void (*on_close)(struct standin_request *request);
	void *context; /**< data of the program for this request */
};

/** Description of a stand-in program. */
struct standin_program {
	const char *name;
	const char *summary; /**< text at the top of --help */
	/** Rejects targets that are no URIs, and decodes query parameters as a
	 * form. Other programs get both as libwebsockets reads them. Streams
	 * and http_fetch() are not available. */
	bool strict_targets;
	const struct field *options;
	size_t option_count;
	/** Faults in addition to those of all stand-ins. */
	const struct field *faults;
	size_t fault_count;
	/** Called after the server has started to listen. May be NULL. */
	void (*start)(struct standin *standin);
	/** Frees the resources that start() allocated. May be NULL. */
	void (*stop)(struct standin *standin);
	/** Handles a request. Every request must end with one of
	 * standin_reply*(), standin_stream_end() and standin_drop_connection().
	 */
	void (*handle)(struct standin_request *request);
	/** Returns the response body of GET /stats. */
	json_t *(*stats)(struct standin *standin);
	/** Called after faults were set or cleared. May be NULL. */
	void (*faults_changed)(struct standin *standin);
};

/** A running stand-in. */
struct standin {
	const struct standin_program *program;
	uv_loop_t loop;
	struct net *net;             /**< NULL: strict_targets */
	struct h1_server *h1_server; /**< NULL unless strict_targets */
	struct rng rng;
	/* Command-line options. */
	int64_t listen_port;
	int64_t max_connections;
	int64_t seed;
	/* Faults. Members without a unit that are named after requests or
	 * replies count how many more of them the fault applies to. */
	int64_t outage_ms; /**< duration of an outage: status 503 to all */
	int64_t outage_until_us; /**< end of the outage */
	int64_t delay_ms;        /**< delay before a request is handled */
	int64_t reply_delay_ms;  /**< delay before a reply is sent */
	int64_t drop_requests;   /**< requests dropped before handling */
	double drop_probability; /**< probability that a request is dropped */
	int64_t lose_replies;    /**< connections dropped instead of a reply */
	double lose_probability; /**< probability that a reply is lost */
	int64_t hang_requests;   /**< requests neither handled nor replied to */
	int64_t hang_replies;    /**< requests handled but not replied to */
	int64_t error_requests;  /**< requests refused with error_status */
	int64_t error_status;    /**< status code; 0: 500 */
	int64_t exit_requests;   /**< requests that end the process unhandled */
	int64_t exit_replies; /**< replies in place of which the process ends */
	char *match_path;     /**< path prefix to limit faults to, or NULL */
};

/** Starts a stand-in on an event loop of its own. The caller must have set the
 * members listen_port, max_connections and seed. Errors: ERROR_IO. */
bool standin_open(struct standin *standin,
    const struct standin_program *program, struct error *err);
/** Stops a stand-in and frees its resources. */
void standin_close(struct standin *standin);
/** Runs a stand-in until the process is killed. Returns the exit status. */
int standin_main(const struct standin_program *program, int argc, char **argv);
/** Takes one from a fault's count of requests; returns false if it is 0. */
bool standin_consume_fault(int64_t *left);
bool standin_is_in_outage(const struct standin *standin);

/** Replies with a JSON body, whose reference it takes. The request is invalid
 * afterwards, as after the other standin_reply functions. */
void standin_reply(struct standin_request *request, int status, json_t *body);
/** Replies with {"error":{"reason":...}}. */
void standin_reply_error(
    struct standin_request *request, int status, const char *reason);
/** Replies with bytes of any content type. */
void standin_reply_bytes(struct standin_request *request, int status,
    const char *content_type, const void *data, size_t len);
/** Drops the connection. The request is invalid afterwards. */
void standin_drop_connection(struct standin_request *request);
/** Ends a streamed response, or a request whose caller disconnected. The
 * request is invalid afterwards. */
void standin_stream_end(struct standin_request *request);
/** Calls on_delay_elapsed after a delay, unless the request ends before. */
void standin_request_delay(struct standin_request *request, int64_t delay_ms,
    void (*on_delay_elapsed)(struct standin_request *request));
/** Returns the body as JSON, which the caller owns; NULL if it is malformed. */
json_t *standin_request_json(const struct standin_request *request);
/** Returns a query parameter as a number, or default_value if it is absent. */
int64_t standin_query_number(const struct standin_request *request,
    const char *name, int64_t default_value);
/** Decodes a query parameter of a program with strict_targets. Returns false if
 * it is absent or malformed. */
bool standin_query_bytes(
    const struct standin_request *request, const char *name, struct buf *value);
/** Copies a query parameter, or "" if it is absent or too long. */
void standin_query_text(const struct standin_request *request, const char *name,
    char *value, size_t size);
/** Returns the rest of the path after a prefix, or NULL if the path does not
 * start with it. */
const char *
standin_path_suffix(const struct standin_request *request, const char *prefix);

#endif
