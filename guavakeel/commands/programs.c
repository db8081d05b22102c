#include "guavakeel/command.h"
#include "guavakeel/query.h"

int
command_programs(int argc, char **argv)
{
	static const char doc[] = "Lists the programs that a daemon owns.";

	return query_run(
	    doc, HTTP_GET, "/v1/programs", query_print_json, argc, argv);
}
