#include <getopt.h>
#include <glib.h>
#include <stdio.h>

#include "client/command.h"
#include "client/file.h"
#include "daemon/settings.h"
#include "pool/pool.h"

static const char usage[] =
	"Usage: dragonflyfold check [--settings FILE]... [--pool FILE]...\n"
	"Checks files and prints every fault as FILE:LINE: key: what was expected.\n"
	"  -c, --settings FILE  a settings file\n"
	"  -p, --pool FILE      a pool file\n"
	"      --reference      print the reference of the settings, as in the manual page\n"
	"  -h, --help           print this text\n";

enum check_option {
	DFF_CHECK_REFERENCE = 256,
};

static const struct option options[] = {
	{"help", no_argument, NULL, 'h'},
	{"settings", required_argument, NULL, 'c'},
	{"pool", required_argument, NULL, 'p'},
	{"reference", no_argument, NULL, DFF_CHECK_REFERENCE},
	{NULL, 0, NULL, 0},
};

static int
report (const char *path, const GPtrArray *errors)
{
	for (guint i = 0; i < errors->len; i++)
		fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
	if (errors->len > 0)
		return DFF_EXIT_REFUSED;
	printf ("%s: ok\n", path);
	return DFF_EXIT_OK;
}

static int
check_settings (const char *path)
{
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	DFF_AUTO (dff_settings) settings = dff_settings_load (path, errors, NULL);
	return report (path, errors);
}

static int
check_pool (const char *path)
{
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	g_autoptr (GString) file = dff_file_read (path);
	if (file == NULL)
		return DFF_EXIT_FAILED;
	struct dff_str text = {file->str, file->len};
	DFF_AUTO (dff_pool) pool = dff_pool_parse (text, path, errors, NULL);
	return report (path, errors);
}

static int
print_reference (void)
{
	g_autoptr (GString) out = g_string_new (NULL);
	dff_settings_describe (out);
	fputs (out->str, stdout);
	return DFF_EXIT_OK;
}

int
dff_command_check (int argc, char **argv)
{
	int exit_code = DFF_EXIT_OK;
	int n_checked = 0;
	int option;
	while ((option = getopt_long (argc, argv, "hc:p:", options, NULL)) != -1) {
		int result;
		if (option == 'c')
			result = check_settings (optarg);
		else if (option == 'p')
			result = check_pool (optarg);
		else if (option == DFF_CHECK_REFERENCE)
			result = print_reference ();
		else {
			fputs (usage, option == 'h' ? stdout : stderr);
			return option == 'h' ? DFF_EXIT_OK : DFF_EXIT_USAGE;
		}
		exit_code = MAX (exit_code, result);
		n_checked++;
	}
	if (n_checked > 0 && optind == argc)
		return exit_code;
	return dff_usage_fail ("check", "expected --settings FILE or --pool FILE");
}
