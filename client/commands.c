#include "client/command.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Ordered by name, for bsearch(). */
static const struct dff_cli_command commands[] = {
	{"apply", "put a pool file in force as a whole", dff_command_apply},
	{"cancel", "cancel a job, a batch, or all jobs of a team", dff_command_cancel},
	{"check", "check a settings file or a pool file", dff_command_check},
	{"diff", "show what a pool file would change", dff_command_diff},
	{"drain", "stop a process gracefully", dff_command_drain},
	{"fleet", "run one process on the users' platform", dff_command_fleet},
	{"keygen", "make a peer key pair or a bearer token", dff_command_keygen},
	{"result", "fetch the whole result of a job", dff_command_result},
	{"serve", "run one process of the system", dff_command_serve},
	{"status", "show jobs, batches, teams, racks or instances", dff_command_status},
	{"submit", "submit a job or a batch", dff_command_submit},
	{"trace", "print the spans of one request as a tree", dff_command_trace},
};

const struct dff_cli_command *
dff_cli_commands (size_t *n_commands)
{
	*n_commands = G_N_ELEMENTS (commands);
	return commands;
}

static int
compare_name (const void *name, const void *command)
{
	return strcmp (name, ((const struct dff_cli_command *)command)->name);
}

const struct dff_cli_command *
dff_cli_command_find (const char *name)
{
	return bsearch (name, commands, G_N_ELEMENTS (commands), sizeof (commands[0]),
			compare_name);
}

int
dff_usage_fail (const char *command, const char *expected)
{
	fprintf (stderr, "dragonflyfold %s: %s; see dragonflyfold %s --help\n", command, expected,
		 command);
	return DFF_EXIT_USAGE;
}
