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

/* A few processes with one store and some workers, under a virtual clock. Tasks are described by
 * the first character of their job's id: see describe() in site.c. */

#define SITE_PROCESSES 3
#define SITE_WORKERS 6
#define SITE_PER_RACK 3
#define SITE_ACCELERATORS 8
/** Failed runs of each job's task after which the job has failed. */
#define SITE_MAX_ATTEMPTS 2
/** Each rack is a data centre of its own. */
#define SITE_DATA_CENTRES (SITE_WORKERS / SITE_PER_RACK)
/** Time after the request at which nothing is started in an evacuated data centre, ms. */
#define SITE_EVACUATION_MS 5000
/** Time between two entries of a worker, ms. */
#define SITE_ENTRY_EVERY_MS 1500
/** When a crashed worker is taken from the list, ms: its entry lapses. */
#define SITE_ENTRY_LAPSE_MS 4000

struct site_process {
	struct site *site;
	bool alive;
	/** Whether other processes do not hear it. */
	bool isolated;
	int32_t incarnation;
	struct dff_name instance;
	struct dff_metrics *metrics;
	struct dff_memory_rows_client *rows;
	struct dff_memory_runner_client *runner;
	/** With relays: both ends of this process, and its connection to the one that decides. */
	struct dff_dispatch *dispatch;
	struct dff_relay *relay;
	struct dff_memory_link *link;
	int linked_to;
	struct dff_rows_health *health;
	struct dff_holder *holder;
	struct dff_front *front;
	/** With evacuations: what operators put in force, as this process knows it. */
	struct dff_subscription *requests;
	struct dff_evacuations *evacuations;
	/** With links: what goes through the process that decides, and which that is. */
	struct dff_intake *intake;
	struct dff_name holder_address;
};

/** What a worker has written of itself last. */
struct site_entry {
	bool listed;
	bool leaving;
	int32_t remaining_ms;
	/** Whether what it writes does not reach the store. */
	bool held_back;
};

struct site {
	/** Whether calls to workers go through the processes that do not decide. */
	bool relays;
	/** Whether processes follow requests to empty data centres. */
	bool with_evacuations;
	/** Whether rows and questions about states go through the process that decides. */
	bool links;
	/** Elements: struct hop *, see site_links.c. */
	GPtrArray *hops;
	/** When each data centre was asked to be emptied; 0: it is not. */
	int64_t evacuated_ms[SITE_DATA_CENTRES];
	struct dff_virtual_loop *loop;
	struct dff_memory_rows *rows;
	struct dff_memory_runner *runner;
	struct site_process processes[SITE_PROCESSES];
	/** What a take-over takes each process, ms; from its next start on. */
	int64_t takeover_ms[SITE_PROCESSES];
	struct dff_memory_worker_faults *workers[SITE_WORKERS];
	int32_t worker_incarnations[SITE_WORKERS];
	/** Whether workers start again under their ids, and tell when they started. */
	bool same_ids;
	/** What each worker's next life has room for; 0: as usual. */
	int32_t next_accelerators[SITE_WORKERS];
	/** What each worker has room for. */
	int32_t accelerators[SITE_WORKERS];
	/** Whether workers start what they have no room for, and write their entries again and
	 * again. */
	bool unenforced;
	struct site_entry entries[SITE_WORKERS];
	bool closing;
	/** When a worker that a task has crashed is back in another life, ms; 0: it is gone. */
	int64_t restart_delay_ms;
	/** Elements: char *: jobs whose acceptance was confirmed. */
	GPtrArray *accepted;
};

/** For tests that are played by hand, or apart from each other: DFF_SEED_LOG shows what is decided,
 * DFF_SEED_TEST names the one of @tests to be played. */
void site_tests_begin (const struct CMUnitTest *tests, size_t n_tests);

/** Every process is started, and one of them holds the cell. */
void site_open (struct site *site);

/** The same, with calls to workers through relays. */
void site_open_with_relays (struct site *site);

/** The same, without relays, with workers that start whatever they are told to. */
void site_open_unenforced (struct site *site);

/** The same, with workers that start again under their ids. */
void site_open_with_same_ids (struct site *site, bool relays);

/** The same, without relays, with operators that empty data centres. */
void site_open_with_evacuations (struct site *site);

/** The same, with rows of jobs and questions about states that go through the process that
 * decides. */
void site_open_with_links (struct site *site);

void site_hop_free (gpointer hop);

/** Asks for a data centre to be emptied, or takes it back. */
void site_evacuate (struct site *site, int data_centre, bool requested);

/** Has a process hear no more of operators' requests, or follow them anew. */
void site_block_requests (struct site *site, int process, bool blocked);

/** Has messages of a process's connection as a relay be lost, until it has another. */
void site_silence_relay (struct site *site, int process);

/** Fails the test on anything that must never happen. */
void site_close (struct site *site);

void site_run (struct site *site, int64_t ms);

void site_start_process (struct site *site, int index);
void site_kill_process (struct site *site, int index);

/** Returns: the index of the process that holds the cell; -1: none. */
int site_holder (const struct site *site);

/** Takes a worker from the list, or puts it there again. */
void site_list_worker (struct site *site, int index, bool listed, bool leaving);

/** Has a worker's room shrink or grow, and its entry tell so. */
void site_resize_worker (struct site *site, int index, int32_t accelerators);

/** Has what a worker writes of itself not reach the store. */
void site_hold_entries_back (struct site *site, int index, bool held_back);

/** Has a worker tell that it leaves, and how long it will be there at least. */
void site_announce_leaving (struct site *site, int index, int32_t remaining_ms);

/** Has one process not reach a worker, until it is killed. */
void site_cut_worker_from (struct site *site, int index, int process, bool cut);

/** Ends a worker's life; its entry stays on the list. */
void site_end_worker (struct site *site, int index);

/** Ends a worker's life; another one begins at its address. */
void site_restart_worker (struct site *site, int index);

/** A plan of one step. */
struct dff_plan *site_plan (const char *id, int32_t count, bool gang, int32_t accelerators);

/** Submits through a process and runs until it is answered. Frees @plan. */
enum dff_front_outcome site_submit (struct site *site, int process, struct dff_plan *plan);

enum dff_front_outcome site_cancel (struct site *site, int process, const char *id);

/** Returns: the state's name, "gone" for a job that is not known, "unavailable". */
const char *site_state (struct site *site, int process, const char *id);

/** Returns: the count of jobs not begun; -1: unavailable. */
int32_t site_count_waiting (struct site *site, int process);

/** Runs until a job has @state, for @limit_ms at most. Returns: the time that took; -1: never. */
int64_t
site_wait_for_state (struct site *site, const char *id, const char *state, int64_t limit_ms);

#endif
