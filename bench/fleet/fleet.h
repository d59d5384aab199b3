#ifndef DFF_BENCH_FLEET_H
#define DFF_BENCH_FLEET_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "common/str.h"

/*
 * The driver's state of nine real processes, a stand-in platform and stand-in workers: addresses,
 * the last status of each, and calls. The driver does not start or signal processes itself: it
 * prints
 * "!signal NAME SIGNAL" and "!start NAME", which bench/fleet.sh carries out.
 */

#define FLEET_PROCESSES_MAX 16
#define FLEET_WORKERS_MAX 64

/** A process under measurement. */
struct fleet_process {
	struct dff_name name;
	struct dff_name address;
	/** Result of the last poll: whether the process answered, and its status. */
	bool answers;
	bool ready;
	bool holder;
	int64_t epoch;
	int64_t generation;
	/** A poll is pending. */
	bool polling;
	int64_t polled_ms;
	/** The balancer routes to the process; a check of /readyz is pending; time of the last. */
	bool in_rotation;
	bool checking;
	int64_t checked_ms;
	/** Stopped, paused or being started by the driver. */
	bool disturbed;
};

struct fleet_worker {
	struct dff_name name;
	struct dff_name address;
	bool disturbed;
};

struct fleet_options {
	struct dff_name platform;
	/** Directory with NAME.pid for each process. */
	const char *directory;
	const char *pool_path;
	const char *run_log;
	uint32_t seed;
	bool quick;
};

struct fleet_load;

struct fleet {
	struct fleet_options options;
	struct event_base *base;
	const struct dff_clock *clock;
	struct dff_metrics *metrics;
	struct dff_http_client *http;
	struct event *tick;
	GRand *rng;
	struct fleet_process processes[FLEET_PROCESSES_MAX];
	int n_processes;
	struct fleet_worker workers[FLEET_WORKERS_MAX];
	int n_workers;
	/** Interval of polls of each process, ms; 0: none. */
	int64_t poll_ms;
	struct fleet_load *load;
	/** Elements: struct fleet_repair. */
	GArray *repairs;
	/** Elements: struct fleet_row. */
	GArray *rows;
};

/** Undoes a fault at a given time. */
struct fleet_repair {
	int64_t due_ms;
	void (*func) (struct fleet *fleet, int index);
	int index;
};

/** One line of the final table. */
struct fleet_row {
	const char *phase;
	const char *what;
	double value;
	/** Highest value that passes; negative: not limited. */
	double bar;
};

struct fleet *fleet_new (const struct fleet_options *options);

void fleet_free (struct fleet *fleet);

int64_t fleet_now_ms (const struct fleet *fleet);

/** Runs the loop for @ms. */
void fleet_sleep (struct fleet *fleet, int64_t ms);

/** Runs the loop until @condition holds. Returns: false when @timeout_ms passed before. */
bool fleet_wait (struct fleet *fleet,
		 bool (*condition) (struct fleet *fleet, int64_t argument),
		 int64_t argument,
		 int64_t timeout_ms);

/** Calls @func after @delay_ms. */
void fleet_repair_later (struct fleet *fleet,
			 int64_t delay_ms,
			 void (*func) (struct fleet *fleet, int index),
			 int index);

/** Requests the script to send a signal ("KILL", "STOP", "CONT", "TERM"). */
void fleet_signal (const struct dff_name *name, const char *signal);

/** Requests the script to wait for the end of a process and to restart it. */
void fleet_start (const struct dff_name *name);

/** Result of a call; without a complete answer the body is empty. */
struct fleet_answer {
	enum dff_http_outcome outcome;
	int status;
	GString *body;
};

/** Sends a call and runs the loop until the answer; not to be used in callbacks. */
struct fleet_answer fleet_call (struct fleet *fleet,
				const struct dff_name *address,
				enum evhttp_cmd_type method,
				const char *path,
				const char *body,
				int64_t base_generation);

void fleet_answer_clear (struct fleet_answer *answer);

/** Sets the faults of a stand-in without waiting for the answer. */
void fleet_post_faults (struct fleet *fleet, const struct dff_name *address, const char *faults);

/** Returns: index of the process that holds the cell at the highest epoch, as polled; -1: none. */
int fleet_holder (const struct fleet *fleet);

/** Conditions for fleet_wait(). */
bool fleet_all_ready (struct fleet *fleet, int64_t unused);
bool fleet_all_applied (struct fleet *fleet, int64_t generation);
bool fleet_process_ready (struct fleet *fleet, int64_t index);
bool fleet_process_gone (struct fleet *fleet, int64_t index);

/** Sends the polls and the balancer's checks that are due; called by the loop. */
void fleet_watch_tick (struct fleet *fleet);

/** Adds a line to the table. */
void
fleet_report (struct fleet *fleet, const char *phase, const char *what, double value, double bar);

/** Prints a phase's lines as one JSON object. */
void fleet_print_phase (const struct fleet *fleet, const char *phase);

/** Prints the table. Returns: whether every bar was met. */
bool fleet_print_table (const struct fleet *fleet);

/** Returns: the value below which @share of @values (double) lie. Sorts them. */
double fleet_quantile (GArray *values, double share);

/* The phases. */
void fleet_measure_takeover (struct fleet *fleet);
void fleet_measure_pool (struct fleet *fleet);
void fleet_measure_restart (struct fleet *fleet);
void fleet_measure_faults (struct fleet *fleet);
void fleet_measure_cost (struct fleet *fleet);

#endif
