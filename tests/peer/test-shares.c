#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "peer/grant.h"
#include "peer/watch_assignment.h"

#define N_MEMBERS 9
#define N_WORKERS 50
#define N_SLOTS 8

static struct dff_grant_member members[N_MEMBERS];
static struct dff_grant_worker workers[N_WORKERS];

static int
set_up (void **state)
{
	(void)state;
	for (int i = 0; i < N_MEMBERS; i++) {
		members[i].id = dff_name_printf ("entry-%d", i);
		members[i].data_centre = dff_name_printf ("dc-%d", i % 3);
	}
	for (int i = 0; i < N_WORKERS; i++) {
		workers[i].id = dff_name_printf ("worker-%d", i);
		workers[i].data_centre = dff_name_printf ("dc-%d", i / 8 % 3);
		workers[i].slots = N_SLOTS;
	}
	return 0;
}

static int32_t
slots_of (GPtrArray *shares, guint member, int worker)
{
	const GArray *grants = shares->pdata[member];
	for (guint i = 0; i < grants->len; i++) {
		const struct dff_grant *grant = &g_array_index (grants, struct dff_grant, i);
		if (dff_name_equal (&grant->worker, &workers[worker].id))
			return grant->slots;
	}
	return 0;
}

static void
test_every_slot_is_granted_once (void **state)
{
	(void)state;
	static const size_t sizes[] = {0, 1, 2, N_MEMBERS};
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		g_autoptr (GPtrArray) shares =
			dff_grants_assign (workers, N_WORKERS, members, sizes[i]);
		assert_int_equal (shares->len, sizes[i]);
		for (int worker = 0; worker < N_WORKERS; worker++) {
			int32_t total = 0;
			for (guint member = 0; member < shares->len; member++)
				total += slots_of (shares, member, worker);
			assert_int_equal (total, sizes[i] > 0 ? N_SLOTS : 0);
		}
	}
}

static void
test_leave_moves_only_its_slots (void **state)
{
	(void)state;
	g_autoptr (GPtrArray) with = dff_grants_assign (workers, N_WORKERS, members, N_MEMBERS);
	g_autoptr (GPtrArray) without =
		dff_grants_assign (workers, N_WORKERS, members, N_MEMBERS - 1);
	for (int worker = 0; worker < N_WORKERS; worker++) {
		int32_t gained = 0;
		for (guint member = 0; member < N_MEMBERS - 1; member++) {
			int32_t before = slots_of (with, member, worker);
			int32_t after = slots_of (without, member, worker);
			assert_true (after >= before);
			gained += after - before;
		}
		assert_int_equal (gained, slots_of (with, N_MEMBERS - 1, worker));
	}
}

static void
test_order_of_members_does_not_matter (void **state)
{
	(void)state;
	struct dff_grant_member reversed[N_MEMBERS];
	for (int i = 0; i < N_MEMBERS; i++)
		reversed[i] = members[N_MEMBERS - 1 - i];
	g_autoptr (GPtrArray) one = dff_grants_assign (workers, N_WORKERS, members, N_MEMBERS);
	g_autoptr (GPtrArray) other = dff_grants_assign (workers, N_WORKERS, reversed, N_MEMBERS);
	for (guint member = 0; member < N_MEMBERS; member++) {
		for (int worker = 0; worker < N_WORKERS; worker++)
			assert_int_equal (slots_of (one, member, worker),
					  slots_of (other, N_MEMBERS - 1 - member, worker));
	}
}

static void
test_same_data_centre_is_preferred (void **state)
{
	(void)state;
	g_autoptr (GPtrArray) shares = dff_grants_assign (workers, N_WORKERS, members, N_MEMBERS);
	int32_t same = 0;
	for (guint member = 0; member < N_MEMBERS; member++) {
		for (int worker = 0; worker < N_WORKERS; worker++) {
			if (dff_name_equal (&members[member].data_centre,
					    &workers[worker].data_centre))
				same += slots_of (shares, member, worker);
		}
	}
	/* Weights 4 : 1 : 1 give two thirds. */
	assert_in_range (same, N_WORKERS * N_SLOTS * 60 / 100, N_WORKERS * N_SLOTS * 73 / 100);
}

static void
test_each_worker_is_watched_once (void **state)
{
	(void)state;
	struct dff_name names[N_WORKERS];
	for (int i = 0; i < N_WORKERS; i++)
		names[i] = workers[i].id;
	struct dff_name watchers[N_MEMBERS];
	for (int i = 0; i < N_MEMBERS; i++)
		watchers[i] = members[i].id;
	int watched[N_WORKERS] = {0};
	for (int i = 0; i < N_MEMBERS; i++) {
		g_autoptr (GArray) share = g_array_new (FALSE, FALSE, sizeof (guint));
		dff_watch_assign (&watchers[i], watchers, N_MEMBERS, names, N_WORKERS, share);
		for (guint j = 0; j < share->len; j++)
			watched[g_array_index (share, guint, j)]++;
	}
	for (int i = 0; i < N_WORKERS; i++)
		assert_int_equal (watched[i], 1);
}

struct watcher_case {
	const char *region;
	enum dff_member_state state;
	bool counts;
};

static void
test_which_members_watch (void **state)
{
	(void)state;
	static const struct watcher_case cases[] = {
		{"here", DFF_MEMBER_ALIVE, true},       {"here", DFF_MEMBER_SUSPECT, true},
		{"here", DFF_MEMBER_LEAVING, false},    {"here", DFF_MEMBER_DEAD, false},
		{"elsewhere", DFF_MEMBER_ALIVE, false},
	};
	struct dff_name here = dff_name_from ("here");
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_member member = {.state = cases[i].state};
		member.instance.id = dff_name_from ("entry");
		member.instance.region = dff_name_from (cases[i].region);
		g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (member));
		g_autoptr (GArray) out = g_array_new (FALSE, FALSE, sizeof (struct dff_name));
		g_array_append_val (all, member);
		dff_watch_collect_members (all, &here, out);
		assert_int_equal (out->len, cases[i].counts);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_every_slot_is_granted_once),
		cmocka_unit_test (test_leave_moves_only_its_slots),
		cmocka_unit_test (test_order_of_members_does_not_matter),
		cmocka_unit_test (test_same_data_centre_is_preferred),
		cmocka_unit_test (test_each_worker_is_watched_once),
		cmocka_unit_test (test_which_members_watch),
	};
	return cmocka_run_group_tests (tests, set_up, NULL);
}
