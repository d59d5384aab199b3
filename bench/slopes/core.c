#include "bench/slopes/core_load.h"
#include "bench/slopes/slopes.h"

/* The decision core: bytes of state and time of a tick against the size of each table. A quiet tick
 * has no event; an event tick follows the submission of a job that cannot be placed; a review is
 * the evaluation of the whole queue, once per second. */

#define QUIET_TICKS 2000
#define EVENTS 40
#define BASE_WORKERS 360
#define BASE_TASKS 2000
#define BASE_TEAMS 120
#define BASE_QUEUED 100
#define DESIGN_WORKERS 1800
#define QUEUED_GANG 8
#define REVIEW_MS 1100

struct core_axes {
	struct slope_axes bytes;
	struct slope_axes quiet;
	struct slope_axes event;
	struct slope_axes review;
};

#define AXES(dimension, label)                                                                     \
	{                                                                                          \
		{"core_bytes_by_" dimension, label, "bytes of state"},                             \
			{"core_quiet_tick_us_by_" dimension, label, "us a quiet tick"},            \
			{"core_event_tick_us_by_" dimension, label, "us a tick with an event"},    \
			{"core_review_us_by_" dimension, label, "us a review of the queue"},       \
	}

static double
quiet_tick_us (struct core_load *load)
{
	double before = slopes_cpu_us ();
	for (int i = 0; i < QUIET_TICKS; i++)
		dff_core_tick (load->core, load->now_ms, load->commands);
	return (slopes_cpu_us () - before) / QUIET_TICKS;
}

static double
event_tick_us (struct core_load *load)
{
	double spent = 0;
	for (int i = 0; i < EVENTS; i++) {
		struct dff_job_spec spec = core_load_job (load, QUEUED_GANG, 1);
		double before = slopes_cpu_us ();
		core_load_submit (load, &spec);
		dff_core_tick (load->core, load->now_ms, load->commands);
		spent += slopes_cpu_us () - before;
		core_load_settle (load);
	}
	return spent / EVENTS;
}

static double
review_us (struct core_load *load)
{
	double spent = 0;
	for (int i = 0; i < EVENTS; i++) {
		load->now_ms += REVIEW_MS;
		double before = slopes_cpu_us ();
		dff_core_tick (load->core, load->now_ms, load->commands);
		spent += slopes_cpu_us () - before;
		core_load_settle (load);
	}
	return spent / EVENTS;
}

static void
queue_jobs (struct core_load *load, int n_jobs)
{
	for (int i = 0; i < n_jobs; i++) {
		struct dff_job_spec spec = core_load_job (load, QUEUED_GANG, 1);
		core_load_submit (load, &spec);
	}
	core_load_settle (load);
}

/** Leases every accelerator to jobs of the teams, so that queued jobs stay queued. */
static void
occupy_accelerators (struct core_load *load)
{
	int n_gangs = (int)load->pool->racks->len * 2;
	for (int i = 0; i < n_gangs; i++) {
		struct dff_job_spec spec = core_load_job (load, QUEUED_GANG, 1);
		core_load_submit (load, &spec);
	}
	core_load_settle (load);
}

static void
add_times (struct slopes *slopes, const struct core_axes *axes, struct core_load *load, double x)
{
	slopes_add (slopes, &axes->quiet, x, quiet_tick_us (load));
	slopes_add (slopes, &axes->event, x, event_tick_us (load));
	slopes_add (slopes, &axes->review, x, review_us (load));
}

static void
by_workers (struct slopes *slopes)
{
	static const struct core_axes axes = AXES ("workers", "workers");
	static const int sizes[] = {50, 200, 360, 900, 1800};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {sizes[i], BASE_TEAMS, 1};
		int64_t before = slopes_heap_bytes ();
		DFF_AUTO (core_load) load = core_load_new (&size);
		dff_pool_free (load->pool);
		slopes_add (slopes, &axes.bytes, sizes[i], (double)(slopes_heap_bytes () - before));
		load->pool = core_load_pool (&size);
		occupy_accelerators (load);
		queue_jobs (load, BASE_QUEUED);
		add_times (slopes, &axes, load, sizes[i]);
	}
}

static void
by_tasks (struct slopes *slopes)
{
	static const struct core_axes axes = AXES ("tasks", "running tasks");
	static const int sizes[] = {400, 1600, 3200, 6400, 10000};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {DESIGN_WORKERS, BASE_TEAMS, 1};
		DFF_AUTO (core_load) load = core_load_new (&size);
		int64_t before = slopes_heap_bytes ();
		int n_tasks = core_load_run_tasks (load, sizes[i]);
		slopes_add (slopes, &axes.bytes, n_tasks, (double)(slopes_heap_bytes () - before));
		occupy_accelerators (load);
		queue_jobs (load, BASE_QUEUED);
		add_times (slopes, &axes, load, n_tasks);
	}
}

static void
by_teams (struct slopes *slopes)
{
	static const struct core_axes axes = AXES ("teams", "teams");
	static const int sizes[] = {4, 15, 30, 60, 120};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {BASE_WORKERS, sizes[i], 1};
		int64_t before = slopes_heap_bytes ();
		DFF_AUTO (core_load) load = core_load_new (&size);
		slopes_add (slopes, &axes.bytes, sizes[i], (double)(slopes_heap_bytes () - before));
		occupy_accelerators (load);
		queue_jobs (load, BASE_QUEUED);
		add_times (slopes, &axes, load, sizes[i]);
	}
}

static void
by_queue (struct slopes *slopes)
{
	static const struct core_axes axes = AXES ("queued", "queued jobs");
	static const int sizes[] = {100, 1000, 5000, 20000, 50000, 100000};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {BASE_WORKERS, BASE_TEAMS, 1};
		DFF_AUTO (core_load) load = core_load_new (&size);
		core_load_run_tasks (load, BASE_TASKS);
		occupy_accelerators (load);
		int64_t before = slopes_heap_bytes ();
		queue_jobs (load, sizes[i]);
		slopes_add (slopes, &axes.bytes, sizes[i], (double)(slopes_heap_bytes () - before));
		add_times (slopes, &axes, load, sizes[i]);
	}
}

/** Measures the placement of a gang of whole accelerators in an empty region. */
static void
by_gang (struct slopes *slopes)
{
	static const struct slope_axes axes = {"core_place_us_by_gang", "tasks of the gang",
					       "us until it is placed"};
	static const int sizes[] = {1, 8, 32, 64, 96, 128};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {BASE_WORKERS, BASE_TEAMS, 1};
		double spent = 0;
		for (int j = 0; j < EVENTS; j++) {
			DFF_AUTO (core_load) load = core_load_new (&size);
			struct dff_job_spec spec = core_load_job (load, sizes[i], 1);
			double before = slopes_cpu_us ();
			core_load_submit (load, &spec);
			dff_core_tick (load->core, load->now_ms, load->commands);
			spent += slopes_cpu_us () - before;
		}
		slopes_add (slopes, &axes, sizes[i], spent / EVENTS);
	}
}

/** Measures the loss of several workers of a full region at once; a data centre has about 100. */
static void
by_lost_workers (struct slopes *slopes)
{
	static const struct slope_axes axes = {"core_lost_us_by_workers", "workers lost at once",
					       "us until shapes have their places again"};
	static const int sizes[] = {8, 25, 50, 75, 100};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		struct core_load_size size = {BASE_WORKERS, BASE_TEAMS, 1};
		DFF_AUTO (core_load) load = core_load_new (&size);
		core_load_run_tasks (load, BASE_TASKS);
		occupy_accelerators (load);
		double before = slopes_cpu_us ();
		core_load_fail_workers (load, sizes[i]);
		core_load_settle (load);
		slopes_add (slopes, &axes, sizes[i], slopes_cpu_us () - before);
	}
}

void
slopes_core (struct slopes *slopes)
{
	by_workers (slopes);
	by_tasks (slopes);
	by_teams (slopes);
	by_queue (slopes);
	by_gang (slopes);
	by_lost_workers (slopes);
}
