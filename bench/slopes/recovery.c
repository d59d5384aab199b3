#include "backing/memory.h"
#include "bench/slopes/core_load.h"
#include "bench/slopes/slopes.h"
#include "cell/cell.h"
#include "cell/job_row.h"
#include "standin/memory_workers.h"

/* A takeover against the number of recorded jobs: time under a virtual clock, with store calls of
 * 10 to 30 ms; reads; processor time; memory of the new holder. Half of a region's workers suffice
 * to show that the workers are queried in one round, not one after another. */

#define WORKERS 360
#define TEAMS 120
#define TICK_MS 10
#define LIMIT_MS 60000
#define REGION "region-1"

struct takeover {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *caller;
	struct dff_memory_workers *workers;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	struct dff_recorder *recorder;
	struct dff_cell *cell;
	struct dff_pool *pool;
};

static void
ignore_commit (void *user, const struct dff_table_result *result)
{
	(void)user;
	g_assert (result->outcome == DFF_TABLE_OK);
}

static struct dff_job_spec
job_spec (int index)
{
	return (struct dff_job_spec){
		.id = dff_name_printf (REGION ".0123456789abcdef0123456789abcdef.%d", index),
		.team = dff_name_printf ("team-%d", index % TEAMS + 1),
		.service = dff_name_from ("batch"),
		.region = dff_name_from (REGION),
		.gang = 8,
		.per_task = {.slots = 8, .cores = 8, .memory_gb = 8, .accelerators = 1},
		.idempotent = true,
		.declared_ms = 3600000,
		.max_attempts = 3,
	};
}

static void
write_row (struct takeover *takeover, int index, bool ended)
{
	const struct dff_table *table = &takeover->caller->table;
	DFF_AUTO (dff_job_row) row = dff_job_row_new ();
	row->spec = job_spec (index);
	row->state = ended ? DFF_JOB_ROW_ENDED : DFF_JOB_ROW_QUEUED;
	row->outcome = ended ? DFF_OUTCOME_COMPLETED : DFF_OUTCOME_NONE;
	g_autoptr (GString) key = dff_job_row_key (&row->spec.id);
	g_autoptr (GString) value = dff_job_row_encode (row);
	struct dff_table_write write = {{key->str, key->len}, {value->str, value->len}};
	struct dff_table_txn txn = {
		.write_id = dff_name_printf ("seed.%d", index), .writes = &write, .n_writes = 1};
	table->commit (table->ctx, &txn, ignore_commit, NULL);
}

static void
add_workers (struct takeover *takeover)
{
	g_autoptr (GArray) instances = g_array_new (FALSE, TRUE, sizeof (struct dff_instance));
	for (guint i = 0; i < takeover->pool->racks->len; i++) {
		const struct dff_rack *rack =
			&g_array_index (takeover->pool->racks, struct dff_rack, i);
		for (guint j = 0; j < rack->workers->len; j++) {
			struct dff_instance instance = {
				.id = g_array_index (rack->workers, struct dff_name, j),
				.role = DFF_INSTANCE_WORKER,
				.region = rack->region,
				.address = g_array_index (rack->workers, struct dff_name, j),
			};
			struct dff_standin_worker_options worker = {
				.store = &takeover->caller->objects, .capacity = rack->per_worker};
			dff_memory_workers_add (takeover->workers, &instance.address, &worker);
			g_array_append_val (instances, instance);
		}
	}
	dff_cell_set_instances (takeover->cell,
				(const struct dff_instance *)(void *)instances->data,
				instances->len);
}

static void
start_cell (struct takeover *takeover)
{
	struct dff_recorder_options recorder;
	dff_recorder_options_init (&recorder);
	recorder.table = &takeover->caller->table;
	recorder.clock = &takeover->clock.clock;
	recorder.metrics = takeover->metrics;
	recorder.writer = dff_name_from ("entry-1");
	recorder.seed = 1;
	takeover->recorder = dff_recorder_new (&recorder);
	struct dff_cell_options cell;
	dff_cell_options_init (&cell);
	cell.instance = dff_name_from ("entry-1");
	cell.region = dff_name_from (REGION);
	cell.table = &takeover->caller->table;
	cell.workers = dff_memory_workers_interface (takeover->workers);
	cell.clock = &takeover->clock.clock;
	cell.metrics = takeover->metrics;
	cell.tracer = takeover->tracer;
	cell.recorder = takeover->recorder;
	cell.seed = 1;
	takeover->cell = dff_cell_new (&cell);
	dff_cell_set_pool (takeover->cell, takeover->pool);
}

static struct takeover *
takeover_new (int n_rows, bool ended)
{
	struct core_load_size size = {WORKERS, TEAMS, 1};
	struct takeover *takeover = g_new0 (struct takeover, 1);
	dff_clock_virtual_init (&takeover->clock, 1000000);
	struct dff_memory_options memory = {.clock = &takeover->clock.clock, .seed = 1};
	takeover->memory = dff_memory_new (&memory);
	takeover->caller = dff_memory_open (takeover->memory);
	takeover->metrics = dff_metrics_new ();
	struct dff_name instance = dff_name_from ("entry-1");
	takeover->tracer = dff_tracer_new (&takeover->clock.clock, &instance, 1, NULL, NULL);
	takeover->workers = dff_memory_workers_new (&takeover->clock.clock, 1000);
	takeover->pool = core_load_pool (&size);
	for (int i = 0; i < n_rows; i++)
		write_row (takeover, i, ended);
	takeover->caller->faults.delay_min_ms = 10;
	takeover->caller->faults.delay_max_ms = 30;
	start_cell (takeover);
	add_workers (takeover);
	return takeover;
}

static void
takeover_free (struct takeover *takeover)
{
	dff_memory_close (takeover->caller);
	dff_cell_free (takeover->cell);
	dff_recorder_free (takeover->recorder);
	dff_memory_workers_free (takeover->workers);
	dff_tracer_free (takeover->tracer);
	dff_metrics_free (takeover->metrics);
	dff_memory_free (takeover->memory);
	dff_pool_free (takeover->pool);
	g_free (takeover);
}

DFF_DEFINE_CLEANUP (takeover, takeover_free);

static void
run_until_held (struct takeover *takeover)
{
	int64_t limit_ms = takeover->clock.now_ms + LIMIT_MS;
	while (!dff_cell_is_holder (takeover->cell) && takeover->clock.now_ms < limit_ms) {
		takeover->clock.now_ms += TICK_MS;
		dff_memory_tick (takeover->memory);
		dff_memory_workers_tick (takeover->workers);
		dff_cell_tick (takeover->cell);
		dff_recorder_tick (takeover->recorder);
	}
	g_assert (dff_cell_is_holder (takeover->cell));
}

struct recovery_axes {
	struct slope_axes ms;
	struct slope_axes reads;
	struct slope_axes cpu;
	struct slope_axes bytes;
};

#define AXES(kind, label)                                                                          \
	{                                                                                          \
		{"recovery_ms_by_" kind, label, "ms until the cell is held"},                      \
			{"recovery_reads_by_" kind, label, "reads"},                               \
			{"recovery_cpu_ms_by_" kind, label, "ms of processor time"},               \
			{"recovery_bytes_by_" kind, label, "bytes of state"},                      \
	}

static void
measure (struct slopes *slopes, const struct recovery_axes *axes, int n_rows, bool ended)
{
	DFF_AUTO (takeover) takeover = takeover_new (n_rows, ended);
	int64_t start_ms = takeover->clock.now_ms;
	int64_t heap = slopes_heap_bytes ();
	double start_us = slopes_cpu_us ();
	run_until_held (takeover);
	struct dff_memory_counts counts = dff_memory_counts (takeover->memory);
	slopes_add (slopes, &axes->ms, n_rows, (double)(takeover->clock.now_ms - start_ms));
	slopes_add (slopes, &axes->reads, n_rows,
		    (double)(counts.gets + counts.scans + counts.lookups));
	slopes_add (slopes, &axes->cpu, n_rows, (slopes_cpu_us () - start_us) / 1000);
	slopes_add (slopes, &axes->bytes, n_rows, (double)(slopes_heap_bytes () - heap));
}

/** Measures the size of a job's row with an open attempt. */
static void
row_bytes (struct slopes *slopes, int gang)
{
	static const struct slope_axes axes = {"recovery_row_bytes_by_gang", "tasks of the gang",
					       "bytes of the job's row"};
	DFF_AUTO (dff_job_row) row = dff_job_row_new ();
	row->spec = job_spec (1);
	row->spec.gang = gang;
	row->state = DFF_JOB_ROW_OPEN;
	row->attempt = 1;
	for (int i = 0; i < gang; i++) {
		struct dff_placement placement = {
			.worker = dff_name_printf ("r%d-w%d", i / 8 + 1, i % 8 + 1),
			.accelerators = 1,
		};
		int64_t incarnation = 1234567890123;
		g_array_append_val (row->placements, placement);
		g_array_append_val (row->incarnations, incarnation);
	}
	g_autoptr (GString) value = dff_job_row_encode (row);
	slopes_add (slopes, &axes, gang, (double)value->len);
}

void
slopes_recovery (struct slopes *slopes)
{
	static const struct recovery_axes live =
		AXES ("live", "jobs on record that have not ended");
	static const struct recovery_axes ended = AXES ("ended", "ended jobs on record");
	static const int sizes[] = {100, 500, 1000, 2000, 5000, 10000};
	static const int gangs[] = {1, 8, 32, 64, 128};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		measure (slopes, &live, sizes[i], false);
		measure (slopes, &ended, sizes[i], true);
	}
	for (size_t i = 0; i < G_N_ELEMENTS (gangs); i++)
		row_bytes (slopes, gangs[i]);
}
