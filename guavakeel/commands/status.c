#include "guavakeel/command.h"
#include "guavakeel/query.h"

int
command_status(int argc, char **argv)
{
	static const char doc[] =
	    "Prints the state of the VMs as a daemon sees it: the configuration version in force on each, and which ones lag.";

	return query_run(
	    doc, HTTP_GET, "/v1/status", query_print_json, argc, argv);
}
