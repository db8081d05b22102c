#include <argp.h>
#include <stdlib.h>

#include "daemon/daemon.h"
#include "experiment/experiment.h"
#include "gateway/gateway.h"
#include "guavakeel/command.h"

const char *argp_program_version = "guavakeel " GUAVAKEEL_VERSION;

static const struct command commands[] = {
    {"check-config", "Check a settings file or a configuration",
	command_check_config},
    {"config", "Show, change, export and import the configuration",
	command_config},
    {"counters", "Print a daemon's counters", command_counters},
    {"daemon", "Run the entry daemon of this VM", daemon_main},
    {"drain", "Let a daemon finish its work and exit", command_drain},
    {"experiment", "Run the scheduler against engine fakes in virtual time",
	experiment_main},
    {"gateway", "Run the entry gateway of this VM", gateway_main},
    {"programs", "List the programs that a daemon owns", command_programs},
    {"status", "Print the state of the VMs as a daemon sees it",
	command_status},
    {0},
};

int
main(int argc, char **argv)
{
	argv[0] = "guavakeel";
	return command_dispatch(commands, argc, argv);
}
