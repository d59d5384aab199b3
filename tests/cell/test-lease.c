#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "backing/memory.h"
#include "cell/lease.h"

#define N_PROCESSES 3
#define STEP_MS 10
#define LEASE_MS 4000

/** A clock that runs at its own rate. */
struct skewed_clock {
	struct dff_clock clock;
	const struct dff_clock_virtual *base;
	int percent;
};

static int64_t
skewed_ms (void *ctx)
{
	const struct skewed_clock *skewed = ctx;
	return skewed->base->now_ms * skewed->percent / 100;
}

struct process {
	struct skewed_clock clock;
	struct dff_memory_handle *caller;
	struct dff_lease *lease;
};

/** Processes on one table under one clock. Every step checks that at most one holds the lease. */
struct fixture {
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_metrics *metrics;
	struct process processes[N_PROCESSES];
	/** Processes that are paused: their clock goes on. */
	bool paused[N_PROCESSES];
};

static void
fixture_init_skewed (struct fixture *fixture, const int *percents)
{
	memset (fixture, 0, sizeof (*fixture));
	dff_clock_virtual_init (&fixture->clock, 1000);
	const struct dff_memory_options options = {.clock = &fixture->clock.clock, .seed = 7};
	fixture->memory = dff_memory_new (&options);
	fixture->metrics = dff_metrics_new ();
	for (int i = 0; i < N_PROCESSES; i++) {
		struct process *process = &fixture->processes[i];
		process->caller = dff_memory_open (fixture->memory);
		process->clock = (struct skewed_clock){
			.clock = {.monotonic_ms = skewed_ms, .ctx = &process->clock},
			.base = &fixture->clock,
			.percent = percents[i],
		};
		const struct dff_lease_options lease_options = {
			.instance = dff_name_printf ("entry-%d", i),
			.region = dff_name_from ("north"),
			.table = &process->caller->table,
			.clock = &process->clock.clock,
			.metrics = fixture->metrics,
			.seed = 100 + (uint64_t)i,
			.lease_ms = LEASE_MS,
			.renew_ms = 1000,
			.margin_ms = 500,
		};
		process->lease = dff_lease_new (&lease_options);
		dff_lease_set_candidate (process->lease, true);
		dff_lease_set_rank (process->lease, i);
	}
}

static void
fixture_init (struct fixture *fixture)
{
	static const int exact[N_PROCESSES] = {100, 100, 100};
	fixture_init_skewed (fixture, exact);
}

static void
fixture_clear (struct fixture *fixture)
{
	for (int i = 0; i < N_PROCESSES; i++) {
		dff_memory_close (fixture->processes[i].caller);
		dff_lease_free (fixture->processes[i].lease);
	}
	dff_memory_free (fixture->memory);
	dff_metrics_free (fixture->metrics);
}

static int
holder (const struct fixture *fixture)
{
	int found = -1;
	for (int i = 0; i < N_PROCESSES; i++) {
		if (!dff_lease_is_held (fixture->processes[i].lease))
			continue;
		assert_int_equal (found, -1);
		found = i;
	}
	return found;
}

static int
step (struct fixture *fixture)
{
	fixture->clock.now_ms += STEP_MS;
	dff_memory_tick (fixture->memory);
	for (int i = 0; i < N_PROCESSES; i++) {
		if (!fixture->paused[i])
			dff_lease_tick (fixture->processes[i].lease);
		holder (fixture);
	}
	return holder (fixture);
}

/** Runs until process @wanted holds the lease. Returns: the time taken, ms; -1 if it never does. */
static int64_t
run_until_holder (struct fixture *fixture, int wanted, int64_t limit_ms)
{
	int64_t begin_ms = fixture->clock.now_ms;
	while (fixture->clock.now_ms < begin_ms + limit_ms) {
		if (step (fixture) == wanted)
			return fixture->clock.now_ms - begin_ms;
	}
	return -1;
}

static void
run (struct fixture *fixture, int64_t duration_ms)
{
	for (int64_t t = 0; t < duration_ms; t += STEP_MS)
		step (fixture);
}

static void
test_first_rank_takes_a_free_cell (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	assert_in_range (run_until_holder (&fixture, 0, 1000), 0, 50);
	assert_int_equal (dff_lease_epoch (fixture.processes[0].lease), 1);
	run (&fixture, 60000);
	assert_int_equal (holder (&fixture), 0);
	assert_int_equal (dff_lease_epoch (fixture.processes[0].lease), 1);
	fixture_clear (&fixture);
}

/* Guards against two holders that start members of the same gang. The holder is paused past its
 * lease, another takes over, and the first resumes: it must not assume that its lease holds until
 * the next renewal fails. */
static void
test_paused_holder_resumes_without_the_lease (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	run_until_holder (&fixture, 0, 1000);
	fixture.paused[0] = true;
	int64_t took_ms = run_until_holder (&fixture, 1, 20000);
	assert_in_range (took_ms, LEASE_MS - 1100, LEASE_MS + 1300);
	assert_false (dff_lease_is_held (fixture.processes[0].lease));
	assert_int_equal (dff_lease_epoch (fixture.processes[1].lease), 2);
	fixture.paused[0] = false;
	run (&fixture, 20000);
	assert_int_equal (holder (&fixture), 1);
	fixture_clear (&fixture);
}

static void
test_released_cell_is_taken_at_once (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	run_until_holder (&fixture, 0, 1000);
	dff_lease_release (fixture.processes[0].lease);
	assert_false (dff_lease_is_held (fixture.processes[0].lease));
	assert_in_range (run_until_holder (&fixture, 1, 20000), 0, 1400);
	assert_true (dff_lease_is_released (fixture.processes[0].lease));
	fixture_clear (&fixture);
}

/* Guards against a holder that continues while another has taken the cell. The store is unreachable
 * for the holder alone; a renewal counts from when it was sent, not from its answer. */
static void
test_holder_cut_off_from_the_store_stops_before_the_next_starts (void **state)
{
	(void)state;
	static const struct dff_memory_faults faults[] = {
		{.outage_until_ms = DFF_MEMORY_FOREVER},
		{.silent_until_ms = DFF_MEMORY_FOREVER},
		{.delay_min_ms = 5000, .delay_max_ms = 9000},
		{.lost_permille = 1000},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (faults); i++) {
		struct fixture fixture;
		fixture_init (&fixture);
		run_until_holder (&fixture, 0, 1000);
		fixture.processes[0].caller->faults = faults[i];
		assert_in_range (run_until_holder (&fixture, 1, 20000), 2000, 6000);
		fixture.processes[0].caller->faults = (struct dff_memory_faults){0};
		run (&fixture, 20000);
		assert_int_equal (holder (&fixture), 1);
		assert_int_equal (dff_lease_epoch (fixture.processes[1].lease), 2);
		fixture_clear (&fixture);
	}
}

/* Guards against two holders at once. A renewal takes effect long before its answer arrives, then
 * the store becomes unreachable for the holder. A lease that counts from the answer would last
 * longer than any other process assumes. */
static void
test_renewal_counts_from_when_it_was_sent (void **state)
{
	(void)state;
	for (int64_t phase_ms = 0; phase_ms < 5000; phase_ms += 20) {
		struct fixture fixture;
		fixture_init (&fixture);
		run_until_holder (&fixture, 0, 1000);
		struct dff_memory_faults *faults = &fixture.processes[0].caller->faults;
		*faults = (struct dff_memory_faults){.delay_min_ms = 2440, .delay_max_ms = 2440};
		run (&fixture, phase_ms);
		*faults = (struct dff_memory_faults){.outage_until_ms = DFF_MEMORY_FOREVER};
		run (&fixture, 12000);
		assert_in_range (holder (&fixture), 1, N_PROCESSES - 1);
		fixture_clear (&fixture);
	}
}

/* Guards against two holders at once. The store becomes unreachable for a holder whose clock is
 * slow, while the others' clocks are fast: the lease needs a margin for clock rates. */
static void
test_clocks_run_at_different_rates (void **state)
{
	(void)state;
	static const int percents[N_PROCESSES] = {95, 105, 105};
	for (int64_t phase_ms = 0; phase_ms < 2000; phase_ms += 20) {
		struct fixture fixture;
		fixture_init_skewed (&fixture, percents);
		run_until_holder (&fixture, 0, 1000);
		run (&fixture, phase_ms);
		fixture.processes[0].caller->faults.outage_until_ms = DFF_MEMORY_FOREVER;
		run (&fixture, 10000);
		assert_in_range (holder (&fixture), 1, N_PROCESSES - 1);
		fixture_clear (&fixture);
	}
}

/* Guards against taking a lost answer for a failed write. A commit takes effect at once, late or
 * never, and its answer is lost: the holder would step down without need, or the cell would have no
 * holder. */
static void
test_lost_answers_neither_lose_nor_split_the_lease (void **state)
{
	(void)state;
	static const struct dff_memory_faults faults[] = {
		{.lose_answers = 1},
		{.late_writes = 1, .late_ms = 30},
		{.late_writes = 1, .late_ms = 3000},
		{.lost_writes = 1},
		{.lose_answers = 2},
		{.lost_writes = 2},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (faults) * 2; i++) {
		struct fixture fixture;
		fixture_init (&fixture);
		bool at_take = i % 2 == 0;
		if (!at_take)
			run_until_holder (&fixture, 0, 1000);
		fixture.processes[0].caller->faults = faults[i / 2];
		run (&fixture, 3000);
		if (!at_take)
			assert_int_equal (holder (&fixture), 0);
		run (&fixture, 20000);
		assert_int_not_equal (holder (&fixture), -1);
		fixture_clear (&fixture);
	}
}

static void
ignore_answer (void *user, const struct dff_table_result *result)
{
	(void)user;
	assert_int_equal (result->outcome, DFF_TABLE_OK);
}

/* Guards against taking an unreadable epoch row for a missing one: epochs would start again at 1,
 * and older commands would be accepted as newer ones. */
static void
test_malformed_epoch_row_blocks_takeover (void **state)
{
	(void)state;
	struct fixture fixture;
	fixture_init (&fixture);
	const struct dff_table *table = &fixture.processes[2].caller->table;
	const struct dff_table_write write = {
		.key = dff_str_from ("cell/north/epoch"),
		.value = dff_str_from ("{\"epoch\":\"five\"}"),
	};
	const struct dff_table_txn txn = {
		.write_id = dff_name_from ("damage"), .writes = &write, .n_writes = 1};
	table->commit (table->ctx, &txn, ignore_answer, NULL);
	run (&fixture, 10000);
	assert_int_equal (holder (&fixture), -1);
	fixture_clear (&fixture);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_first_rank_takes_a_free_cell),
		cmocka_unit_test (test_paused_holder_resumes_without_the_lease),
		cmocka_unit_test (test_released_cell_is_taken_at_once),
		cmocka_unit_test (test_holder_cut_off_from_the_store_stops_before_the_next_starts),
		cmocka_unit_test (test_renewal_counts_from_when_it_was_sent),
		cmocka_unit_test (test_clocks_run_at_different_rates),
		cmocka_unit_test (test_lost_answers_neither_lose_nor_split_the_lease),
		cmocka_unit_test (test_malformed_epoch_row_blocks_takeover),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
