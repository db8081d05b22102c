/** @file
 * standin-tool: a tool service.
 */
#include "standins/actions.h"

int
main(int argc, char **argv)
{
	static const struct actions_program program = {
	    .name = "standin-tool",
	    .summary = "Stand-in for a tool service: POST /tools/NAME.",
	    .prefix = "/tools/",
	};

	return actions_main(&program, argc, argv);
}
