/** @file
 * Runs the tests of one module in this process, without forks, and prints the
 * result.
 */
#ifndef TESTS_RUNNER_H
#define TESTS_RUNNER_H

#include <check.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "standins/cluster.h"

enum {
	TEST_TIMEOUT_S = 100,
};

/** Runs each test between setup and teardown, which may be NULL; only those
 * with the text of the environment's TEST_CASE in their names, if it is set.
 * Returns the exit status of the process. */
static inline int
run_tests_in(const char *module, const TTest **tests, size_t count, SFun setup,
    SFun teardown)
{
	Suite *suite = suite_create(module);
	TCase *cases = tcase_create(module);
	SRunner *runner;
	const char *wanted = getenv("TEST_CASE");
	int failed;

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_set_timeout(cases, TEST_TIMEOUT_S);
	for (size_t i = 0; i < count; i++) {
		if (wanted == NULL || strstr(tests[i]->name, wanted) != NULL)
			tcase_add_test(cases, tests[i]);
	}
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	if (failed > 0)
		setenv(CLUSTER_TEST_FAILED, "1", 1);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Runs tests without setup and teardown, as run_tests_in() does. */
static inline int
run_tests(const char *module, const TTest **tests, size_t count)
{
	return run_tests_in(module, tests, count, NULL, NULL);
}

#endif
