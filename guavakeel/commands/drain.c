#include "guavakeel/command.h"
#include "guavakeel/query.h"

int
command_drain(int argc, char **argv)
{
	static const char doc[] =
	    "Lets a daemon move its programs, finish its work and exit.";

	return query_run(
	    doc, HTTP_POST, "/v1/drain", query_print_json, argc, argv);
}
