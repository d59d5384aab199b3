#ifndef DFF_TESTS_CELL_HARNESS_H
#define DFF_TESTS_CELL_HARNESS_H

#include "backing/memory.h"
#include "cell/cell_private.h"
#include "tests/cell/fake_link.h"
#include "tests/core/core_fixture.h"

/* Several processes, each with a cell and a recorder, on one table, one fleet of workers and one
 * virtual clock. */

#define HARNESS_PROCESSES 3
#define HARNESS_WORKERS 4
#define HARNESS_MAX_JOBS 64
/** Tests that cover hours may set a longer step. */
#ifndef HARNESS_STEP_MS
#define HARNESS_STEP_MS 20
#endif
#define HARNESS_REGION "region0"
#define HARNESS_HASH "0123456789abcdef0123456789abcdef"

struct harness_process {
	bool alive;
	bool paused;
	struct dff_memory_handle *caller;
	struct dff_recorder *recorder;
	struct dff_cell *cell;
	struct fake_link *link;
};

struct harness {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	/** Lines of the spans that ended. */
	GString *spans;
	struct dff_pool pool;
	struct fake_fleet fleet;
	struct harness_process processes[HARNESS_PROCESSES];
	/** Elements: struct fake_link *, including those of killed processes. */
	GPtrArray *links;
	uint64_t seed;
	/** Lease of the cells that are started from now on, ms; 0: the default. */
	int32_t lease_ms;
	/** Cells retry failed gangs by cause, and keep their places. */
	bool retries_soon;
	int n_starts;
	/** Cells that are started from now on have not received an instance list. */
	bool no_instance_list;
	/** Batch of the jobs that are submitted from now on; empty: none. */
	struct dff_name batch;
	int n_jobs;
	/** Rows as last read; NULL: not read yet. */
	struct dff_job_row *rows[HARNESS_MAX_JOBS];
	int n_writes;
	/** Bit i: leases at worker i are not renewed. */
	uint64_t unwatched;
	/** Bit i: leases at worker i are renewed, but it is reported to the cells as silent. */
	uint64_t reported_silent;
	int32_t report_loss_permille;
	/** Last reported renewal of each worker's leases. */
	int64_t renewed_ms[HARNESS_WORKERS];
	int64_t next_watch_ms;
	/** State for which the invariants were last checked. */
	int checked_records;
	int64_t checked_revision;
	/** The entry that submits and cancels. */
	struct dff_memory_handle *entry;
};

static inline void
harness_set_instances (struct harness *harness, struct dff_cell *cell)
{
	struct dff_instance instances[HARNESS_WORKERS];
	memset (instances, 0, sizeof (instances));
	for (int i = 0; i < HARNESS_WORKERS; i++) {
		instances[i].id = harness->fleet.workers[i].name;
		instances[i].role = DFF_INSTANCE_WORKER;
		instances[i].region = dff_name_from (HARNESS_REGION);
		instances[i].address = dff_name_printf ("127.0.0.1:%d", i);
	}
	dff_cell_set_instances (cell, instances, HARNESS_WORKERS);
}

static inline void
harness_start (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	uint64_t seed = harness->seed * 1000 + (uint64_t)++harness->n_starts;
	process->alive = true;
	process->paused = false;
	process->caller = dff_memory_open (harness->memory);
	process->link = g_new0 (struct fake_link, 1);
	fake_link_init (process->link, &harness->fleet);
	g_ptr_array_add (harness->links, process->link);
	struct dff_recorder_options recorder_options;
	dff_recorder_options_init (&recorder_options);
	recorder_options.table = &process->caller->table;
	recorder_options.clock = &harness->clock.clock;
	recorder_options.metrics = harness->metrics;
	recorder_options.writer = dff_name_printf ("p%d.%d", index, harness->n_starts);
	recorder_options.seed = seed;
	process->recorder = dff_recorder_new (&recorder_options);
	struct dff_cell_options options;
	dff_cell_options_init (&options);
	if (harness->lease_ms != 0) {
		options.lease_ms = harness->lease_ms;
		options.renew_ms = harness->lease_ms / 4;
		options.lease_margin_ms = harness->lease_ms / 8;
	}
	options.instance = dff_name_printf ("p%d", index);
	options.region = dff_name_from (HARNESS_REGION);
	options.table = &process->caller->table;
	options.workers = &process->link->client;
	options.clock = &harness->clock.clock;
	options.metrics = harness->metrics;
	options.tracer = harness->tracer;
	options.recorder = process->recorder;
	options.seed = seed;
	options.core.start_timeout_ms = 3000;
	options.core.retry_by_cause = harness->retries_soon;
	options.core.keep_places = harness->retries_soon;
	process->cell = dff_cell_new (&options);
	dff_cell_set_rank (process->cell, index);
	dff_cell_set_pool (process->cell, &harness->pool);
	if (!harness->no_instance_list)
		harness_set_instances (harness, process->cell);
}

/** Kills a process. Messages that it sent stay in transit; no answer reaches it. */
static inline void
harness_kill (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	dff_memory_close (process->caller);
	process->link->closed = true;
	dff_cell_free (process->cell);
	dff_recorder_free (process->recorder);
	process->alive = false;
}

static inline void
harness_pause (struct harness *harness, int index, bool paused)
{
	struct harness_process *process = &harness->processes[index];
	process->paused = paused;
	process->link->paused = paused;
	process->caller->faults.silent_until_ms = paused ? DFF_MEMORY_FOREVER : 0;
}

static inline void
harness_append_span (void *ctx, struct dff_str line)
{
	g_string_append_len (ctx, line.data, (gssize)line.len);
	g_string_append_c (ctx, '\n');
}

static inline void harness_check_start (void *ctx, const struct dff_task_id *task);

static inline void
harness_init_with (struct harness *harness, uint64_t seed, bool retries_soon)
{
	memset (harness, 0, sizeof (*harness));
	harness->seed = seed;
	harness->retries_soon = retries_soon;
	dff_clock_virtual_init (&harness->clock, 1000000);
	const struct dff_memory_options options = {.clock = &harness->clock.clock, .seed = seed};
	harness->memory = dff_memory_new (&options);
	harness->metrics = dff_metrics_new ();
	const struct dff_name instance = dff_name_from ("test");
	harness->spans = g_string_new (NULL);
	harness->tracer = dff_tracer_new (&harness->clock.clock, &instance, seed,
					  harness_append_span, harness->spans);
	fixture_pool_init (&harness->pool, 2, HARNESS_WORKERS / 2, 8);
	fixture_pool_add_team (&harness->pool, "a", 0, 0);
	fake_fleet_init (&harness->fleet, &harness->clock.clock, HARNESS_WORKERS, (guint32)seed);
	harness->fleet.check_start = harness_check_start;
	harness->fleet.check_ctx = harness;
	harness->links = g_ptr_array_new_with_free_func (g_free);
	harness->entry = dff_memory_open (harness->memory);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_start (harness, i);
}

static inline void
harness_init (struct harness *harness, uint64_t seed)
{
	harness_init_with (harness, seed, false);
}

static inline void
harness_clear (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		if (harness->processes[i].alive)
			harness_kill (harness, i);
	}
	for (int i = 0; i < harness->n_jobs; i++)
		dff_job_row_free (harness->rows[i]);
	dff_memory_close (harness->entry);
	dff_memory_free (harness->memory);
	fake_fleet_clear (&harness->fleet);
	fixture_pool_clear (&harness->pool);
	g_ptr_array_unref (harness->links);
	dff_tracer_free (harness->tracer);
	g_string_free (harness->spans, TRUE);
	dff_metrics_free (harness->metrics);
}

static inline struct dff_name
harness_job_id (int index)
{
	return dff_name_printf (HARNESS_REGION "." HARNESS_HASH ".%d", index);
}

static inline void
harness_written (void *user, const struct dff_table_result *result)
{
	*(enum dff_table_outcome *)user = result->outcome;
}

/** Writes a job's row as an entry does. Returns: whether the row had the expected revision. */
static inline bool
harness_write_row (struct harness *harness, const struct dff_job_row *row)
{
	g_autoptr (GString) key = dff_job_row_key (&row->spec.id);
	g_autoptr (GString) value = dff_job_row_encode (row);
	const struct dff_table_condition condition = {{key->str, key->len}, row->revision};
	const struct dff_table_write write = {{key->str, key->len}, {value->str, value->len}};
	const struct dff_table_txn txn = {
		.write_id = dff_name_printf ("entry.%d", ++harness->n_writes),
		.conditions = &condition,
		.n_conditions = 1,
		.writes = &write,
		.n_writes = 1,
	};
	enum dff_table_outcome outcome = DFF_TABLE_UNCERTAIN;
	const struct dff_table *table = &harness->entry->table;
	table->commit (table->ctx, &txn, harness_written, &outcome);
	return outcome == DFF_TABLE_OK;
}

static inline void
harness_hint (struct harness *harness, const struct dff_name *job)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		if (harness->processes[i].alive && !harness->processes[i].paused)
			dff_cell_handle_job_hint (harness->processes[i].cell, job);
	}
}

/** Submits a job of @gang members with 8 accelerators each. Returns: its index. */
static inline int
harness_submit (struct harness *harness, int gang, bool idempotent)
{
	int index = harness->n_jobs++;
	assert_true (index < HARNESS_MAX_JOBS);
	struct dff_name id = harness_job_id (index);
	DFF_AUTO (dff_job_row) row = dff_job_row_new ();
	row->spec = fixture_spec (id.data, gang, 8);
	row->batch = harness->batch;
	row->spec.region = dff_name_from (HARNESS_REGION);
	row->spec.idempotent = idempotent;
	row->spec.max_attempts = idempotent ? 3 : 1;
	assert_true (harness_write_row (harness, row));
	harness_hint (harness, &id);
	return index;
}

/* Checks that the row was not written by a process that is no longer the holder. */
static inline void
harness_check_writer (const struct harness *harness, const struct dff_job_row *row)
{
	static const char prefix[] = "{\"epoch\":";
	struct dff_table_row found;
	if (row->epoch == 0 ||
	    !dff_memory_peek (harness->memory, dff_str_from ("cell/" HARNESS_REGION "/epoch"),
			      &found))
		return;
	int64_t epoch = strtoll (found.value.data + strlen (prefix), NULL, 10);
	if (found.revision < row->revision && row->epoch != epoch)
		fail_msg ("job %s: written by the holder of epoch %d after epoch %d began",
			  row->spec.id.data, (int)row->epoch, (int)epoch);
}

/** Returns: the current row of job @index; valid until it changes. */
static inline const struct dff_job_row *
harness_row (struct harness *harness, int index)
{
	struct dff_name id = harness_job_id (index);
	g_autoptr (GString) key = dff_job_row_key (&id);
	struct dff_str key_text = {key->str, key->len};
	struct dff_table_row found;
	assert_true (dff_memory_peek (harness->memory, key_text, &found));
	struct dff_job_row **row = &harness->rows[index];
	if (*row != NULL && (*row)->revision == found.revision)
		return *row;
	if (*row != NULL)
		dff_job_row_free (*row);
	*row = dff_job_row_decode (found.value, found.revision, NULL);
	assert_non_null (*row);
	harness_check_writer (harness, *row);
	return *row;
}

static inline enum dff_outcome
harness_outcome (struct harness *harness, int index)
{
	return harness_row (harness, index)->outcome;
}

/** Requests a cancellation as an entry does. */
static inline void
harness_cancel (struct harness *harness, int index)
{
	struct dff_job_row row = *harness_row (harness, index);
	if (row.state == DFF_JOB_ROW_ENDED)
		return;
	row.cancel_requested = true;
	row.epoch = 0;
	assert_true (harness_write_row (harness, &row));
	harness_hint (harness, &row.spec.id);
}

/** Returns: number of times that @member of job @index began to run, in attempts 1 to @attempts. */
static inline int
harness_member_runs (const struct harness *harness, int index, int member, int attempts)
{
	int runs = 0;
	struct dff_task_id task = {.job = harness_job_id (index), .member = member};
	for (task.attempt = 1; task.attempt <= attempts; task.attempt++)
		runs += fake_count (harness->fleet.runs, &task);
	return runs;
}

/** Returns: number of times that any member of job @index began to run. */
static inline int
harness_runs (struct harness *harness, int index)
{
	const struct dff_job_row *row = harness_row (harness, index);
	int runs = 0;
	for (int member = 0; member < row->spec.gang; member++)
		runs += harness_member_runs (harness, index, member, row->attempt);
	return runs;
}

#endif
