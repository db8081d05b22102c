/* A request ends the servers that run it, and the gateway that sent it can't
 * tell: the server falls silent, the list of servers can't be read, or the
 * gateway dies first. Runs whose outcome nobody knows must bound how often the
 * request is sent. What counts is what reaches servers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/crash_fixture.h"

enum {
	MANY_SERVERS = 14,
	BACK_MS = 2900, /* until a crashed server runs again */
	STORE_AWAY_MS = 9000,
	GATEWAY_DOWN_MS = 400,
	KILL_AFTER_MS = 30, /* after a gateway has sent the request */
	POLL_MS = 20,
	LISTEN_MS = 5000, /* in which a gateway starts */
	KILLS_TRIES = 9,
	STORE_TRIES = 24,
};

/** What happens around each try. */
struct play {
	const char *target;
	int tries;
	int wait_ms; /**< until the caller leaves */
	int pace_ms; /**< between the starts of two tries */
	bool kill_sender;
	bool kill_all;
	bool store_away; /**< from the first try on */
};

static int64_t crashed_us[CLUSTER_MAX_SERVERS]; /* 0: the server runs */
static int64_t third_crash_us;
static int late_crashes; /* of runs that began after all must know */

static int64_t
ms_to_us(int ms)
{
	return (int64_t)ms * US_PER_MS;
}

static void
note_crash(int server, int64_t began_us)
{
	crashed_us[server] = clock_monotonic_us();
	if (++crashes == CRASHES)
		third_crash_us = crashed_us[server];
	else if (third_crash_us != 0 &&
	    began_us > third_crash_us + ms_to_us(SETTLE_MS))
		late_crashes++;
	printf("%lld ms: server %d ends, crash %d, %d late\n",
	    (long long)(clock_monotonic_us() / US_PER_MS), server, crashes,
	    late_crashes);
}

/* Notes servers that were frozen or have ended. */
static void
note_crashes(int64_t began_us)
{
	for (int i = 0; i < cluster.server_count; i++) {
		int status;

		if (crashed_us[i] != 0 ||
		    waitpid(cluster.servers[i].pid, &status,
			WNOHANG | WUNTRACED) != cluster.servers[i].pid)
			continue;
		if (!WIFSTOPPED(status))
			cluster.servers[i].pid = 0;
		note_crash(i, began_us);
	}
}

static void
restart_servers(void)
{
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < cluster.server_count; i++) {
		if (crashed_us[i] == 0 ||
		    now_us - crashed_us[i] < ms_to_us(BACK_MS))
			continue;
		if (cluster.servers[i].pid != 0)
			cluster_signal(&cluster.servers[i], SIGKILL);
		ck_assert(cluster_restart_server(&cluster, i));
		crashed_us[i] = 0;
	}
}

static void
wait_until(int64_t due_us, int64_t began_us)
{
	while (clock_monotonic_us() < due_us) {
		note_crashes(began_us);
		restart_servers();
		usleep(POLL_MS * US_PER_MS);
	}
}

static void
restart_gateways(int first, int count, int64_t began_us)
{
	for (int i = first; i < first + count; i++)
		cluster_signal(&cluster.gateways[i].process, SIGKILL);
	wait_until(clock_monotonic_us() + ms_to_us(GATEWAY_DOWN_MS), began_us);
	for (int i = first; i < first + count; i++)
		ck_assert(cluster_restart_gateway(&cluster, i));
}

/* A gateway that was restarted late may not listen yet. */
static void
wait_listening(int gateway)
{
	int64_t until_us = clock_monotonic_us() + ms_to_us(LISTEN_MS);
	struct http_caller caller;

	while (!http_caller_open(
	    &caller, cluster.gateways[gateway].process.port)) {
		ck_assert_msg(clock_monotonic_us() < until_us,
		    "gateway %d does not listen", gateway);
		usleep(POLL_MS * US_PER_MS);
	}
	http_caller_close(&caller);
}

static void
play_try(const struct play *play, int number)
{
	int64_t began_us;
	int gateway = number % GATEWAYS;
	char request[CALL_REQUEST_BYTES];
	struct http_caller caller;

	wait_listening(gateway);
	began_us = clock_monotonic_us();
	caller = call_start(&cluster, gateway, play->target, NULL, request);
	wait_until(began_us + ms_to_us(play->wait_ms), began_us);
	if (play->kill_sender)
		cluster_signal(&cluster.gateways[gateway].process, SIGKILL);
	http_caller_close(&caller);
	if (play->kill_sender)
		restart_gateways(gateway, 1, began_us);
	if (play->kill_all)
		restart_gateways(0, GATEWAYS, began_us);
	wait_until(began_us + ms_to_us(play->pace_ms), began_us);
}

static void
check_play(const struct play *play)
{
	third_crash_us = 0;
	late_crashes = 0;
	memset(crashed_us, 0, sizeof(crashed_us));
	for (int i = SERVERS; i < MANY_SERVERS; i++)
		ck_assert_int_ge(cluster_add_server(&cluster, "tools", ""), 0);
	usleep(LISTED_MS * US_PER_MS);
	if (play->store_away) {
		char faults[32];

		snprintf(faults, sizeof(faults), "{\"outage_ms\": %d}",
		    STORE_AWAY_MS);
		cluster_set_store_faults(&cluster, faults);
	}
	for (int i = 0; i < play->tries; i++)
		play_try(play, i);
	ck_assert_msg(late_crashes <= SENDS_AFTER,
	    "%d crashes, %d of runs that began over %d ms after the third",
	    crashes, late_crashes, SETTLE_MS);
	check_bound();
}

START_TEST(silent_crash_outlives_the_gateway_that_sent_the_request)
{
	static const struct play play = {
	    .target = "/once/crash-silent",
	    .tries = KILLS_TRIES,
	    .wait_ms = 1000,
	    .pace_ms = 2400,
	    .kill_sender = true,
	};

	check_play(&play);
}
END_TEST

START_TEST(run_outlives_a_gateway_that_dies_before_the_server)
{
	static const struct play play = {
	    .target = "/once/crash-later",
	    .tries = KILLS_TRIES,
	    .wait_ms = KILL_AFTER_MS,
	    .pace_ms = 2400,
	    .kill_sender = true,
	};

	check_play(&play);
}
END_TEST

START_TEST(silent_crashes_outlive_all_gateways)
{
	static const struct play play = {
	    .target = "/once/crash-silent",
	    .tries = KILLS_TRIES,
	    .wait_ms = 1500,
	    .pace_ms = 6500,
	    .kill_all = true,
	};

	check_play(&play);
}
END_TEST

START_TEST(request_whose_runs_are_unresolved_waits_for_the_store)
{
	static const struct play play = {
	    .target = "/once/crash-silent",
	    .tries = STORE_TRIES,
	    .wait_ms = 400,
	    .pace_ms = 900,
	    .store_away = true,
	};

	check_play(&play);
}
END_TEST

START_TEST(repeatable_request_whose_runs_are_unresolved_waits_for_the_store)
{
	static const struct play play = {
	    .target = "/safe/crash-silent",
	    .tries = STORE_TRIES,
	    .wait_ms = 700,
	    .pace_ms = 1400,
	    .store_away = true,
	};

	check_play(&play);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {
	    silent_crash_outlives_the_gateway_that_sent_the_request,
	    run_outlives_a_gateway_that_dies_before_the_server,
	    silent_crashes_outlive_all_gateways,
	    request_whose_runs_are_unresolved_waits_for_the_store,
	    repeatable_request_whose_runs_are_unresolved_waits_for_the_store,
	};

	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("crash-unresolved", tests,
	    sizeof(tests) / sizeof(tests[0]), setup, teardown);
}
