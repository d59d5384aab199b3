#ifndef DFF_CLIENT_COMMAND_H
#define DFF_CLIENT_COMMAND_H

#include <stddef.h>

/* The subcommands of the program, one file each. Each parses its own options with getopt_long() and
 * returns an exit code; argv[0] is the subcommand's name. */

/** Exit codes, documented in dragonflyfold(1). */
enum dff_exit_code {
	DFF_EXIT_OK = 0,
	DFF_EXIT_FAILED = 1,        /**< An error of this program or its machine. */
	DFF_EXIT_USAGE = 2,         /**< The command line is wrong. */
	DFF_EXIT_REFUSED = 3,       /**< Invalid, not allowed, not found, or a conflict. */
	DFF_EXIT_UNAVAILABLE = 4,   /**< No process answered, or all asked for a later retry. */
	DFF_EXIT_NOT_COMPLETED = 5, /**< Work ended with another outcome than completed. */
	DFF_EXIT_PENDING = 6,       /**< Not ended, or not in force, before the timeout. */
	DFF_EXIT_DIFFERENT = 7,     /**< diff: the file would change the pool. */
};

struct dff_cli_command {
	const char *name;
	const char *summary;
	int (*run) (int argc, char **argv);
};

/** Returns: every command, ordered by name. */
const struct dff_cli_command *dff_cli_commands (size_t *n_commands);

/** Returns: (nullable): the command called @name. */
const struct dff_cli_command *dff_cli_command_find (const char *name);

/** Prints on standard error what was expected. Returns: DFF_EXIT_USAGE. */
int dff_usage_fail (const char *command, const char *expected);

int dff_command_apply (int argc, char **argv);
int dff_command_cancel (int argc, char **argv);
int dff_command_check (int argc, char **argv);
int dff_command_diff (int argc, char **argv);
int dff_command_drain (int argc, char **argv);
int dff_command_fleet (int argc, char **argv);
int dff_command_keygen (int argc, char **argv);
int dff_command_result (int argc, char **argv);
int dff_command_serve (int argc, char **argv);
int dff_command_status (int argc, char **argv);
int dff_command_submit (int argc, char **argv);
int dff_command_trace (int argc, char **argv);

#endif
