/** @file
 * Table of backend servers and what is believed of each: load from lagging
 * reports put together with this VM's own calls, speed, health.
 */
#ifndef ROUTE_SERVER_H
#define ROUTE_SERVER_H

#include <uthash.h>

#include "common/list.h"
#include "route/breaker.h"
#include "route/sched.h"

struct route_server {
	struct config_server config;
	double prefill_tokens_per_s;
	struct sched_load load;
	int64_t reported_us;  /**< arrival of the last report; 0: none */
	struct list attempts; /**< own calls under way: route_call.attempt */
	uint32_t own_calls;   /**< length of attempts */
	int64_t calls_since_report; /**< own calls begun, less ended, since the
				  report was measured */
	int64_t prefill_tokens_since_report; /**< of own calls since then */
	int64_t last_program_start_us; /**< when this VM last began a program
					  there */
	double admission_draw;         /**< random, 0..1, of the last report */
	double
	    decode_token_us; /**< learned time a generated token; 0: unknown */
	struct breaker breaker;
	bool unhealthy;
	uint32_t flaps;           /**< recoveries in quick succession */
	int64_t recovered_us;     /**< last time that it became healthy */
	int64_t ejected_until_us; /**< after a recovery */
	bool leaving;
	bool configured; /**< false: no longer in the configuration */
	UT_hash_handle hh;
};

struct route_servers {
	struct route_server *by_name; /**< uthash */
	struct route_server **items;  /**< the configured ones */
	size_t count;
};

void
servers_configure(struct route_servers *servers, const struct config *config);
void servers_reset(struct route_servers *servers);
struct route_server *
servers_find(const struct route_servers *servers, const char *name);
/** Takes a load report; older ones than the last are ignored. */
void server_handle_load(struct route_server *server,
    const struct sched_load *load, int64_t now_us, struct rng *rng);
/** Takes the time that a server needed for generated tokens. */
void server_update_decode_speed(
    struct route_server *server, uint64_t tokens, int64_t elapsed_us);
/** Takes the result of a probe. A server that flaps stays out longer after
 * each recovery. */
void
server_handle_health(struct route_server *server, bool healthy, int64_t now_us);
bool server_has_model(const struct route_server *server, const char *model);
/** Returns whether new work may be sent to the server. */
bool server_usable(const struct route_server *server, int64_t now_us);
/** Estimated calls running and waiting there, those of other VMs included. */
int64_t server_estimated_calls(
    const struct route_server *server, const struct sched_policy *policy);
/** Estimated prompt tokens that wait for prefill there. */
int64_t server_estimated_prefill_tokens(
    const struct route_server *server, const struct sched_policy *policy);
/** Share of its KV memory in use, 0..1. */
double server_kv_utilization(const struct route_server *server);

#endif
