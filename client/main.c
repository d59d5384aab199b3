#include <stdio.h>
#include <string.h>

#include "client/command.h"

static void
print_usage (FILE *stream)
{
	size_t n_commands;
	const struct dff_cli_command *commands = dff_cli_commands (&n_commands);
	fputs ("Usage: dragonflyfold COMMAND [OPTION...]\n\nCommands:\n", stream);
	for (size_t i = 0; i < n_commands; i++)
		fprintf (stream, "  %-8s %s\n", commands[i].name, commands[i].summary);
	fputs ("\ndragonflyfold COMMAND --help prints a command's options.\n"
	       "Exit codes: 0 ok, 1 failed, 2 usage, 3 refused, 4 unavailable, 5 not completed,\n"
	       "6 pending, 7 different.\n",
	       stream);
}

int
main (int argc, char **argv)
{
	if (argc < 2) {
		print_usage (stderr);
		return DFF_EXIT_USAGE;
	}
	if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0) {
		print_usage (stdout);
		return DFF_EXIT_OK;
	}
	if (strcmp (argv[1], "--version") == 0) {
		puts ("dragonflyfold " DFF_VERSION);
		return DFF_EXIT_OK;
	}
	const struct dff_cli_command *command = dff_cli_command_find (argv[1]);
	if (command == NULL) {
		fprintf (stderr, "dragonflyfold: no command '%s'\n", argv[1]);
		print_usage (stderr);
		return DFF_EXIT_USAGE;
	}
	return command->run (argc - 1, argv + 1);
}
