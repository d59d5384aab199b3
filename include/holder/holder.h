#ifndef DFF_HOLDER_HOLDER_H
#define DFF_HOLDER_HOLDER_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "graph/progress.h"
#include "rows/rows.h"
#include "upstream/runner.h"

/*
 * The process that decides. Every process has a holder; one at a time holds the cell: its epoch is
 * in the holder's row, and each of its transactions rewrites that row under the condition that
 * nobody else has. The others read the row and take over when it stands still. Nothing is started
 * before its run is on record, no end is acknowledged to a worker before it is, and a new holder
 * finds all that it needs in the rows and at the workers.
 */

struct dff_holder;

/** What asking a process for its name has shown. */
enum dff_holder_probe_result {
	/** The process that was asked for answers, and decides for the cell. */
	DFF_HOLDER_PROBE_ACTIVE,
	/** The process that was asked for answers, and neither holds the cell nor is about to: it
	 * renews no leases. */
	DFF_HOLDER_PROBE_IDLE,
	/** Another life of the process answers: the one that was asked for has ended. */
	DFF_HOLDER_PROBE_REPLACED,
	/** Nobody listens there. It has ended, or its machine cannot be reached. */
	DFF_HOLDER_PROBE_REFUSED,
	/** No answer: it may be cut off, frozen, or without power. */
	DFF_HOLDER_PROBE_TIMED_OUT,
};

/** What a process asks of the one that holds the cell, besides its name. */
struct dff_holder_probe {
	/** To let go of the cell if it cannot record anything. */
	bool release_if_unwritable;
	/** To hand the cell over to the asker, which takes so long to take over, ms, if this one
	 * takes much longer; 0: not asked for. */
	int64_t asker_takeover_ms;
	/** The asker has taken the cell with this epoch, and is asked for its name there; empty: it
	 * has not. */
	struct dff_name new_holder;
	int64_t epoch;
};

typedef void (*dff_holder_probe_func) (void *user, enum dff_holder_probe_result presence);

struct dff_holder_options {
	const struct dff_timers *timers;
	const struct dff_rows *rows;
	const struct dff_runner *runner;
	struct dff_metrics *metrics;
	/** Of this process; another life of it has another name. */
	struct dff_name instance;
	/** Reads a row of DFF_TABLE_UPSTREAMS. Returns: false when it is none. */
	bool (*read_upstream) (const struct dff_row *row, struct dff_upstream *upstream);
	/** Where other processes may ask this one for its name. */
	struct dff_name probe_address;
	/** Where processes connect that carry calls to workers for this one while it decides, and
	 * the calls of which it is told here; all empty where there is no such thing. */
	struct dff_name relay_address;
	/** Another process decides, and takes so many relays at @address; 0 and an empty address:
	 * none does, or this one. */
	void (*relay_connect) (void *ctx, const struct dff_name *address, int32_t n_relays);
	/** Tells where the process that decides is asked for its name: @self: it is this one; else
	 * an empty @address: it is not known. */
	void (*holder_changed) (void *ctx, const struct dff_name *address, bool self);
	void *holder_ctx;
	/** Workers from which on calls to them go through relays. */
	int32_t relay_min_workers;
	/** This process decides and is served best by so many relays; 0: it does not, or by none.
	 */
	void (*relay_set_limit) (void *ctx, int32_t n_relays);
	void *relay_ctx;
	/** Asks the process at @address whether it is @instance, and what @question says; @done
	 * is called once, never before the call returns. */
	void (*send_probe) (void *ctx,
			    const struct dff_name *address,
			    const struct dff_name *instance,
			    const struct dff_holder_probe *question,
			    dff_holder_probe_func done,
			    void *user);
	void *probe_ctx;
	/** Returns: when the latest call to the store was begun that has been served. */
	int64_t (*store_served_ms) (void *ctx);
	void *store_ctx;
	/** What a take-over takes on this machine, ms: processes that take longer than another one
	 * leave the cell to it. */
	int64_t takeover_ms;
	/** (nullable): returns how old is what is known of evacuations, ms: those asked for before
	 * are known. Without it what dff_holder_set_evacuated() told last is always taken as so. */
	int64_t (*evacuations_age_ms) (void *ctx);
	void *evacuations_ctx;
	/** How long a worker's tasks go on without a word from the holder, ms. */
	int32_t lease_ms;
	/** The longest lease that workers take, whatever they are told, ms. */
	int32_t lease_max_ms;
	/** Standstill of the holder's row after which another process takes over, ms. */
	int32_t suspect_ms;
	/** Longest wait of a gang's members for each other at a worker, ms. */
	int32_t gang_wait_ms;
	/** Workers from which on only changes of their list are read. */
	guint feed_min_workers;
	/** How long what has ended can be asked for, ms. */
	int64_t retention_ms;
	/** How long tasks wait for room near their data, ms. */
	int64_t locality_wait_ms;
	/** How long a gang bound to a rack waits for one before it spreads, ms; 0: for ever. */
	int64_t rack_wait_ms;
};

/** Sets the defaults of everything that has one. */
void dff_holder_options_init (struct dff_holder_options *options);

/** A team and the accelerators that are its own at any time. */
struct dff_holder_team {
	struct dff_name name;
	int32_t assured_accelerators;
};

struct dff_holder *dff_holder_new (const struct dff_holder_options *options);

void dff_holder_free (struct dff_holder *holder);

DFF_DEFINE_CLEANUP (dff_holder, dff_holder_free);

/** Tells which teams there are. Teams that were told before stay known. */
void dff_holder_set_teams (struct dff_holder *holder,
			   const struct dff_holder_team *teams,
			   size_t n_teams);

/** Tells which data centres are evacuated: their workers get nothing new. All others are not. */
void dff_holder_set_evacuated (struct dff_holder *holder,
			       const struct dff_name *data_centres,
			       size_t n_data_centres);

/** Tells which services have workers that start whatever they are told to, with room for it or
 * without. All others refuse what they have no room for. */
void dff_holder_set_unenforced (struct dff_holder *holder,
				const struct dff_name *services,
				size_t n_services);

/** Lets go of the cell and does not take it again; for a process that is to stop. */
void dff_holder_step_down (struct dff_holder *holder);

/** The process that decides could not be reached, or has ended a connection: who decides now is
 * looked up. */
void dff_holder_handle_holder_lost (struct dff_holder *holder);

/** The store was silent and answers again: what waits for it is not to wait longer. */
void dff_holder_handle_store_recovered (struct dff_holder *holder);

/** Returns: how long the store's last answer took, of a small reading or, while this process
 * decides, of a transaction if that took longer, ms. */
int64_t dff_holder_store_latency_ms (const struct dff_holder *holder);

/** A row of DFF_TABLE_JOBS that must not exist yet. Borrowed for the length of a call. */
struct dff_holder_submission {
	struct dff_str key;
	struct dff_str value;
	/** How long it may wait for its record, ms. */
	int32_t timeout_ms;
};

/**
 * dff_holder_submit:
 * @done: told DONE, CONFLICT (it was there), NOT_DONE (it is not on record and never will be) or
 *   UNKNOWN, once and never before the call returns, unless the holder is freed before
 *
 * Writes a job or its cancellation with the holder's next transaction; a job is taken in and placed
 * before, so that its first start is on record with it.
 *
 * Returns: false when this process does not decide, or cannot write now: @done is not called.
 */
bool dff_holder_submit (struct dff_holder *holder,
			const struct dff_holder_submission *from,
			dff_rows_func done,
			void *user);

/** What is on record of a job's state, as the process that decides knows it. */
struct dff_holder_job_state {
	/** Whether it can tell: it decides, and holds the job. Else the rows tell. */
	bool known;
	enum dff_job_state state;
};

typedef void (*dff_holder_state_func) (void *user, const struct dff_holder_job_state *state);

/**
 * dff_holder_query_state:
 *
 * Asks for a job's state. Where an end is on its way to the record, the answer waits for it for a
 * moment, a tenth of a second at the most. @done is called once, never before the call returns,
 * unless the holder is freed before.
 */
void dff_holder_query_state (struct dff_holder *holder,
			     const struct dff_name *job,
			     dff_holder_state_func done,
			     void *user);

/** Returns: whether this process decides now. */
bool dff_holder_is_holding (const struct dff_holder *holder);

/** Returns: what to tell a process that asks after this one. Does what @question asks for. */
enum dff_holder_probe_result dff_holder_answer_probe (struct dff_holder *holder,
						      const struct dff_holder_probe *question);

/** Returns: whether there is nothing to let go of any more. */
bool dff_holder_has_stepped_down (const struct dff_holder *holder);

#endif
