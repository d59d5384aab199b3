#ifndef DFF_TESTS_OVERLOAD_SITE_H
#define DFF_TESTS_OVERLOAD_SITE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/str.h"

/* Real processes of the program on loopback addresses, with a stand-in of the platform. */

/** Machine with the least means that the operators run a process on: memory, bytes. */
#define SITE_MEMORY_BYTES (INT64_C (120) << 20)

/** Team, class and limits of the configuration in force. */
#define SITE_HOST "site.example"
#define SITE_CREDENTIAL "key-of-tenant"
/** Credential of another team, without ordinary callers. */
#define SITE_CROWD_CREDENTIAL "key-of-crowd"
#define SITE_PATH "/queue/"
#define SITE_BODY_MAX 262144
#define SITE_HEADER_MAX 16384

enum site_listener {
	SITE_FRONT,
	SITE_READY,
	SITE_METRICS,
	SITE_RELAY,
	SITE_N_LISTENERS,
};

struct site_options {
	/** Path of the program. */
	const char *program;
	int n_processes;
	int n_workers;
	/** Descriptors that each process may open. */
	int max_descriptors;
};

struct site;

/** Starts the processes and waits until they are ready and one of them decides. */
struct site *site_new (const struct site_options *options);

void site_free (struct site *site);

uint16_t site_port (const struct site *site, int process, enum site_listener listener);

/** Stops or continues the store and the workers. */
void site_pause_platform (const struct site *site, bool pause);

/** Stops a process gracefully. Fails the test unless it ends by itself. */
void site_stop (struct site *site, int process);

/** Returns: the process that decides about the jobs. */
int site_holder (struct site *site);

/** Sends a whole request to a process until it is answered with 200. */
void site_submit (struct site *site, int process, const char *text);

/**
 * site_check:
 *
 * Fails the test unless all processes live, hold no more than the machine's memory at their peak
 * and no more than three quarters of their descriptors, are ready, and serve an ordinary job from
 * its submission to its completion.
 */
void site_check (struct site *site);

#endif
