#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "crowd.h"
#include "site.h"

/*
 * Clients that the operators do not control, against real processes: while they stay connected, no
 * process ends or hangs, each stays within the memory of the smallest machine and keeps descriptors
 * for itself, and ordinary callers are served.
 *
 * Usage: test-overload PROGRAM CASE
 */

/** Bytes that clients send in one call. */
#define UNIT_BYTES 65536

#define JOB_PATH SITE_PATH "00000000000000aa"
#define JOB_HEAD                                                                                   \
	" " JOB_PATH " HTTP/1.1\r\nHost: " SITE_HOST                                               \
	"\r\nDragonflyfold-Credential: " SITE_CREDENTIAL "\r\n"
#define JOB_BODY "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500}]}"
#define LENGTH(bytes) "Content-Length: " G_STRINGIFY (bytes) "\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/** A body far above every limit, and one just within the limit of the configuration. */
#define LENGTH_FAR_OVER LENGTH (1073741824)
#define LENGTH_WITHIN LENGTH (262144)

#define MEGABYTES(n) ((size_t)(n) << 20)

/* Crowds of one kind differ only in what they send. */
#define FLOOD .n_clients = 128, .bytes = MEGABYTES (4)
#define MANY .n_clients = 700
/* More clients than the process may open descriptors. */
#define BEYOND .n_clients = 400, .max_descriptors = 256, .n_processes = 2

struct overload_case {
	const char *name;
	/** What the case guards against. */
	const char *fault;
	enum site_listener listener;
	int n_clients;
	/** Sent once by each client, and then repeated until @bytes are sent. */
	const char *head;
	size_t head_len;
	const char *pattern;
	size_t pattern_len;
	size_t bytes;
	/** Number of different jobs that are sent after the head, instead of @pattern. */
	int n_jobs;
	/** 0: one process, as many descriptors as on the smallest machine, one worker. */
	int n_processes;
	int max_descriptors;
	int n_workers;
	/** The store and the workers do not answer while the crowd sends. */
	bool platform_paused;
	/** The crowd connects to a process that does not decide. */
	bool at_other_process;
	/** The crowd replaces its connections all the time. */
	bool replaces;
	/** The process is stopped while the crowd is connected. */
	bool stops;
};

#define HEAD(text) .head = (text), .head_len = sizeof (text) - 1
#define PATTERN(text) .pattern = (text), .pattern_len = sizeof (text) - 1

static const struct overload_case cases[] = {
	{"front-body-announced", "a body far over the limit, announced, fills the memory",
	 SITE_FRONT, FLOOD, HEAD ("POST" JOB_HEAD LENGTH_FAR_OVER), PATTERN ("x")},
	{"front-body-sent", "a body far over the limit, sent in chunks, fills the memory",
	 SITE_FRONT, FLOOD, HEAD ("POST" JOB_HEAD CHUNKED), PATTERN ("4000\r\n")},
	{"front-chunk-size-endless", "the line of a chunk's size has no end and fills the memory",
	 SITE_FRONT, FLOOD, HEAD ("POST" JOB_HEAD CHUNKED), PATTERN ("0")},
	{"ready-body-announced", "a body far over the limit, announced, fills the memory",
	 SITE_READY, FLOOD, HEAD ("POST /api/ready HTTP/1.1\r\n" LENGTH_FAR_OVER), PATTERN ("x")},
	{"ready-body-sent", "a body far over the limit, sent in chunks, fills the memory",
	 SITE_READY, FLOOD, HEAD ("POST /row?key=a&timeout=1000 HTTP/1.1\r\n" CHUNKED),
	 PATTERN ("4\r\nabcd\r\n")},
	{"metrics-body-announced", "a body far over the limit, announced, fills the memory",
	 SITE_METRICS, FLOOD, HEAD ("POST /metrics HTTP/1.1\r\n" LENGTH_FAR_OVER), PATTERN ("x")},
	{"metrics-body-sent", "a body far over the limit, sent in chunks, fills the memory",
	 SITE_METRICS, FLOOD, HEAD ("POST /metrics HTTP/1.1\r\n" CHUNKED),
	 PATTERN ("4\r\nabcd\r\n")},
	{"ready-answers-unread", "requests sent ahead, their answers unread, fill the memory",
	 SITE_READY, FLOOD, PATTERN ("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")},
	{"front-no-route-answers-unread",
	 "requests to paths without a route, their answers unread, fill the memory", SITE_FRONT,
	 FLOOD, PATTERN ("GET /none HTTP/1.1\r\nHost: a\r\n\r\n")},
	{"front-answers-unread", "requests sent ahead, their answers unread, fill the memory",
	 SITE_FRONT, FLOOD, PATTERN ("GET" JOB_HEAD "\r\n")},
	{"peers-answers-unread", "requests sent ahead, their answers unread, fill the memory",
	 SITE_READY, FLOOD,
	 PATTERN ("GET /instance HTTP/1.1\r\n\r\nGET /state?job=a HTTP/1.1\r\n\r\n")},
	{"metrics-answers-unread", "requests sent ahead, their answers unread, fill the memory",
	 SITE_METRICS, MANY, PATTERN ("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
	 .bytes = MEGABYTES (1)},
	{"front-bodies-unfinished", "bodies within the limit, none of them whole, add up",
	 SITE_FRONT, MANY, HEAD ("POST" JOB_HEAD LENGTH_WITHIN), PATTERN ("x"), .bytes = 262000},
	{"ready-bodies-unfinished", "bodies within the limit, none of them whole, add up",
	 SITE_READY, MANY, HEAD ("POST /row?key=a&timeout=1000 HTTP/1.1\r\n" LENGTH_WITHIN),
	 PATTERN ("x"), .bytes = 262000},
	{"front-headers-unfinished", "headers within the limit, many and short, add up", SITE_FRONT,
	 MANY, HEAD ("GET" JOB_HEAD), PATTERN ("a:\r\n"), .bytes = 16000},
	{"ready-headers-unfinished", "headers within the limit, many and short, add up", SITE_READY,
	 MANY, HEAD ("GET /api/ready HTTP/1.1\r\n"), PATTERN ("a:\r\n"), .bytes = 16000},
	{"front-idle", "connections that send nothing take all descriptors", SITE_FRONT, BEYOND},
	{"ready-idle", "connections that send nothing take all descriptors", SITE_READY, BEYOND},
	{"metrics-idle", "connections that send nothing take all descriptors", SITE_METRICS,
	 BEYOND},
	{"relay-idle", "connections that send nothing take all descriptors", SITE_RELAY, BEYOND},
	{"relay-idle-at-relays",
	 "connections that send nothing take all descriptors, where "
	 "relays are wanted",
	 SITE_RELAY, MANY, .n_processes = 2, .max_descriptors = 900, .n_workers = 200},
	{"front-half-sent", "connections that send half a request take all descriptors", SITE_FRONT,
	 BEYOND, HEAD ("GET" JOB_HEAD)},
	{"ready-half-sent", "connections that send half a request take all descriptors", SITE_READY,
	 BEYOND, HEAD ("GET /api/ready HTTP/1.1\r\nHost:")},
	{"front-answered-and-kept",
	 "connections that stay open after an answer take all descriptors", SITE_FRONT, BEYOND,
	 HEAD ("GET" JOB_HEAD "\r\n")},
	{"front-jobs-waiting", "whole requests that wait for the store add up", SITE_FRONT, MANY,
	 HEAD ("POST" JOB_HEAD LENGTH_WITHIN JOB_BODY), PATTERN (" "),
	 .bytes = SITE_BODY_MAX - (sizeof (JOB_BODY) - 1), .platform_paused = true},
	{"front-jobs-many-tasks",
	 "jobs of many tasks that no worker can run fill the memory of the "
	 "process that decides",
	 SITE_FRONT, .n_clients = 1, .n_jobs = 1500},
	{"ready-rows-forged", "rows that no process has sent end the one that decides", SITE_READY,
	 .n_clients = 4,
	 PATTERN ("POST /row?key=zz&timeout=1000 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"),
	 .bytes = 6400, .n_processes = 2},
	{"ready-takeover-forged",
	 "requests to hand over, sent all the time, keep jobs from running", SITE_READY,
	 .n_clients = 4, PATTERN ("GET /instance?yield=1&takeover=1 HTTP/1.1\r\n\r\n"),
	 .bytes = 6400, .n_processes = 2},
	{"ready-holder-forged", "a process that does not exist is taken for the one that decides",
	 SITE_READY, .n_clients = 4,
	 PATTERN ("GET /instance?decider=127.0.0.1:1&epoch=99999999 HTTP/1.1\r\n\r\n"),
	 .bytes = 6400, .n_processes = 2, .at_other_process = true},
	{"front-replaced", "clients that connect again and again keep ordinary ones out",
	 SITE_FRONT, BEYOND, HEAD ("GET" JOB_HEAD), .replaces = true},
	{"ready-replaced", "clients that connect again and again keep ordinary ones out",
	 SITE_READY, BEYOND, HEAD ("GET /api/ready"), .replaces = true},
	{"front-stop-answers-unread", "clients that do not read keep a process from stopping",
	 SITE_FRONT, FLOOD, PATTERN ("GET" JOB_HEAD "\r\n"), .stops = true},
	{"front-stop-half-sent", "clients that send half a request keep a process from stopping",
	 SITE_FRONT, BEYOND, HEAD ("GET" JOB_HEAD), .stops = true},
	{"relay-messages-unfinished", "messages of relays, none of them whole, add up", SITE_RELAY,
	 .n_clients = 64, HEAD ("\x00\x40\x00\x00"), PATTERN ("\x0a"), .bytes = MEGABYTES (4) - 1,
	 .n_workers = 200},
	{"relay-message-of-empty-calls",
	 "one message of many empty calls takes many times its size", SITE_RELAY, .n_clients = 4,
	 HEAD ("\x00\x40\x00\x00"), PATTERN ("\x0a\x00"), .bytes = MEGABYTES (4), .n_workers = 200},
};

/** Descriptors on the machine with the least means. */
#define DESCRIPTORS 3075

/* Submissions of jobs that no worker can run, each of as many tasks as a step may have. */
static GString *
jobs_without_worker (int n_jobs)
{
	static const char body[] = "{\"spec\":\"x\",\"steps\":[{\"count\":500,\"cpu\":1000,"
				   "\"requirements\":\"no-such-label\"}]}";
	GString *unit = g_string_new (NULL);
	for (int i = 0; i < n_jobs; i++) {
		g_string_append_printf (unit,
					"POST " SITE_PATH
					"00000000c0de%04x HTTP/1.1\r\nHost: " SITE_HOST
					"\r\nDragonflyfold-Credential: " SITE_CROWD_CREDENTIAL
					"\r\nContent-Length: %zu\r\n\r\n%s",
					i, strlen (body), body);
	}
	return unit;
}

static GString *
repeat_pattern (const struct overload_case *overload)
{
	if (overload->n_jobs > 0)
		return jobs_without_worker (overload->n_jobs);
	GString *unit = g_string_new (NULL);
	while (overload->pattern_len > 0 && unit->len < MIN (UNIT_BYTES, overload->bytes))
		g_string_append_len (unit, overload->pattern, (gssize)overload->pattern_len);
	return unit;
}

static int
process_for (struct site *site, const struct overload_case *overload)
{
	int holder = site_holder (site);
	return overload->at_other_process ? (holder + 1) % overload->n_processes : holder;
}

static const struct overload_case *
find_case (const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		if (g_str_equal (cases[i].name, name))
			return &cases[i];
	}
	return NULL;
}

static const char *program;

static void
test_overload (void **state)
{
	const struct overload_case *overload = *state;
	struct site_options options = {
		.program = program,
		.n_processes = MAX (overload->n_processes, 1),
		.n_workers = MAX (overload->n_workers, 1),
		.max_descriptors =
			overload->max_descriptors > 0 ? overload->max_descriptors : DESCRIPTORS,
	};
	struct site *site = site_new (&options);
	GString *unit = repeat_pattern (overload);
	struct crowd_options crowd_options = {
		.port = site_port (site, process_for (site, overload), overload->listener),
		.n_clients = overload->n_clients,
		.head = overload->head,
		.head_len = overload->head_len,
		.unit = unit->str,
		.unit_len = unit->len,
		.n_bytes = overload->n_jobs > 0 ? unit->len : overload->bytes,
	};
	site_pause_platform (site, overload->platform_paused);
	struct crowd *crowd = crowd_new (&crowd_options);
	crowd_send (crowd);
	site_pause_platform (site, false);
	if (overload->replaces)
		crowd_start_replacing (crowd);
	site_check (site);
	if (overload->stops)
		site_stop (site, process_for (site, overload));
	crowd_free (crowd);
	site_free (site);
	g_string_free (unit, TRUE);
}

/* Guards against a limit that an ordinary request meets: one whose headers and body are as large as
 * the configuration allows is accepted in calm. */
static void
test_request_at_the_limits (void **state)
{
	(void)state;
	struct site_options options = {.program = program,
				       .n_processes = 1,
				       .n_workers = 1,
				       .max_descriptors = DESCRIPTORS};
	struct site *site = site_new (&options);
	g_autofree char *padding = g_strnfill (SITE_HEADER_MAX - 1000, 'x');
	g_autofree char *body = g_strnfill (SITE_BODY_MAX, ' ');
	memcpy (body, JOB_BODY, sizeof (JOB_BODY) - 1);
	g_autofree char *text = g_strdup_printf (
		"POST" JOB_HEAD "Connection: close\r\nX-Padding: %s\r\n" LENGTH_WITHIN "%s",
		padding, body);
	site_submit (site, 0, text);
	site_check (site);
	site_free (site);
}

int
main (int argc, char **argv)
{
	g_assert (argc == 3);
	program = argv[1];
	const struct CMUnitTest at_the_limits[] = {cmocka_unit_test (test_request_at_the_limits)};
	if (g_str_equal (argv[2], "request-at-the-limits"))
		return cmocka_run_group_tests (at_the_limits, NULL, NULL);
	const struct overload_case *overload = find_case (argv[2]);
	g_assert (overload != NULL);
	print_message ("%s: guards against: %s\n", overload->name, overload->fault);
	const struct CMUnitTest tests[] = {
		{overload->name, test_overload, NULL, NULL, (void *)overload},
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
