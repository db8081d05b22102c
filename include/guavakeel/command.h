/** @file
 * Commands of the guavakeel program.
 */
#ifndef GUAVAKEEL_COMMAND_H
#define GUAVAKEEL_COMMAND_H

#include <stdbool.h>

/** Exit codes, as guavakeel(8) documents them. */
enum command_exit {
	COMMAND_OK = 0,
	COMMAND_FINDINGS = 1,    /**< the input has findings */
	COMMAND_CONFLICT = 2,    /**< another version was published first */
	COMMAND_UNAVAILABLE = 3, /**< the log or the daemon can't be reached */
	COMMAND_UNKNOWN = 4,     /**< the outcome is not known */
	COMMAND_REFUSED = 5,     /**< the daemon responded with an error */
	COMMAND_USAGE = 64,      /**< wrong arguments */
};

/** A command of the program, or a subcommand. */
struct command {
	const char *name;
	const char *summary; /**< line of the help text */
	/** Runs the command. argv[0] is "guavakeel NAME", and the command's own
	 * arguments follow. Returns an enum command_exit. */
	int (*run)(int argc, char **argv);
};

/** Runs the command that argv[1] names, or prints help or version. The table
 * ends with a NULL name. Returns an enum command_exit. */
int command_dispatch(const struct command *table, int argc, char **argv);

/* Commands of the program. */
int command_check_config(int argc, char **argv);
/** Checks a declared configuration; against may be NULL. */
int check_declared(const char *path, const char *against, bool json);
int command_config(int argc, char **argv);
int command_counters(int argc, char **argv);
int command_drain(int argc, char **argv);
int command_programs(int argc, char **argv);
int command_status(int argc, char **argv);

/* Subcommands of `guavakeel config`. */
int config_diff(int argc, char **argv);
int config_export(int argc, char **argv);
int config_history(int argc, char **argv);
int config_import(int argc, char **argv);
int config_patch(int argc, char **argv);
int config_revert_to(int argc, char **argv);
int config_show(int argc, char **argv);

#endif
