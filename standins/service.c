/** @file
 * standin-service: a plain service.
 */
#include "standins/actions.h"

int
main(int argc, char **argv)
{
	static const struct actions_program program = {
	    .name = "standin-service",
	    .summary = "Stand-in for a plain service: /services/NAME.",
	    .prefix = "/services/",
	};

	return actions_main(&program, argc, argv);
}
