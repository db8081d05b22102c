/** @file
 * Table of backend servers with the estimated load, speed and health of each.
 * The load estimate combines delayed load reports with the calls that this VM
 * sent since.
 */
#ifndef ROUTE_SERVER_H
#define ROUTE_SERVER_H

#include <uthash.h>

#include "common/list.h"
#include "route/breaker.h"
#include "route/sched.h"

/** Configuration and estimated state of a backend server. */
struct route_server {
	struct config_server config;
	double prefill_tokens_per_s;
	struct sched_load load; /**< last load report */
	int64_t reported_us;    /**< arrival of the last load report; 0: none */
	struct list attempts;   /**< this VM's running calls, linked by
				   route_call.attempt_link */
	uint32_t own_calls;     /**< length of attempts */
	int64_t calls_since_report; /**< this VM's calls started minus ended
				       since the report was measured */
	int64_t prefill_tokens_since_report; /**< this VM's prefill tokens sent
						minus completed since the report
						was measured */
	int64_t last_program_start_us; /**< last time that this VM started a
					  program on the server */
	double admission_draw; /**< random number (0..1) drawn with each report,
				  for probabilistic admission */
	double decode_token_us; /**< average time per generated token; 0:
				   unknown */
	struct breaker breaker;
	bool unhealthy;
	uint32_t flaps;       /**< recoveries in quick succession */
	int64_t recovered_us; /**< last time that the server became healthy */
	/** no new work before then, after flapping */
	int64_t ejected_until_us;
	bool leaving;    /**< set by the server list or an operator */
	bool configured; /**< whether it is in the current configuration */
	UT_hash_handle hh;
};

/** Table of backend servers. */
struct route_servers {
	struct route_server *by_name; /**< uthash by server name */
	/** servers in the current configuration */
	struct route_server **items;
	size_t count; /**< length of items */
};

/** Sets the servers of a configuration. Servers that are no longer in it stay
 * in the table, since calls and programs refer to them, but get no new work. */
void
servers_configure(struct route_servers *servers, const struct config *config);
/** Frees all servers. */
void servers_reset(struct route_servers *servers);
/** Returns the server with a name, configured or not, or NULL. */
struct route_server *
servers_find(const struct route_servers *servers, const char *name);
/** Applies a load report, unless it was measured before the last one. */
void server_handle_load(struct route_server *server,
    const struct sched_load *load, int64_t now_us, struct rng *rng);
/** Updates the average time per generated token with a call that generated
 * tokens in elapsed_us. */
void server_update_decode_speed(
    struct route_server *server, uint64_t tokens, int64_t elapsed_us);
/** Applies the result of a health probe. A server that recovers repeatedly in
 * quick succession is ejected for longer each time. */
void
server_handle_health(struct route_server *server, bool healthy, int64_t now_us);
/** Returns whether a server serves a model. */
bool server_has_model(const struct route_server *server, const char *model);
/** Returns whether new work may be sent to a server: it is configured, not
 * leaving, healthy, not ejected, and its circuit breaker allows calls. */
bool server_usable(const struct route_server *server, int64_t now_us);
/** Returns the estimated number of calls running and waiting on a server,
 * including those of other VMs. */
int64_t server_estimated_calls(
    const struct route_server *server, const struct sched_policy *policy);
/** Returns the estimated number of prompt tokens waiting for prefill on a
 * server. */
int64_t server_estimated_prefill_tokens(
    const struct route_server *server, const struct sched_policy *policy);
/** Returns the share of a server's KV memory in use (0..1), or 0 if its
 * capacity is unknown. */
double server_kv_utilization(const struct route_server *server);

#endif
