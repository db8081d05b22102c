#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavakeel/command.h"

static void
print_help(const struct command *table, const char *program, FILE *out)
{
	fprintf(out, "Usage: %s COMMAND [OPTION...]\n\nCommands:\n", program);
	for (; table->name != NULL; table++)
		fprintf(out, "  %-14s %s\n", table->name, table->summary);
	fprintf(out, "\n'%s COMMAND --help' describes a command.\n", program);
}

static int
run_command(
    const struct command *command, const char *program, int argc, char **argv)
{
	char *name;
	int code;

	if (asprintf(&name, "%s %s", program, command->name) < 0)
		return COMMAND_UNAVAILABLE;
	argv[1] = name;
	code = command->run(argc - 1, argv + 1);
	free(name);
	return code;
}

int
command_dispatch(const struct command *table, int argc, char **argv)
{
	const char *program = argv[0];

	if (argc < 2) {
		print_help(table, program, stderr);
		return COMMAND_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_help(table, program, stdout);
		return COMMAND_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("%s\n", argp_program_version);
		return COMMAND_OK;
	}
	for (const struct command *command = table; command->name != NULL;
	     command++) {
		if (strcmp(command->name, argv[1]) == 0)
			return run_command(command, program, argc, argv);
	}
	fprintf(stderr, "%s: unknown command: %s\n", program, argv[1]);
	print_help(table, program, stderr);
	return COMMAND_USAGE;
}
