#include <getopt.h>
#include <stdio.h>

#include "client/command.h"
#include "client/file.h"
#include "client/span_tree.h"

static const char usage[] =
	"Usage: dragonflyfold trace ID --file SPANS [--file SPANS]...\n"
	"Prints the spans of one trace as a tree: start, duration, instance, outcome, subject.\n"
	"ID is a trace id, or the id of a job or request.\n"
	"  -f, --file SPANS  JSON lines as processes write them to their trace_path; - is\n"
	"                    standard input\n"
	"  -h, --help        print this text\n";

static const struct option options[] = {
	{"help", no_argument, NULL, 'h'},
	{"file", required_argument, NULL, 'f'},
	{NULL, 0, NULL, 0},
};

static bool
add_file (struct dff_span_tree *tree, const char *path)
{
	g_autoptr (GString) file = dff_file_read (path);
	if (file == NULL)
		return false;
	guint n_malformed = dff_span_tree_add (tree, (struct dff_str){file->str, file->len});
	if (n_malformed > 0)
		fprintf (stderr, "dragonflyfold: %s: %u lines are not spans\n", path, n_malformed);
	return true;
}

static int
print_tree (const char *id, const GPtrArray *paths)
{
	DFF_AUTO (dff_span_tree) tree = dff_span_tree_new (dff_str_from (id));
	for (guint i = 0; i < paths->len; i++) {
		if (!add_file (tree, g_ptr_array_index (paths, i)))
			return DFF_EXIT_FAILED;
	}
	g_autoptr (GString) out = g_string_new (NULL);
	if (dff_span_tree_print (tree, out) == 0) {
		fprintf (stderr, "dragonflyfold: no span of '%s'\n", id);
		return DFF_EXIT_REFUSED;
	}
	fputs (out->str, stdout);
	return DFF_EXIT_OK;
}

int
dff_command_trace (int argc, char **argv)
{
	g_autoptr (GPtrArray) paths = g_ptr_array_new ();
	int option;
	while ((option = getopt_long (argc, argv, "hf:", options, NULL)) != -1) {
		if (option == 'f') {
			g_ptr_array_add (paths, optarg);
			continue;
		}
		fputs (usage, option == 'h' ? stdout : stderr);
		return option == 'h' ? DFF_EXIT_OK : DFF_EXIT_USAGE;
	}
	if (optind + 1 == argc && paths->len > 0)
		return print_tree (argv[optind], paths);
	return dff_usage_fail ("trace", "expected one ID and --file SPANS");
}
