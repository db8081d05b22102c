#include <unistd.h>

#include "common/clock.h"
#include "tests/crash_fixture.h"

enum {
	AFTER_TRIES = 6,
};

struct cluster cluster;
const char *build_dir;
int crashes;

void
start_cluster(bool with_paths, const char *server_arguments)
{
	crashes = 0;
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	for (int i = 0; i < SERVERS; i++)
		ck_assert_int_eq(
		    cluster_add_server(&cluster, "tools", server_arguments), i);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert_int_eq(with_paths
			? cluster_add_gateway_with_paths(&cluster)
			: cluster_add_gateway(&cluster),
		    i);
	for (int i = 0; i < GATEWAYS; i++)
		ck_assert(cluster_wait_ready(&cluster, i));
	usleep(LISTED_MS * US_PER_MS);
}

void
setup(void)
{
	start_cluster(false, "");
}

void
teardown(void)
{
	cluster_stop(&cluster);
}

void
restart_crashed(void)
{
	for (int i = 0; i < cluster.server_count; i++) {
		if (cluster.servers[i].pid == 0 ||
		    cluster_wait(&cluster.servers[i], 1) == -1)
			continue;
		crashes++;
		ck_assert(cluster_restart_server(&cluster, i));
	}
}

struct answer
send_and_restart(int gateway, const char *target)
{
	struct answer answer = call_once(&cluster, gateway, target, NULL);

	if (answer.status != 503)
		usleep(RESTART_MS * US_PER_MS);
	restart_crashed();
	return answer;
}

struct answer
send_crashing(int gateway, const char *target)
{
	struct answer answer = send_and_restart(gateway, target);

	ck_assert_int_ne(answer.status, 200);
	return answer;
}

void
crash_until_refused(const char *target)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		if (send_crashing(i % GATEWAYS, target).status == 503 &&
		    crashes >= CRASHES)
			return;
	}
	ck_abort_msg("after %d tries the request was not refused", TRIES_MAX);
}

void
check_refused(int gateway, const char *target)
{
	int before = crashes;

	for (int i = 0; i < AFTER_TRIES; i++) {
		struct answer answer = send_crashing(gateway, target);

		ck_assert_msg(answer.status == 503 && crashes == before,
		    "gateway %d: status %d, %d servers crashed after the third",
		    gateway, answer.status, crashes - before);
		ck_assert_double_gt(answer.retry_after, 0);
	}
}

void
check_bound(void)
{
	ck_assert_msg(crashes <= CRASHES + SENDS_AFTER,
	    "the request crashed %d servers, at most %d are permitted", crashes,
	    CRASHES + SENDS_AFTER);
}
