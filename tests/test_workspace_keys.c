#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/runner.h"

enum {
	GATEWAYS = 6,
	/* The last third of the gateways, whose path to the store is cut. */
	FIRST_WITHOUT_STORE = 4,
	CALL_MS = 5000,
	CALLS_MIN = 10, /* at a server that is killed, or at another one */
	CALLS_MAX = 50, /* until one of them has met the killed server */
	FIELDS_BYTES = 512,
	ID_BYTES = 32,
	NAME_FIELD_BYTES = 64,
	/* Within this time a configuration has to be in force everywhere. */
	APPLY_US = 4 * US_PER_S,
	/* Until gateways without the store notice it: their configuration is
	 * confirmed by no gateway and no read for longer than config_apply. */
	STALE_MS = 3500,
	LISTED_MS = 1500, /* until the gateways know new servers and paths */
	FROZEN_MS = 3000, /* before the change, longer than config_apply */
	POLL_US = 20 * US_PER_MS,
};

static struct cluster cluster;
static const char *build_dir;

static const char STALE_REFUSALS[] =
    "refusals_total{reason=\"configuration_may_be_stale\"}";
static const char OPEN_ROUTE[] =
    ",{\"name\":\"open\",\"host\":\"h.example\",\"pathPrefix\":\"/open/\","
    "\"kind\":\"safe\",\"timeoutMs\":1000,\"service\":\"tools\","
    "\"maxAttempts\":3,\"allowAnonymous\":true}";
static const char BOTH[] =
    ",\"tenants\":[{\"name\":\"alpha\",\"apiKeys\":[\"key-a\",\"old-a\"]},"
    "{\"name\":\"beta\",\"apiKeys\":[\"key-b\"]}]";
/* Without a key of alpha, and with a new one of beta. */
static const char CHANGED[] =
    ",\"tenants\":[{\"name\":\"alpha\",\"apiKeys\":[\"key-a\"]},"
    "{\"name\":\"beta\",\"apiKeys\":[\"key-b\",\"new-b\"]}]";
/* Without the only key of beta. */
static const char BETA_LOCKED[] =
    ",\"tenants\":[{\"name\":\"alpha\",\"apiKeys\":[\"key-a\",\"old-a\"]},"
    "{\"name\":\"beta\",\"apiKeys\":[]}]";

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish_with(&cluster, OPEN_ROUTE, BOTH);
	ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
	ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert_int_eq(cluster_add_gateway_with_paths(&cluster), i);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/** What a caller got. */
struct result {
	int status;
	bool complete;
	char workspace[NAME_FIELD_BYTES]; /**< that the server was named */
	bool key_seen;                    /**< by the server */
	bool retry_after;
	char request[ID_BYTES]; /**< id */
};

static void
copy_field(const struct http_reply *reply, const char *name,
    char value[NAME_FIELD_BYTES])
{
	const char *found = http_reply_field(reply, name);

	snprintf(value, NAME_FIELD_BYTES, "%s", found != NULL ? found : "");
}

static void
send_on(struct http_caller *caller, const char *target, const char *key,
    const char *fields, struct result *result)
{
	static int next;
	struct buf out = {0};

	snprintf(result->request, ID_BYTES, "key-%d", next++);
	buf_printf(&out,
	    "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: 4000\r\nToken-Usage: 100,50\r\n"
	    "Content-Length: 5\r\n%s",
	    target, result->request, fields);
	if (key != NULL)
		buf_printf(&out, "X-Api-Key: %s\r\n", key);
	buf_append_text(&out, "\r\ninput");
	ck_assert(http_caller_send(caller, out.data, out.len));
	buf_reset(&out);
}

static void
read_on(struct http_caller *caller, struct result *result)
{
	struct http_reply reply;

	http_caller_read(caller, CALL_MS, &reply);
	result->status = reply.status;
	result->complete = reply.complete;
	copy_field(&reply, "seen-tenant", result->workspace);
	result->key_seen = http_reply_field(&reply, "seen-key") != NULL;
	result->retry_after = http_reply_field(&reply, "retry-after") != NULL;
	http_reply_reset(&reply);
}

static struct http_caller
connect_to(int gateway)
{
	struct http_caller caller;

	ck_assert(
	    http_caller_open(&caller, cluster.gateways[gateway].process.port));
	return caller;
}

static struct result
call(int gateway, const char *target, const char *key, const char *fields)
{
	struct http_caller caller = connect_to(gateway);
	struct result result = {0};

	send_on(&caller, target, key, fields, &result);
	read_on(&caller, &result);
	http_caller_close(&caller);
	return result;
}

/* Calls again while the caller is asked to retry. */
static struct result
call_until_decided(
    int gateway, const char *target, const char *key, const char *fields)
{
	int64_t deadline_us = clock_monotonic_us() + APPLY_US;
	struct result result;

	do {
		result = call(gateway, target, key, fields);
		ck_assert(result.status != 503 || result.retry_after);
	} while (result.status == 503 && usleep(POLL_US) == 0 &&
	    clock_monotonic_us() < deadline_us);
	return result;
}

/* Guards against callers without a key, keys that reach a server, and callers
 * that name their workspace themselves. */
START_TEST(requests_need_a_key)
{
	struct result result = call(0, "/safe/x", "key-a", "");

	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "alpha");
	ck_assert(!result.key_seen);
	result = call(0, "/once/x", "key-b", "Tenant: alpha\r\n");
	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "beta");
	result = call(0, "/stream/x", "key-b", "");
	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "beta");
	result = call_until_decided(0, "/safe/x", NULL, "Tenant: alpha\r\n");
	ck_assert_int_eq(result.status, 401);
	result = call_until_decided(0, "/safe/x", "key", "");
	ck_assert_int_eq(result.status, 401);
	result =
	    call_until_decided(0, "/safe/x", "key-a", "X-Api-Key: key-b\r\n");
	ck_assert_int_eq(result.status, 401);
	ck_assert_int_eq(
	    cluster_request_run_count(&cluster, result.request), 0);
	ck_assert(cluster_has_logged(&cluster, 0, "\"workspace\":\"beta\""));
	ck_assert(!cluster_has_logged(&cluster, 0, "key-a"));
	ck_assert_int_eq(cluster_counter(&cluster, 0,
			     "workspace_requests_total{workspace=\"beta\"}"),
	    2);
	ck_assert_int_ge(cluster_counter(&cluster, 0,
			     "refusals_total{reason=\"unknown_key\"}"),
	    3);
}
END_TEST

/* Guards against a workspace that a caller of an open route makes up. */
START_TEST(open_routes_need_no_key)
{
	struct result result = call(0, "/open/x", NULL, "Tenant: alpha\r\n");

	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "");
	result = call(0, "/open/x", "unknown", "");
	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "");
	ck_assert(!result.key_seen);
	result = call(0, "/open/x", "key-a", "");
	ck_assert_str_eq(result.workspace, "alpha");
}
END_TEST

/* Guards against a second attempt that names no workspace. */
START_TEST(each_attempt_names_the_workspace)
{
	int server = cluster_add_server(&cluster, "tools", "");

	usleep(LISTED_MS * US_PER_MS);
	cluster_signal(&cluster.servers[server], SIGKILL);
	for (int i = 0; i < CALLS_MAX &&
	     (i < CALLS_MIN ||
		 !cluster_has_logged(&cluster, 0, "attempt_failed"));
	     i++) {
		struct result result = call(0, "/safe/x", "key-a", "");

		ck_assert_int_eq(result.status, 200);
		ck_assert_str_eq(result.workspace, "alpha");
	}
	ck_assert(cluster_has_logged(&cluster, 0, "attempt_failed"));
}
END_TEST

/* Waits until a key is no longer served at any gateway, and checks that this
 * takes no longer than a configuration may take. */
static void
check_revoked(const char *key, int64_t published_us)
{
	for (int i = 0; i < GATEWAYS; i++) {
		struct result result;

		while ((result = call(i, "/safe/x", key, "")).status == 200 &&
		    clock_monotonic_us() - published_us < APPLY_US)
			usleep(POLL_US);
		ck_assert_msg(result.status == 401 || result.status == 503,
		    "gateway %d: %d", i, result.status);
	}
}

static void
cut_store_paths(void)
{
	for (int i = FIRST_WITHOUT_STORE; i < GATEWAYS; i++)
		cluster_set_store_path(&cluster, i, "dark");
}

/* Guards against gateways that go on accepting a key: a third of them reaches
 * no store, and one caller keeps its connection. A request that began before is
 * completed. */
START_TEST(revoked_key_stops_at_all_gateways)
{
	struct http_caller kept = connect_to(GATEWAYS - 1);
	struct http_caller slow = connect_to(0);
	struct result result = {0};
	struct result begun = {0};
	int64_t published_us;

	send_on(&kept, "/safe/x", "old-a", "", &result);
	read_on(&kept, &result);
	ck_assert_int_eq(result.status, 200);
	cut_store_paths();
	usleep(STALE_MS * US_PER_MS);
	send_on(&slow, "/stream/slow", "old-a", "", &begun);
	usleep(100 * US_PER_MS);
	cluster_publish_with(&cluster, OPEN_ROUTE, CHANGED);
	published_us = clock_monotonic_us();
	check_revoked("old-a", published_us);
	send_on(&kept, "/safe/x", "old-a", "", &result);
	read_on(&kept, &result);
	ck_assert_int_ne(result.status, 200);
	read_on(&slow, &begun);
	ck_assert_int_eq(begun.status, 200);
	ck_assert(begun.complete);
	ck_assert_str_eq(begun.workspace, "alpha");
	for (int i = 0; i < GATEWAYS; i++) {
		ck_assert_int_eq(
		    call_until_decided(i, "/safe/x", "key-a", "").status, 200);
		ck_assert_int_eq(
		    call_until_decided(i, "/safe/x", "new-b", "").status, 200);
		ck_assert_int_eq(
		    call_until_decided(i, "/safe/x", "old-a", "").status, 401);
	}
	http_caller_close(&kept);
	http_caller_close(&slow);
}
END_TEST

/* Guards against a workspace that stays open when its last key is taken away,
 * or that locks out the others. */
START_TEST(last_key_of_a_workspace_can_be_revoked)
{
	cluster_publish_with(&cluster, OPEN_ROUTE, BETA_LOCKED);
	check_revoked("key-b", clock_monotonic_us());
	ck_assert_int_eq(
	    call_until_decided(0, "/safe/x", "key-b", "").status, 401);
	ck_assert_int_eq(call(0, "/safe/x", "key-a", "").status, 200);
}
END_TEST

/* Guards against a gateway that starts without the store and takes an old
 * configuration from another gateway that lacks the store too. */
START_TEST(gateway_that_starts_without_the_store_accepts_no_revoked_key)
{
	int last = GATEWAYS - 1;
	struct result result;

	cut_store_paths();
	cluster_signal(&cluster.gateways[last].process, SIGKILL);
	cluster_publish_with(&cluster, OPEN_ROUTE, CHANGED);
	usleep(APPLY_US);
	ck_assert(cluster_restart_gateway(&cluster, last));
	ck_assert(cluster_wait_ready(&cluster, last));
	result = call_until_decided(last, "/safe/x", "new-b", "");
	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "beta");
	ck_assert_int_eq(
	    call_until_decided(last, "/safe/x", "old-a", "").status, 401);
}
END_TEST

/* Guards against 401 for a key that a newer configuration may have, and against
 * an outage of the store that locks out all callers. */
START_TEST(unknown_key_is_in_doubt_without_the_store)
{
	struct result result;

	result = call_until_decided(0, "/safe/x", "new-b", "");
	ck_assert_int_eq(result.status, 401);
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 7000}");
	usleep(STALE_MS * US_PER_MS);
	result = call(0, "/safe/x", "new-b", "");
	ck_assert_int_eq(result.status, 503);
	ck_assert(result.retry_after);
	ck_assert_int_eq(call(0, "/safe/x", "key-a", "").status, 200);
}
END_TEST

/* Guards against a gateway without the store and without most of the others
 * that goes on accepting keys which may have been revoked. */
START_TEST(isolated_gateway_accepts_no_keys)
{
	struct result result;

	cluster_set_store_path(&cluster, 0, "dark");
	for (int i = 1; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGSTOP);
	usleep((STALE_MS + 1500) * US_PER_MS);
	result = call(0, "/safe/x", "key-a", "");
	for (int i = 1; i < GATEWAYS; i++)
		cluster_signal(&cluster.gateways[i].process, SIGCONT);
	ck_assert_int_eq(result.status, 503);
	ck_assert(result.retry_after);
	ck_assert_int_eq(
	    call_until_decided(0, "/safe/x", "key-a", "").status, 200);
}
END_TEST

static void
signal_gateways(int first, int end, int signal)
{
	for (int i = first; i < end; i++)
		cluster_signal(&cluster.gateways[i].process, signal);
}

/* Guards against heartbeats that waited while the VM was frozen: they tell of a
 * configuration that was the newest when they were sent, and of gateways that
 * were heard then. The caller's request waited too. */
START_TEST(thawed_gateway_accepts_no_revoked_key)
{
	int last = GATEWAYS - 1;
	struct http_caller kept = connect_to(last);
	struct result result = {0};
	int64_t thawed_us;

	cluster_set_store_path(&cluster, last, "dark");
	usleep(STALE_MS * US_PER_MS);
	ck_assert_int_eq(call(last, "/safe/x", "old-a", "").status, 200);
	cluster_signal(&cluster.gateways[last].process, SIGSTOP);
	usleep(FROZEN_MS * US_PER_MS);
	cluster_publish_with(&cluster, OPEN_ROUTE, CHANGED);
	usleep(APPLY_US + LISTED_MS * US_PER_MS);
	send_on(&kept, "/safe/x", "old-a", "", &result);
	thawed_us = clock_monotonic_us();
	cluster_signal(&cluster.gateways[last].process, SIGCONT);
	read_on(&kept, &result);
	ck_assert_int_ne(result.status, 200);
	while (
	    clock_monotonic_us() - thawed_us < (int64_t)LISTED_MS * US_PER_MS)
		ck_assert_int_ne(
		    call(last, "/safe/x", "old-a", "").status, 200);
	ck_assert_int_eq(
	    call_until_decided(last, "/safe/x", "old-a", "").status, 401);
	ck_assert_int_eq(
	    call_until_decided(last, "/safe/x", "new-b", "").status, 200);
	http_caller_close(&kept);
}
END_TEST

static void
wait_for_log(int gateway, const char *text)
{
	int64_t deadline_us =
	    clock_monotonic_us() + (int64_t)CALL_MS * US_PER_MS;

	while (!cluster_has_logged(&cluster, gateway, text)) {
		ck_assert_int_lt(clock_monotonic_us(), deadline_us);
		usleep(POLL_US);
	}
}

/* Guards against a gateway that starts in a cut-off part of the network, and
 * takes the configuration of the part for the newest one. It knows no servers
 * either, so the reasons of the refusals are checked. */
START_TEST(gateway_that_starts_cut_off_accepts_no_keys)
{
	int last = GATEWAYS - 1;

	cut_store_paths();
	signal_gateways(0, FIRST_WITHOUT_STORE, SIGSTOP);
	usleep((STALE_MS + LISTED_MS) * US_PER_MS);
	cluster_signal(&cluster.gateways[last].process, SIGKILL);
	ck_assert(cluster_restart_gateway(&cluster, last));
	wait_for_log(last, "\"from\":\"entry-4\"");
	for (int i = 1; i <= 50; i++) {
		ck_assert_int_eq(
		    call(last, "/safe/x", "old-a", "").status, 503);
		ck_assert_int_eq(
		    cluster_counter(&cluster, last, STALE_REFUSALS), i);
		usleep(POLL_US);
	}
	signal_gateways(0, FIRST_WITHOUT_STORE, SIGCONT);
	ck_assert_int_eq(
	    call_until_decided(last, "/safe/x", "old-a", "").status, 200);
}
END_TEST

/* Guards against callers that are locked out while the store is unavailable:
 * gateways that were killed and start again are not missing ones. */
START_TEST(restarts_lock_out_nobody_without_the_store)
{
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 30000}");
	usleep(STALE_MS * US_PER_MS);
	signal_gateways(0, FIRST_WITHOUT_STORE, SIGKILL);
	for (int i = 0; i < FIRST_WITHOUT_STORE; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
	for (int i = 0; i < 100; i++) {
		ck_assert_int_eq(
		    call(GATEWAYS - 1, "/safe/x", "key-a", "").status, 200);
		usleep(POLL_US);
	}
	/* Those that started know no servers, but the key is not in doubt. */
	for (int i = 0; i < FIRST_WITHOUT_STORE; i++) {
		struct result result = call(i, "/safe/x", "key-a", "");

		ck_assert(result.status == 200 || result.status == 503);
		ck_assert_int_eq(
		    cluster_counter(&cluster, i, STALE_REFUSALS), 0);
	}
}
END_TEST

/* Guards against callers that are locked out because gateways that stopped as
 * planned count as missing. */
START_TEST(stopped_gateways_are_not_missing)
{
	cluster_set_store_faults(&cluster, "{\"outage_ms\": 30000}");
	usleep(STALE_MS * US_PER_MS);
	signal_gateways(0, FIRST_WITHOUT_STORE, SIGTERM);
	for (int i = 0; i < FIRST_WITHOUT_STORE; i++)
		ck_assert_int_eq(
		    cluster_wait(&cluster.gateways[i].process, CALL_MS), 0);
	usleep((LISTED_MS + 500) * US_PER_MS);
	ck_assert_int_eq(
	    call(GATEWAYS - 1, "/safe/x", "key-a", "").status, 200);
}
END_TEST

static void
wait_until_listening(int gateway)
{
	int64_t deadline_us =
	    clock_monotonic_us() + (int64_t)CALL_MS * US_PER_MS;
	struct http_caller caller;

	while (!http_caller_open(
	    &caller, cluster.gateways[gateway].process.port)) {
		ck_assert_int_lt(clock_monotonic_us(), deadline_us);
		usleep(POLL_US);
	}
	http_caller_close(&caller);
}

/* Guards against 401 and 404 for requests that the version before allows, which
 * may be in force at other gateways: at a gateway that has just started and did
 * not know that version, and for a route that has been removed. */
START_TEST(version_before_may_be_in_force)
{
	int64_t published_us;
	int last = GATEWAYS - 1;
	struct result result;

	cluster_signal(&cluster.gateways[last].process, SIGKILL);
	cluster_publish_with(&cluster, "", CHANGED);
	published_us = clock_monotonic_us();
	ck_assert(cluster_restart_gateway(&cluster, last));
	wait_until_listening(last);
	while (clock_monotonic_us() - published_us < APPLY_US / 2) {
		result = call(0, "/open/x", "key-a", "");
		ck_assert_msg(result.status == 200 || result.status == 503,
		    "removed route: %d", result.status);
		result = call(last, "/safe/x", "old-a", "");
		ck_assert_msg(
		    result.status == 503, "removed key: %d", result.status);
		usleep(POLL_US);
	}
	ck_assert_int_eq(
	    call_until_decided(0, "/open/x", "key-a", "").status, 404);
	ck_assert_int_eq(
	    call_until_decided(last, "/safe/x", "old-a", "").status, 401);
}
END_TEST

/* Guards against a relayed request that loses its key or its workspace. */
START_TEST(relayed_requests_keep_their_workspace)
{
	struct result result = {0};

	for (int i = 0; i < 2; i++) {
		ck_assert_int_ge(cluster_add_server(&cluster, "models", ""), 0);
		ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	}
	usleep(LISTED_MS * US_PER_MS);
	cluster_set_paths(&cluster, 0, "reset");
	for (int i = 0; i < 100; i++) {
		result = call(0, "/safe/x", "key-a", "Tenant: beta\r\n");
		if (cluster_counter(&cluster, 0, "relayed_total") > 0 &&
		    result.status == 200)
			break;
		usleep(POLL_US);
	}
	ck_assert_int_gt(cluster_counter(&cluster, 0, "relayed_total"), 0);
	ck_assert_int_eq(result.status, 200);
	ck_assert_str_eq(result.workspace, "alpha");
	ck_assert(!result.key_seen);
	result = call_until_decided(0, "/safe/x", "unknown", "");
	ck_assert_int_eq(result.status, 401);
}
END_TEST

static struct result
turn(int gateway, const char *key, const char *program, const char *previous,
    int budget)
{
	char fields[FIELDS_BYTES];

	snprintf(fields, sizeof(fields),
	    "Program-Id: %s\r\nSession-Id: s\r\nToken-Budget: %d\r\n%s%s%s",
	    program, budget, previous != NULL ? "Previous-Turn: " : "",
	    previous != NULL ? previous : "", previous != NULL ? "\r\n" : "");
	return call_until_decided(gateway, "/turn/x", key, fields);
}

/* Guards against a workspace that reads the history of another one. */
START_TEST(turns_of_other_workspaces_do_not_exist)
{
	struct result first = turn(0, "key-a", "p", NULL, 10000);
	struct result next;

	ck_assert_int_eq(first.status, 200);
	next = turn(1, "old-a", "p", first.request, 10000);
	ck_assert_int_eq(next.status, 200);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(
		    turn(i, "key-b", "p", first.request, 10000).status, 404);
		ck_assert_int_eq(
		    turn(i, "key-b", "q", next.request, 10000).status, 404);
	}
	ck_assert_int_eq(
	    turn(2, "key-a", "q", next.request, 10000).status, 200);
	/* A caller can't write the mark that begins a scope. */
	ck_assert_int_eq(turn(0, "key-b", "p\001x", NULL, 10000).status, 400);
	ck_assert_int_eq(turn(0, "key-b", "p", "t\001x", 10000).status, 400);
}
END_TEST

/* Guards against a workspace that uses up the budget of another one's program.
 * A turn generates 40 tokens and may generate 50, so that a budget of 100 is
 * enough for two turns. The program's id leaves no room for a scope. */
START_TEST(budgets_of_workspaces_are_separate)
{
	static const char program[] =
	    "program-with-a-long-id-0123456789-0123456789-0123456789-012345";

	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(
		    turn(i, "key-a", program, NULL, 100).status, 200);
	ck_assert_int_eq(turn(2, "key-a", program, NULL, 100).status, 402);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(
		    turn(i, "key-b", program, NULL, 100).status, 200);
	ck_assert_int_eq(turn(2, "key-b", program, NULL, 100).status, 402);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    requests_need_a_key,
	    open_routes_need_no_key,
	    each_attempt_names_the_workspace,
	    revoked_key_stops_at_all_gateways,
	    last_key_of_a_workspace_can_be_revoked,
	    gateway_that_starts_without_the_store_accepts_no_revoked_key,
	    unknown_key_is_in_doubt_without_the_store,
	    isolated_gateway_accepts_no_keys,
	    thawed_gateway_accepts_no_revoked_key,
	    gateway_that_starts_cut_off_accepts_no_keys,
	    restarts_lock_out_nobody_without_the_store,
	    stopped_gateways_are_not_missing,
	    version_before_may_be_in_force,
	    relayed_requests_keep_their_workspace,
	    turns_of_other_workspaces_do_not_exist,
	    budgets_of_workspaces_are_separate,
	};

	if (argc != 2)
		return EXIT_FAILURE;
	build_dir = argv[1];
	return run_tests_in("workspace-keys", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
