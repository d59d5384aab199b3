#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "entry/retry_budget.h"
#include "entry/slots.h"

#define EXPIRES_MS 1000

static struct dff_instance
worker (const char *id, const char *data_centre, bool leaving)
{
	struct dff_instance instance = {
		.id = dff_name_from (id),
		.role = DFF_INSTANCE_WORKER,
		.leaving = leaving,
		.address = dff_name_from ("127.0.0.1:1"),
		.data_centre = dff_name_from (data_centre),
	};
	return instance;
}

static struct dff_grant
grant (const char *id, int32_t n_slots)
{
	struct dff_grant grant = {.worker = dff_name_from (id), .slots = n_slots};
	return grant;
}

/* Two workers in data centre "a" and one in "b", with two slots each. */
static struct dff_slots *
three_workers (void)
{
	struct dff_name here = dff_name_from ("a");
	struct dff_instance instances[] = {worker ("w1", "a", false), worker ("w2", "a", false),
					   worker ("w3", "b", false)};
	struct dff_grant grants[] = {grant ("w1", 2), grant ("w2", 2), grant ("w3", 2)};
	struct dff_slots *slots = dff_slots_new (&here, 1);
	dff_slots_set_instances (slots, instances, 3);
	dff_slots_set_grants (slots, 5, grants, 3, 0, EXPIRES_MS);
	return slots;
}

static const char *
take (struct dff_slots *slots, int64_t now_ms)
{
	static struct dff_slot slot;
	switch (dff_slots_acquire (slots, now_ms, &slot)) {
	case DFF_SLOT_ACQUIRED:
		return slot.worker.data;
	case DFF_SLOT_BUSY:
		return "busy";
	case DFF_SLOT_NO_GRANT:
	default:
		return "no grant";
	}
}

static void
test_same_data_centre_is_preferred (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	for (int i = 0; i < 4; i++)
		assert_string_not_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "busy");
	assert_int_equal (dff_slots_in_use (slots), 6);
	struct dff_name w2 = dff_name_from ("w2");
	dff_slots_release (slots, &w2);
	assert_string_equal (take (slots, 0), "w2");
}

static void
test_less_loaded_of_two (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	g_autofree char *first = g_strdup (take (slots, 0));
	assert_string_not_equal (take (slots, 0), first);
}

/* Guards against using a slot that the holder has granted to another process since. The holder dies
 * or is cut off, so its grants are not renewed; they have to expire. */
static void
test_grants_expire (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	assert_string_not_equal (take (slots, EXPIRES_MS - 1), "no grant");
	assert_string_equal (take (slots, EXPIRES_MS), "no grant");
	assert_int_equal (dff_slots_granted (slots, EXPIRES_MS), 0);
}

/* Guards against giving a worker more requests than it has slots. A holder is paused, another one
 * takes over and sends grants, then the first one resumes and sends its own. The older epoch has to
 * be ignored. */
static void
test_grants_of_an_older_epoch_are_ignored (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	struct dff_grant old[] = {grant ("w1", 8)};
	dff_slots_set_grants (slots, 4, old, 1, 0, INT64_C (10) * EXPIRES_MS);
	assert_int_equal (dff_slots_granted (slots, 0), 6);
	dff_slots_set_grants (slots, 6, old, 1, 0, EXPIRES_MS);
	assert_int_equal (dff_slots_granted (slots, 0), 8);
}

/* Guards against sending requests to a worker that is shutting down and fails them. The worker
 * reports that it is leaving, while the instance list lags and still lists it as live. Either
 * signal has to be enough. */
static void
test_leaving_by_list_or_report (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	struct dff_name w1 = dff_name_from ("w1");
	struct dff_instance listed[] = {worker ("w1", "a", false), worker ("w2", "a", true),
					worker ("w3", "b", false)};
	dff_slots_handle_worker_leaving (slots, &w1, 0);
	dff_slots_set_instances (slots, listed, 3);
	for (int i = 0; i < 2; i++)
		assert_string_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "busy");
	dff_slots_set_instances (slots, listed + 1, 1);
	assert_string_equal (take (slots, 0), "no grant");
	dff_slots_set_instances (slots, listed, 1);
	assert_string_equal (take (slots, 0), "w1");
}

/* Guards against never using a restarted worker again. It reports that it is leaving, stops, and
 * starts again under the same id before the instance list drops it; the holder is notified and
 * grants its slots again. If the report held for as long as the worker is listed, all entry
 * processes would have to be restarted. */
static void
test_restarted_worker_is_used_again (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	struct dff_name w1 = dff_name_from ("w1");
	struct dff_instance listed[] = {worker ("w1", "a", false)};
	struct dff_grant grants[] = {grant ("w1", 2)};
	int64_t reported_ms = 100;
	int64_t holddown_end_ms = reported_ms + DFF_SLOTS_LEAVING_HOLDDOWN_MS;
	dff_slots_handle_worker_leaving (slots, &w1, reported_ms);
	dff_slots_set_instances (slots, listed, 1);
	/* Sent before the holder has a report that the worker is leaving. */
	dff_slots_set_grants (slots, 5, grants, 1, holddown_end_ms - 1,
			      holddown_end_ms + EXPIRES_MS);
	assert_string_equal (take (slots, holddown_end_ms - 1), "no grant");
	dff_slots_set_grants (slots, 5, NULL, 0, holddown_end_ms, holddown_end_ms + EXPIRES_MS);
	assert_string_equal (take (slots, holddown_end_ms), "no grant");
	dff_slots_set_grants (slots, 5, grants, 1, holddown_end_ms, holddown_end_ms + EXPIRES_MS);
	assert_string_equal (take (slots, holddown_end_ms), "w1");
}

static void
test_avoided_worker_is_last_choice (void **state)
{
	(void)state;
	DFF_AUTO (dff_slots) slots = three_workers ();
	struct dff_name w1 = dff_name_from ("w1");
	dff_slots_avoid (slots, &w1, 100);
	assert_string_equal (take (slots, 0), "w2");
	assert_string_equal (take (slots, 0), "w2");
	assert_string_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "w3");
	assert_string_equal (take (slots, 0), "w1");
}

static void
test_retry_budget_is_a_share_of_successes (void **state)
{
	(void)state;
	struct dff_retry_budget budget;
	dff_retry_budget_init (&budget);
	while (dff_retry_budget_withdraw (&budget)) {
	}
	for (int i = 0; i < 9; i++)
		dff_retry_budget_deposit (&budget);
	assert_false (dff_retry_budget_withdraw (&budget));
	dff_retry_budget_deposit (&budget);
	assert_true (dff_retry_budget_withdraw (&budget));
	assert_false (dff_retry_budget_withdraw (&budget));
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_same_data_centre_is_preferred),
		cmocka_unit_test (test_less_loaded_of_two),
		cmocka_unit_test (test_grants_expire),
		cmocka_unit_test (test_grants_of_an_older_epoch_are_ignored),
		cmocka_unit_test (test_leaving_by_list_or_report),
		cmocka_unit_test (test_restarted_worker_is_used_again),
		cmocka_unit_test (test_avoided_worker_is_last_choice),
		cmocka_unit_test (test_retry_budget_is_a_share_of_successes),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
