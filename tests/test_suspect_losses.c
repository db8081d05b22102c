/* What a VM has not shown to be a crash yet dies with it: a server that has
 * ended, but at whose address a new process serves, is known to have ended only
 * by the list, seconds later. */
#include "tests/runner.h"
#include "tests/suspect_days.h"

START_TEST(runs_whose_servers_end_is_not_known_yet_survive_their_vms)
{
	static const struct troubles troubles = {
	    .vms = true, .servers = true, .reborn = true};

	suspect_days_check(SUSPECT_DAY_S, &troubles);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    runs_whose_servers_end_is_not_known_yet_survive_their_vms,
	};

	return run_tests(
	    "suspect-losses", tests, sizeof(tests) / sizeof(tests[0]));
}
