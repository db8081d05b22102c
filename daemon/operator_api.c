/* Handlers of status, metrics, health, drain, and the lists of programs and
 * addresses. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "daemon/call.h"
#include "daemon/controller.h"

enum {
	MAX_ADDRESSES = 3, /**< in one response */
};

void
handle_metrics(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	struct buf out = {0};

	(void)request;
	(void)rest;
	counters_render(&daemon->blackboard.counters, &out);
	http_respond(exchange, 200, "text/plain; version=0.0.4", NULL, out.data,
	    out.len);
	buf_reset(&out);
}

void
handle_health(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	(void)daemon;
	(void)request;
	(void)rest;
	respond_json(exchange, 200, json_pack("{s:b}", "alive", 1));
}

static bool
is_ready(const struct daemon *daemon)
{
	return daemon->owner != NULL && !daemon->blackboard.draining &&
	    owner_owned_shard_count(daemon->owner) > 0;
}

void
handle_ready(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	bool ready = is_ready(daemon);

	(void)request;
	(void)rest;
	respond_json(exchange, ready ? 200 : 503,
	    json_pack("{s:b, s:b, s:b, s:I}", "ready", ready, "configuration",
		daemon->blackboard.config.current != NULL, "draining",
		daemon->blackboard.draining, "config_version",
		(json_int_t)daemon->blackboard.config.version));
}

/* Returns the members as this VM knows them. */
static json_t *
describe_members(const struct daemon *daemon)
{
	static const char *const states[] = {
	    [MEMBER_LIVE] = "live",
	    [MEMBER_LEAVING] = "leaving",
	    [MEMBER_GONE] = "gone",
	};
	const struct members *members = &daemon->blackboard.members;
	json_t *list = json_array();

	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:I}", "vm", member->vm, "state",
			states[member_state(member, daemon->blackboard.now_us)],
			"failure_domain", member->failure_domain,
			"config_version", (json_int_t)member->config_version));
	}
	return list;
}

void
handle_status(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	const struct blackboard *blackboard = &daemon->blackboard;
	const struct owner *owner = daemon->owner;
	char digest_text[DIGEST_TEXT_BYTES];
	struct digest digest;

	(void)rest;
	if (!api_check_operator(daemon, exchange, request))
		return;
	digest = config_fold_digest(config_controller_fold(daemon->config));
	digest_format(&digest, digest_text);
	respond_json(exchange, 200,
	    json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:b, s:b, s:b, s:I, s:I, "
		      "s:I, s:I, s:o}",
		"vm", daemon->settings.vm_name, "address", daemon->address,
		"failure_domain", daemon->settings.failure_domain, "region",
		daemon->settings.region, "config_digest", digest_text,
		"config_version", (json_int_t)blackboard->config.version,
		"config_maybe_stale", blackboard->config.maybe_stale,
		"log_reachable", blackboard->log.reachable, "draining",
		blackboard->draining, "shards",
		(json_int_t)(owner != NULL ? owner_owned_shard_count(owner)
					   : 0),
		"open_calls", (json_int_t)HASH_COUNT(daemon->calls), "members",
		(json_int_t)blackboard->members.count, "up_s",
		(json_int_t)((blackboard->now_us - blackboard->started_us) /
		    US_PER_S),
		"vms", describe_members(daemon)));
}

void
handle_program_list(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	struct buf out = {0};

	(void)rest;
	if (!api_check_operator(daemon, exchange, request))
		return;
	owner_describe(daemon->owner, &out);
	http_respond(
	    exchange, 200, "application/json", NULL, out.data, out.len);
	buf_reset(&out);
}

void
handle_drain(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	(void)rest;
	if (!api_check_operator(daemon, exchange, request))
		return;
	if (request->method != HTTP_POST) {
		refuse_exchange(
		    daemon, exchange, REFUSAL_MALFORMED, "use POST");
		return;
	}
	respond_json(exchange, 202,
	    json_pack("{s:b, s:I}", "draining", 1, "open_calls",
		(json_int_t)HASH_COUNT(daemon->calls)));
	stop_controller_begin(daemon->stop);
}

static json_t *
member_address(const struct member *member)
{
	char address[2 * NAME_BYTES];

	snprintf(
	    address, sizeof(address), "%s:%d", member->address, member->port);
	return json_pack("{s:s, s:s, s:s}", "address", address,
	    "failure_domain", member->failure_domain, "region", member->region);
}

/* Returns live members. Those of this VM's region come first, and failure
 * domains alternate. */
static json_t *
pick_addresses(struct daemon *daemon)
{
	const struct member *order[MAX_ADDRESSES];
	size_t count = members_order(&daemon->blackboard.members,
	    daemon->settings.region, daemon->blackboard.next_call_id++,
	    daemon->blackboard.now_us, order, MAX_ADDRESSES);
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, member_address(order[i]));
	return list;
}

/* Inserts the owner of the program at the front of a list of at most
 * MAX_ADDRESSES, dropping the last entry if it gets too long. */
static void
put_owner_first(struct daemon *daemon, const char *program, json_t *list)
{
	const struct member *owner;
	uint32_t shard;

	if (!program_shard(program, &shard))
		return;
	owner = members_shard_owner(
	    &daemon->blackboard.members, shard, daemon->blackboard.now_us);
	if (owner == NULL)
		return;
	json_array_insert_new(list, 0, member_address(owner));
	if (json_array_size(list) > MAX_ADDRESSES)
		json_array_remove(list, MAX_ADDRESSES);
}

void
handle_addresses(struct daemon *daemon, struct http_exchange *exchange,
    const struct http_request *request, const char *rest)
{
	const struct config *config = daemon->blackboard.config.current;
	struct config_limits defaults;
	char program[PROGRAM_ID_BYTES];
	json_t *list = pick_addresses(daemon);
	int64_t ttl_us;

	(void)rest;
	config_limits_defaults(&defaults);
	ttl_us = config != NULL ? config->limits.address_ttl_us
				: defaults.address_ttl_us;
	if (http_request_query(request, "program", program, sizeof(program)))
		put_owner_first(daemon, program, list);
	respond_json(exchange, 200,
	    json_pack("{s:o, s:I}", "addresses", list, "keep_s",
		(json_int_t)(ttl_us / US_PER_S)));
}
