#include "guavakeel/command.h"

int
command_config(int argc, char **argv)
{
	static const struct command commands[] = {
	    {"diff", "Print the patch from one version to another",
		config_diff},
	    {"export", "Write the document and all versions", config_export},
	    {"history", "List the accepted versions", config_history},
	    {"import", "Load an export into a log without versions",
		config_import},
	    {"patch", "Publish a patch of the current version", config_patch},
	    {"revert-to", "Publish the content of an old version again",
		config_revert_to},
	    {"show", "Print the document of a version", config_show},
	    {0},
	};

	return command_dispatch(commands, argc, argv);
}
