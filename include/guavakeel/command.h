/** @file
 * Commands of the guavakeel program.
 */
#ifndef GUAVAKEEL_COMMAND_H
#define GUAVAKEEL_COMMAND_H

/** Exit codes, as guavakeel(8) documents them. */
enum command_exit {
	COMMAND_OK = 0,
	COMMAND_FINDINGS = 1,    /**< the input has findings */
	COMMAND_CONFLICT = 2,    /**< lost against another operator */
	COMMAND_UNAVAILABLE = 3, /**< a service can't be reached */
	COMMAND_UNKNOWN = 4,     /**< the outcome is not known */
	COMMAND_REFUSED = 5,     /**< the daemon answered an error */
	COMMAND_USAGE = 64,
};

struct command {
	const char *name;
	const char *summary;
	/** Gets its own arguments; argv[0] is "guavakeel NAME". Returns an
	 * enum command_exit. */
	int (*run)(int argc, char **argv);
};

/** Runs the command that argv[1] names, or prints help or version. The table
 * ends with a NULL name. */
int command_dispatch(const struct command *table, int argc, char **argv);

int command_check_config(int argc, char **argv);
int command_config(int argc, char **argv);
int command_counters(int argc, char **argv);
int command_drain(int argc, char **argv);
int command_programs(int argc, char **argv);
int command_status(int argc, char **argv);

int config_diff(int argc, char **argv);
int config_export(int argc, char **argv);
int config_history(int argc, char **argv);
int config_import(int argc, char **argv);
int config_patch(int argc, char **argv);
int config_revert_to(int argc, char **argv);
int config_show(int argc, char **argv);

#endif
