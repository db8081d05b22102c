#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "tests/runner.h"

/* A gateway needs much memory for a moment, for example while it decodes a
 * large configuration. VMs are small and pay for memory by time, so what was
 * freed has to go back to the system. */

enum {
	ROUTES = 1500,
	CONFIG_S = 2, /* until a configuration is in force, and a second more */
	ROUNDS = 3,
	/* That a gateway may keep: what it leaves free by design, and pages
	 * that are in use in part. */
	KEPT_KB = 1280,
};

static struct cluster cluster;
static const char *build_dir;

static void
setup(void)
{
	ck_assert(cluster_start(&cluster, build_dir));
	cluster_publish(&cluster, "");
	ck_assert_int_ge(cluster_add_gateway(&cluster), 0);
	ck_assert(cluster_wait_ready(&cluster, 0));
	sleep(CONFIG_S);
}

static void
teardown(void)
{
	cluster_stop(&cluster);
}

/* Returns the memory of the gateway without that of its program files. */
static long
anonymous_memory_kb(void)
{
	long kb = cluster_memory_kb(&cluster, 0, "RssAnon");

	ck_assert_int_gt(kb, 0);
	return kb;
}

static void
publish_large_configuration(void)
{
	struct buf routes = {0};

	for (int i = 0; i < ROUTES; i++)
		buf_printf(&routes,
		    ",{\"name\":\"large-%d\",\"host\":\"h.example\","
		    "\"pathPrefix\":\"/large-%d/\",\"kind\":\"safe\","
		    "\"timeoutMs\":1000,\"targetLatencyMs\":100,"
		    "\"priority\":2,\"service\":\"tools\",\"maxAttempts\":3}",
		    i, i);
	cluster_publish(&cluster, buf_text(&routes));
	buf_reset(&routes);
}

START_TEST(memory_for_large_configurations_is_given_back)
{
	long before_kb = anonymous_memory_kb();

	for (int i = 0; i < ROUNDS; i++) {
		publish_large_configuration();
		sleep(CONFIG_S);
		cluster_publish(&cluster, "");
		sleep(CONFIG_S);
	}
	ck_assert_int_le(anonymous_memory_kb() - before_kb, KEPT_KB);
}
END_TEST

int
main(int argc, char **argv)
{
	const TTest *tests[] = {memory_for_large_configurations_is_given_back};
	size_t count = sizeof(tests) / sizeof(tests[0]);

#ifdef __SANITIZE_ADDRESS__
	count = 0; /* the sanitizers' allocator keeps what was freed */
#endif
	build_dir = argc > 1 ? argv[1] : "build";
	signal(SIGPIPE, SIG_IGN);
	return run_tests_in("memory", tests, count, setup, teardown);
}
