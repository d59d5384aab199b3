#ifndef DFF_TESTS_HOLDER_SITE_H
#define DFF_TESTS_HOLDER_SITE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/metrics.h"
#include "fleet/evacuations.h"
#include "front/front.h"
#include "front/intake.h"
#include "holder/holder.h"
#include "holder/tables.h"
#include "rows/health.h"
#include "rows/subscription.h"
#include "standin/memory_link.h"
#include "standin/memory_rows.h"
#include "standin/memory_runner.h"

/* A simulated site: a few processes with one store and some workers, under a virtual clock. The
 * first character of a job's id determines what its tasks do: see describe() in site.c. */

#define SITE_PROCESSES 3
#define SITE_WORKERS 6
/** Number of workers of a site whose workers differ in speed: enough to compare them by. */
#define SITE_UNEQUAL_WORKERS 18
#define SITE_PER_RACK 3
#define SITE_ACCELERATORS 8
/** Number of failed runs of a task at which its job fails. */
#define SITE_MAX_ATTEMPTS 2
/** Number of data centres: each rack is one. */
#define SITE_DATA_CENTRES (SITE_WORKERS / SITE_PER_RACK)
/** Time after an evacuation request from which no task may be started in the data centre, ms. */
#define SITE_EVACUATION_MS 5000
/** Interval at which a worker writes its entry, ms. */
#define SITE_ENTRY_EVERY_MS 1500
/** Time after a crash at which the worker's entry expires, ms. */
#define SITE_ENTRY_LAPSE_MS 4000

struct site_process {
	struct site *site;
	bool alive;
	/** Whether probes of other processes do not reach this process. */
	bool isolated;
	int32_t incarnation;
	struct dff_name instance;
	struct dff_metrics *metrics;
	struct dff_memory_rows_client *rows;
	struct dff_memory_runner_client *runner;
	/** With relays: this process's holder end, its relay end and its connection to the holder.
	 */
	struct dff_dispatch *dispatch;
	struct dff_relay *relay;
	struct dff_memory_link *link;
	int linked_to;
	struct dff_rows_health *health;
	struct dff_holder *holder;
	struct dff_front *front;
	/** With evacuations: this process's subscription to the operators' requests, and the
	 * current evacuations. */
	struct dff_subscription *requests;
	struct dff_evacuations *evacuations;
	/** With links: the intake, which forwards rows to the holder, and the holder's address. */
	struct dff_intake *intake;
	struct dff_name holder_address;
};

/** The last entry that a worker has written about itself. */
struct site_entry {
	bool listed;
	bool leaving;
	int32_t remaining_ms;
	/** Whether its entries do not reach the store. */
	bool held_back;
};

struct site {
	/** Number of workers, and the duration of tasks on those of each rack, in turn, relative to
	 * the nominal one, per thousand; 0: the nominal one. */
	int n_workers;
	int32_t duration_permille[SITE_PER_RACK];
	/** Whether calls to workers go through the other processes as relays. */
	bool relays;
	/** Number of completions that workers list in one report; 0: all. */
	int32_t listed_ends_max;
	/** Whether processes subscribe to evacuation requests. */
	bool with_evacuations;
	/** Whether rows of jobs and state queries go through the holder. */
	bool links;
	/** Messages between processes. Elements: struct hop *, see site_links.c. */
	GPtrArray *hops;
	/** Time at which the evacuation of each data centre was requested, ms; 0: not requested. */
	int64_t evacuated_ms[SITE_UNEQUAL_WORKERS / SITE_PER_RACK];
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_memory_runner *runner;
	struct site_process processes[SITE_PROCESSES];
	/** Duration of a takeover by each process, ms; applies from its next start on. */
	int64_t takeover_ms[SITE_PROCESSES];
	struct dff_memory_worker_faults *workers[SITE_UNEQUAL_WORKERS];
	int32_t worker_incarnations[SITE_UNEQUAL_WORKERS];
	/** Whether restarted workers keep their ids and report their start times. */
	bool same_ids;
	/** Accelerators of each worker's next incarnation; 0: the default. */
	int32_t next_accelerators[SITE_UNEQUAL_WORKERS];
	/** Accelerators of each worker. */
	int32_t accelerators[SITE_UNEQUAL_WORKERS];
	/** Whether workers do not enforce their capacity, and write their entries periodically. */
	bool unenforced;
	/** Limit of the memory of open jobs, bytes; 0: the default. */
	size_t open_jobs_max_bytes;
	struct site_entry entries[SITE_UNEQUAL_WORKERS];
	bool closing;
	/** Time after which a worker that a task has crashed is restarted, ms; 0: never. */
	int64_t restart_delay_ms;
	/** Ids of the jobs whose acceptance was confirmed. Elements: char *. */
	GPtrArray *accepted;
};

/** Applies the environment variables for manual or separate runs: DFF_SEED_LOG logs the holder's
 * decisions, DFF_SEED_TEST selects the one of @tests to run. */
void site_tests_begin (const struct CMUnitTest *tests, size_t n_tests);

/** Opens a site: all processes are started, and one of them holds the lease of the cell. */
void site_open (struct site *site);

/** As site_open(), with calls to workers through relays. */
void site_open_with_relays (struct site *site);

/** As site_open(), with workers that do not enforce their capacity. */
void site_open_unenforced (struct site *site);

/** As site_open(), with restarted workers that keep their ids, with or without relays. */
void site_open_with_same_ids (struct site *site, bool relays);

/** As site_open_with_same_ids(), with SITE_UNEQUAL_WORKERS workers: tasks take as given for the
 * workers of each rack, in turn, per thousand of the nominal duration. */
void site_open_with_durations (struct site *site, const int32_t duration_permille[SITE_PER_RACK]);

/** As site_open_with_same_ids(), with workers that list up to @listed_ends_max completions in one
 * report. */
void site_open_with_short_reports (struct site *site, int32_t listed_ends_max, bool relays);

/** As site_open(), with evacuations of data centres. */
void site_open_with_evacuations (struct site *site);

/** As site_open(), with rows of jobs and state queries that go through the holder. */
void site_open_with_links (struct site *site);

/** As site_open_with_links(), with a limit of the memory of open jobs, bytes. */
void site_open_with_job_limit (struct site *site, size_t open_jobs_max_bytes);

void site_hop_free (gpointer hop);

/** Requests the evacuation of a data centre, or withdraws the request. */
void site_evacuate (struct site *site, int data_centre, bool requested);

/** Ends a process's subscription to the operators' requests, or starts it again. */
void site_block_requests (struct site *site, int process, bool blocked);

/** Drops all messages of a process's connection as a relay, until it connects again. */
void site_silence_relay (struct site *site, int process);

/** Closes the site. Fails the test if a worker has detected a violation. */
void site_close (struct site *site);

void site_run (struct site *site, int64_t ms);

void site_start_process (struct site *site, int index);
void site_kill_process (struct site *site, int index);

/** Returns: the index of the process that holds the lease of the cell; -1: none. */
int site_holder (const struct site *site);

/** Removes a worker's entry from the list, or writes it. */
void site_list_worker (struct site *site, int index, bool listed, bool leaving);

/** Changes a worker's capacity and writes it to its entry. */
void site_resize_worker (struct site *site, int index, int32_t accelerators);

/** Sets whether a worker's entries do not reach the store. */
void site_hold_entries_back (struct site *site, int index, bool held_back);

/** Writes an entry in which a worker announces that it leaves, and the time for which it still runs
 * at least, ms. */
void site_announce_leaving (struct site *site, int index, int32_t remaining_ms);

/** Sets whether a process cannot reach a worker; the setting ends when the process is killed. */
void site_cut_worker_from (struct site *site, int index, int process, bool cut);

/** Ends a worker; its entry stays on the list. */
void site_end_worker (struct site *site, int index);

/** Ends a worker and starts its next incarnation at the same address. */
void site_restart_worker (struct site *site, int index);

/** Returns: (transfer full): a plan with one step. */
struct dff_plan *site_plan (const char *id, int32_t count, bool gang, int32_t accelerators);

/** Submits a job through a process and runs until it is answered. Frees @plan. */
enum dff_front_outcome site_submit (struct site *site, int process, struct dff_plan *plan);

enum dff_front_outcome site_cancel (struct site *site, int process, const char *id);

/** Returns: the job's state by name; "gone": the job does not exist; "unavailable": no answer. */
const char *site_state (struct site *site, int process, const char *id);

/** Returns: the number of jobs that have not started; -1: unavailable. */
int32_t site_count_waiting (struct site *site, int process);

/** Runs until a job has @state, for at most @limit_ms. Returns: the time that this took, ms; -1:
 * the limit was reached. */
int64_t
site_wait_for_state (struct site *site, const char *id, const char *state, int64_t limit_ms);

#endif
