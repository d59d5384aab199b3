#ifndef DFF_HOLDER_HOLDER_H
#define DFF_HOLDER_HOLDER_H

#include "common/cleanup.h"
#include "common/metrics.h"
#include "common/timer.h"
#include "graph/progress.h"
#include "rows/rows.h"
#include "upstream/runner.h"

/* The holder: the process that holds the lease of the cell and schedules its jobs. Every process
 * has a struct dff_holder, and one at a time holds the lease. Its epoch is in the holder's row,
 * and each of its transactions rewrites that row under the condition that no other process has
 * changed it. The other processes read the row and take over when it stops changing. No task is
 * started before its run is recorded, and no completion is acknowledged to a worker before it is
 * recorded. A new holder finds everything that it needs in the rows and at the workers. */

struct dff_holder;

/** Result of a probe of another process. */
enum dff_holder_probe_result {
	/** The probed process answers, and holds the lease of the cell or is taking it. */
	DFF_HOLDER_PROBE_ACTIVE,
	/** The probed process answers, and neither holds the lease of the cell nor is taking it:
	 * it renews no worker leases. */
	DFF_HOLDER_PROBE_IDLE,
	/** Another incarnation of the process answers: the probed incarnation has ended. */
	DFF_HOLDER_PROBE_REPLACED,
	/** The connection is refused. The process has ended, or its machine cannot be reached. */
	DFF_HOLDER_PROBE_REFUSED,
	/** No answer: the process may be cut off from the network, frozen, or without power. */
	DFF_HOLDER_PROBE_TIMED_OUT,
};

/** Requests that a probe carries to the holder. */
struct dff_holder_probe {
	/** The holder is to release the lease if it cannot write to the store. */
	bool release_if_unwritable;
	/** The holder is to hand the lease over to the sender if the holder's own takeover time is
	 * much longer. Value: the sender's takeover time, ms; 0: no handover requested. */
	int64_t asker_takeover_ms;
	/** The sender has taken the lease with @epoch and can be probed at this address; empty: it
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
	/** Id of this process; another incarnation of the process has another id. */
	struct dff_name instance;
	/** Decodes a row of DFF_TABLE_UPSTREAMS. Returns: false when the row is invalid. */
	bool (*read_upstream) (const struct dff_row *row, struct dff_upstream *upstream);
	/** Address at which other processes probe this one. */
	struct dff_name probe_address;
	/** Address at which relays connect to this process while it is the holder: processes that
	 * carry its calls to workers. Empty without relays; the relay callbacks are then NULL. */
	struct dff_name relay_address;
	/** Called when another process is the holder and accepts @n_relays relays at @address; 0
	 * and an empty address: no other process is the holder, or this one is the holder. */
	void (*relay_connect) (void *ctx, const struct dff_name *address, int32_t n_relays);
	/** Called when the holder is known to have changed. @address: where it can be probed,
	 * empty when not known; @self: this process is the holder. */
	void (*holder_changed) (void *ctx, const struct dff_name *address, bool self);
	void *holder_ctx;
	/** Number of workers from which calls to them go through relays. */
	int32_t relay_min_workers;
	/** Sets the number of relays that this process wants as the holder; 0: it is not the
	 * holder, or needs none. */
	void (*relay_set_limit) (void *ctx, int32_t n_relays);
	void *relay_ctx;
	/** Probes the process at @address: whether it is @instance, with the requests in
	 * @question. @done is called once, never before the call returns. */
	void (*send_probe) (void *ctx,
			    const struct dff_name *address,
			    const struct dff_name *instance,
			    const struct dff_holder_probe *question,
			    dff_holder_probe_func done,
			    void *user);
	void *probe_ctx;
	/** Returns: the time at which the most recent served call to the store began. */
	int64_t (*store_served_ms) (void *ctx);
	void *store_ctx;
	/** Time that a takeover takes on this machine, ms. Processes with a longer one leave the
	 * cell to processes with a shorter one. */
	int64_t takeover_ms;
	/** (nullable): returns the age of the known evacuations, ms: every request made before
	 * that time is known. Without it, what dff_holder_set_evacuated() set last is always taken
	 * as current. */
	int64_t (*evacuations_age_ms) (void *ctx);
	void *evacuations_ctx;
	/** Lease of a worker's tasks, ms: how long they continue without a renewal by the holder.
	 */
	int32_t lease_ms;
	/** Longest lease that workers accept, whatever the holder requests, ms. */
	int32_t lease_max_ms;
	/** Time without a change of the holder's row after which another process takes over, ms. */
	int32_t suspect_ms;
	/** Longest time that members of a gang wait for each other at a worker, ms. */
	int32_t gang_wait_ms;
	/** Number of workers from which only changes of the worker list are read. */
	guint feed_min_workers;
	/** Memory of open jobs above which new ones are refused, bytes; of one team, half of it. */
	size_t open_jobs_max_bytes;
	/** Time for which completed jobs can be queried, ms. */
	int64_t retention_ms;
	/** Longest time that tasks wait for free capacity near their data, ms. */
	int64_t locality_wait_ms;
	/** Longest time that a gang bound to one rack waits for a rack before it is spread, ms; 0:
	 * no limit. */
	int64_t rack_wait_ms;
};

/** Sets the options that have defaults. */
void dff_holder_options_init (struct dff_holder_options *options);

/** A team and the number of accelerators that are assured to it at any time. */
struct dff_holder_team {
	struct dff_name name;
	int32_t assured_accelerators;
};

struct dff_holder *dff_holder_new (const struct dff_holder_options *options);

void dff_holder_free (struct dff_holder *holder);

DFF_DEFINE_CLEANUP (dff_holder, dff_holder_free);

/** Sets the teams. Teams that were set before stay known, without assured accelerators unless they
 * are set again. */
void dff_holder_set_teams (struct dff_holder *holder,
			   const struct dff_holder_team *teams,
			   size_t n_teams);

/** Sets the evacuated data centres: their workers get no new tasks. All other data centres are not
 * evacuated. */
void dff_holder_set_evacuated (struct dff_holder *holder,
			       const struct dff_name *data_centres,
			       size_t n_data_centres);

/** Sets the services whose workers do not enforce their capacity: they start every task that they
 * are sent. Workers of all other services reject tasks that exceed their capacity. */
void dff_holder_set_unenforced (struct dff_holder *holder,
				const struct dff_name *services,
				size_t n_services);

/** Releases the lease of the cell and does not take it again; for a process that is to stop. */
void dff_holder_step_down (struct dff_holder *holder);

/** Called when the holder could not be reached or has closed a connection: the holder's row is
 * read again early. */
void dff_holder_handle_holder_lost (struct dff_holder *holder);

/** Called when the store answers again after an outage: pending retries start at once. */
void dff_holder_handle_store_recovered (struct dff_holder *holder);

/** Returns: the duration of the last small read of the store or, while this process is the holder,
 * of the last transaction if that took longer, ms. */
int64_t dff_holder_store_latency_ms (const struct dff_holder *holder);

/** A row of DFF_TABLE_JOBS that must not exist yet. Borrowed for the duration of a call. */
struct dff_holder_submission {
	struct dff_str key;
	struct dff_str value;
	/** Longest time that it may wait until it is recorded, ms. */
	int32_t timeout_ms;
};

/**
 * dff_holder_submit:
 * @done: called with DONE, CONFLICT (the row existed already), NOT_DONE (the row is not recorded
 *   and never will be) or UNKNOWN, once and never before the call returns, unless the holder is
 *   freed before
 *
 * Writes a job or its cancellation with the holder's next transaction. A job is applied and placed
 * first, so that its first start is recorded in the same transaction.
 *
 * Returns: false when this process is not the holder, or cannot write now: @done is not called.
 */
bool dff_holder_submit (struct dff_holder *holder,
			const struct dff_holder_submission *from,
			dff_rows_func done,
			void *user);

/** The recorded state of a job, as known to the holder. */
struct dff_holder_job_state {
	/** Whether @state is valid: this process is the holder and knows the job. Otherwise only
	 * the rows hold the state. */
	bool known;
	enum dff_job_state state;
};

typedef void (*dff_holder_state_func) (void *user, const struct dff_holder_job_state *state);

/**
 * dff_holder_query_state:
 *
 * Queries a job's state. If the job's completion is not recorded yet, the answer waits for this for
 * a tenth of a second at most. @done is called once, never before the call returns, unless the
 * holder is freed before.
 */
void dff_holder_query_state (struct dff_holder *holder,
			     const struct dff_name *job,
			     dff_holder_state_func done,
			     void *user);

/** Returns: whether this process is the holder now. */
bool dff_holder_is_holding (const struct dff_holder *holder);

/** Returns: the answer to a probe of this process. Carries out the requests in @question. */
enum dff_holder_probe_result dff_holder_answer_probe (struct dff_holder *holder,
						      const struct dff_holder_probe *question);

/** Returns: whether this process steps down and no longer holds the lease. */
bool dff_holder_has_stepped_down (const struct dff_holder *holder);

#endif
