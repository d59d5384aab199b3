#ifndef DFF_CLIENT_JOB_OPTIONS_H
#define DFF_CLIENT_JOB_OPTIONS_H

#include <getopt.h>
#include <jansson.h>
#include <stdbool.h>

/* Command-line options that describe a job, and their conversion to its JSON form. */

/** Value of the first job option; the others have the values that follow. */
#define DFF_JOB_OPTION_FIRST 1000

/** Appends the long options of a job to @options, which needs space for DFF_JOB_OPTIONS_MAX more.
 * Returns: number of options appended. */
#define DFF_JOB_OPTIONS_MAX 20
size_t dff_job_options_append (struct option *options);

/** Returns: whether @option is a job option. */
bool dff_job_option_is (int option);

/** Sets the member of @job for an option. Returns: false, after an error message, when the value is
 * invalid. */
bool dff_job_option_set (json_t *job, int option, const char *value);

/** Lines for --help. */
#define DFF_JOB_OPTIONS_USAGE                                                                      \
	"      --service NAME     service that the job belongs to\n"                               \
	"      --region NAME      region that runs it\n"                                           \
	"      --gang N           number of tasks; what follows is for each task\n"                \
	"      --accelerators N, --slots N, --cores N, --memory-gb N\n"                            \
	"      --adjacent[=rack]  neighbouring racks at the most, or one rack only\n"              \
	"      --urgent           ahead of all borrowing work\n"                                   \
	"      --guaranteed       claims the team's guaranteed shapes\n"                           \
	"      --checkpoint       can be checkpointed and resumed\n"                               \
	"      --idempotent, --not-idempotent\n"                                                   \
	"                         may, or must never, be started again\n"                          \
	"      --declared-s N     run time that is expected\n"                                     \
	"      --max-attempts N   attempts at the most\n"                                          \
	"      --payload JSON     what to do; @FILE reads it from a file\n"

#endif
