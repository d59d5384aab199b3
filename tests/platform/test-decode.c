#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "graph/progress.h"
#include "platform/decode.h"

/* Decodes message bodies and rows as the platform's documentation shows them. */

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-3a\",\"host\":\"nony24.example\",\"path_prefix\":"
	"\"/pule252/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":3000,"
	"\"priority\":2,\"service\":\"huvo11a\",\"max_attempts\":2,\"stretch\":3.0,\"public\":"
	"false},"
	"{\"name\":\"r-ce\",\"host\":\"nony24.example\",\"path_prefix\":\"/pule252/deep/\","
	"\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":4,\"public\":true,"
	"\"recommendation\":{\"decide_ms\":5}}],\"services\":[{\"name\":\"huvo11a\",\"rejects_"
	"overload\":"
	"true},{\"name\":\"huvo11b\",\"rejects_overload\":false},{\"name\":\"huvo11c\"}],"
	"\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"d4a3\",\"3hh2\"],\"priority\":1,"
	"\"guaranteed\":{\"gpu\":72}}]}";

#define LIMITS(members) "{\"version\":1,\"limits\":{" members "}}"

/** A row of the list of workers. */
#define UPSTREAM(state, address, capacity)                                                         \
	"{\"service\":\"s\",\"address\":" address ",\"state\":" state ",\"capacity\":" capacity    \
	",\"labels\":[\"a\",\"r1-3\"]}"

static void
test_config (void **state)
{
	(void)state;
	DFF_AUTO (dff_fleet_config) config = dff_platform_read_config (dff_str_from (config_text));
	assert_int_equal (config->version, 7);
	assert_int_equal (config->unenforced->len, 2);
	assert_string_equal (g_array_index (config->unenforced, struct dff_name, 0).data,
			     "huvo11b");
	assert_string_equal (g_array_index (config->unenforced, struct dff_name, 1).data,
			     "huvo11c");
	static const struct {
		const char *host;
		const char *path;
		const char *name;
	} cases[] = {
		{"nony24.example", "/pule252/x", "r-3a"},
		{"nony24.example", "/pule252/deep/x", "r-ce"},
		{"nony24.example", "/pule25", NULL},
		{"other.example", "/pule252/x", NULL},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		const struct dff_fleet_class *found = dff_fleet_config_find_class (
			config, dff_str_from (cases[i].host), dff_str_from (cases[i].path));
		assert_int_equal (found != NULL, cases[i].name != NULL);
		if (found != NULL)
			assert_string_equal (found->name.data, cases[i].name);
	}
	const struct dff_fleet_class *open = dff_fleet_config_find_class (
		config, dff_str_from ("nony24.example"), dff_str_from ("/pule252/deep/"));
	assert_true (open->anonymous);
	assert_true (open->needs_recommendation);
	assert_int_equal (open->max_attempts, 4);
	assert_float_equal (open->stretch, 0.0, 0.0);
	const struct dff_fleet_class *bulk = dff_fleet_config_find_class (
		config, dff_str_from ("nony24.example"), dff_str_from ("/pule252/"));
	assert_float_equal (bulk->stretch, 3.0, 0.0);
	assert_int_equal (bulk->target_latency_ms, 3000);
	const struct dff_fleet_team *team =
		dff_fleet_config_find_team (config, dff_str_from ("3hh2"));
	assert_string_equal (team->name.data, "kaje80");
	assert_int_equal (team->assured_accelerators, 72);
	assert_null (dff_fleet_config_find_team (config, dff_str_from ("3hh")));
	assert_null (dff_fleet_config_find_team (config, dff_str_from ("")));
	assert_null (dff_platform_read_config (dff_str_from ("[]")));
	assert_null (dff_platform_read_config (dff_str_from ("{")));
}

/* Members that are missing or no positive numbers are not given. */
static void
test_caller_limits (void **state)
{
	(void)state;
	static const struct {
		const char *text;
		struct dff_fleet_caller_limits limits;
	} cases[] = {
		{LIMITS ("\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
			 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000"),
		 {16384, 262144, 3000, 15000}},
		{LIMITS ("\"max_body_bytes\":1024"), {0, 1024, 0, 0}},
		{LIMITS ("\"max_body_bytes\":-1,\"idle_timeout_ms\":\"15000\""), {0, 0, 0, 0}},
		{"{\"version\":1}", {0, 0, 0, 0}},
		{"{\"version\":1,\"limits\":7}", {0, 0, 0, 0}},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_fleet_config)
		config = dff_platform_read_config (dff_str_from (cases[i].text));
		assert_memory_equal (&config->caller_limits, &cases[i].limits,
				     sizeof (cases[i].limits));
	}
}

static void
test_upstream (void **state)
{
	(void)state;
	static const struct {
		const char *state;
		bool leaving;
		int64_t remaining_ms;
		int64_t started_ms;
	} cases[] = {
		{"\"ready\"", false, -1, DFF_START_UNREPORTED},
		{"\"draining\",\"remaining_ms\":1800", true, 1800, DFF_START_UNREPORTED},
		{"\"ready\",\"born\":1790000000123", false, -1, 1790000000123},
		{"\"ready\",\"born\":\"today\"", false, -1, DFF_START_UNREADABLE},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autofree char *text = g_strdup_printf (
			"{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
			"\"version\":\"v1\",\"slots\":8,\"state\":%s,\"capacity\":{\"cpu\":16900,"
			"\"mem_mb\":32768,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}",
			cases[i].state);
		struct dff_row row = {.key = dff_str_from ("i-7f3a91c2"),
				      .value = dff_str_from (text)};
		struct dff_upstream upstream;
		assert_true (dff_platform_read_upstream (&row, &upstream));
		assert_string_equal (upstream.incarnation.id.data, "i-7f3a91c2");
		assert_string_equal (upstream.address.data, "10.128.0.9:8080");
		assert_string_equal (upstream.rack.data, "r1-3");
		assert_string_equal (upstream.labels[0].data, "a");
		/* Rounded down: a fraction of a core or GiB cannot be allocated. */
		assert_int_equal (upstream.capacity.cores, 16);
		assert_int_equal (upstream.capacity.memory_gb, 32);
		assert_int_equal (upstream.capacity.accelerators, 8);
		assert_int_equal (upstream.leaving, cases[i].leaving);
		assert_int_equal (upstream.remaining_ms, cases[i].remaining_ms);
		assert_int_equal (upstream.incarnation.started_ms, cases[i].started_ms);
	}
}

/* Guards against sending tasks to an address that is no usable worker: another program, or a newer
 * version, writes an entry with an unknown state or unknown fields, and defaults are assumed for
 * what cannot be decoded. */
static void
test_invalid_upstream_entries (void **state)
{
	(void)state;
	static const struct {
		const char *key;
		const char *value;
		bool accepted;
	} cases[] = {
		{"i-1",
		 UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 true},
		{"i-1",
		 UPSTREAM ("\"frozen\"", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", UPSTREAM ("null", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", UPSTREAM ("7", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", UPSTREAM ("\"ready\"", "\"nowhere\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1",
		 UPSTREAM ("\"ready\"", "\"10.1.0.9:0\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", UPSTREAM ("\"ready\"", "[]", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"), false},
		{"i-1", UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1}"),
		 false},
		{"i-1",
		 UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":-1}"),
		 false},
		{"i-1",
		 UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"",
			   "{\"cpu\":\"1\",\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"", "8"), false},
		{"i 1",
		 UPSTREAM ("\"ready\"", "\"10.1.0.9:80\"", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":1}"),
		 false},
		{"i-1", "{}", false},
		{"i-1", "[]", false},
		{"i-1", "null", false},
		{"i-1", "", false},
		{"i-1", "{\"state\":\"ready\"", false},
		{"i-1", "\xff\xfe", false},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_row row = {.key = dff_str_from (cases[i].key),
				      .value = dff_str_from (cases[i].value)};
		struct dff_upstream upstream;
		assert_int_equal (dff_platform_read_upstream (&row, &upstream), cases[i].accepted);
	}
}

/** A valid body of each kind. */
static const char *const valid_bodies[] = {
	UPSTREAM ("\"draining\",\"remaining_ms\":1800",
		  "\"10.1.0.9:80\"",
		  "{\"cpu\":16900,\"mem_mb\":32768,\"gpu\":8}"),
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/\","
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":3,\"public\":false}],"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":8}}]}",
	"{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"gpu\":1,"
	"\"estimate_ms\":900,\"affinity\":\"r1\"},{\"count\":2,\"gang\":true,\"after\":[0]}],"
	"\"repeat_count\":3,\"first_ms\":1790000000000,\"interval_ms\":2000}",
};

/* Checks that an accepted plan holds no amounts for which the sums in the core could overflow. */
static void
check_plan (const struct dff_plan *plan)
{
	for (guint i = 0; i < plan->steps->len; i++) {
		const struct dff_step *step = dff_plan_step (plan, (int32_t)i);
		assert_in_range (step->count, 1, DFF_STEP_TASKS_MAX);
		assert_in_range (step->per_task.accelerators, 0, 1000000);
		assert_in_range (step->per_task.cores, 0, 1000000);
		assert_in_range (step->per_task.memory_gb, 0, 1000000);
	}
}

static void
decode_all (struct dff_str text)
{
	const char *fault;
	struct dff_upstream upstream;
	struct dff_row row = {.key = dff_str_from ("i-1"), .value = text};
	if (dff_platform_read_upstream (&row, &upstream))
		assert_true (upstream.capacity.accelerators >= 0 && upstream.capacity.cores >= 0);
	DFF_AUTO (dff_fleet_config) config = dff_platform_read_config (text);
	DFF_AUTO (dff_plan) plan = dff_platform_read_job (text, &fault);
	if (plan == NULL)
		return;
	check_plan (plan);
	/* Every process that ingests the job decodes the stored plan again. */
	plan->id = dff_name_from ("job");
	g_autoptr (GString) encoded = dff_plan_encode (plan);
	DFF_AUTO (dff_plan)
	decoded = dff_plan_decode ((struct dff_str){encoded->str, encoded->len});
	assert_non_null (decoded);
	DFF_AUTO (dff_progress) progress = dff_progress_decode (decoded, text);
}

/* Replacements for a value: other types, huge and negative numbers, deep nesting, a name with NUL,
 * a duplicate key. */
static const char *const replacements[] = {
	"null",
	"true",
	"\"\"",
	"\"x\"",
	"-1",
	"0",
	"9223372036854775807",
	"-9223372036854775808",
	"1e300",
	"[]",
	"{}",
	"[[[[[[[[[[]]]]]]]]]]",
	"\"a\\u0000b\"",
	"1,\"count\":2",
	"2147483648",
};

/* Guards against a crash, or the acceptance of invalid amounts, on bodies that are truncated, have
 * changed bytes, or have values of other types and sizes. Seeded. */
static void
test_fuzzed_bodies (void **state)
{
	(void)state;
	g_autoptr (GRand) rand = g_rand_new_with_seed (20261203);
	for (int i = 0; i < 6000; i++) {
		const char *valid = valid_bodies[i % (int)G_N_ELEMENTS (valid_bodies)];
		g_autoptr (GString) body = g_string_new (valid);
		int kind = g_rand_int_range (rand, 0, 3);
		guint at = (guint)g_rand_int_range (rand, 0, (gint32)body->len);
		if (kind == 0)
			g_string_truncate (body, at);
		if (kind == 1)
			body->str[at] = (char)g_rand_int (rand);
		const char *colon = strchr (body->str + (kind == 2 ? at : body->len), ':');
		if (colon != NULL) {
			gssize begin = colon + 1 - body->str;
			gssize length = (gssize)strcspn (colon + 1, ",}]");
			int which = g_rand_int_range (rand, 0, G_N_ELEMENTS (replacements));
			g_string_erase (body, begin, length);
			g_string_insert (body, begin, replacements[which]);
		}
		decode_all ((struct dff_str){body->str, body->len});
	}
}

static void
test_job (void **state)
{
	(void)state;
	static const char text[] =
		"{\"spec\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
		"\"estimate_ms\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2001,\"mem_mb\":"
		"1025,"
		"\"gpu\":2,\"estimate_ms\":7000,\"after\":[0],\"checkpointing\":true,\"gang\":true,"
		"\"rack_sensitive\":true,\"requirements\":\"a\",\"anti_affinity\":3}],"
		"\"repeat_count\":3,\"first_ms\":1790000000000,\"interval_ms\":2000}";
	const char *fault;
	DFF_AUTO (dff_plan) plan = dff_platform_read_job (dff_str_from (text), &fault);
	assert_non_null (plan);
	assert_string_equal (plan->payload->str, "(text)");
	assert_true (plan->timed);
	assert_int_equal (plan->occurrences, 3);
	const struct dff_step *first = dff_plan_step (plan, 0);
	assert_int_equal (first->per_task.cores, 1);
	assert_string_equal (first->data_rack.data, "r1-3");
	const struct dff_step *second = dff_plan_step (plan, 1);
	/* Rounded up: a task gets no less than it requests. */
	assert_int_equal (second->per_task.cores, 3);
	assert_int_equal (second->per_task.memory_gb, 2);
	assert_int_equal (second->per_task.accelerators, 2);
	assert_true (second->gang && second->one_rack && second->checkpoint);
	assert_int_equal (second->per_worker, 3);
	assert_string_equal (second->label.data, "a");
	assert_int_equal (g_array_index (second->after, int32_t, 0), 0);
	static const char *const refused[] = {
		"",
		"[]",
		"{\"spec\":\"x\"}",
		"{\"spec\":\"x\",\"steps\":[]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":257,\"gang\":true}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":-500}]}",
		"{\"steps\":[{\"count\":1,\"gpu\":-8}]}",
		"{\"steps\":[{\"count\":1,\"estimate_ms\":-1}]}",
		"{\"steps\":[{}],\"repeat_count\":2,\"interval_ms\":9223372036854775807}",
	};
	for (size_t i = 0; i < G_N_ELEMENTS (refused); i++) {
		assert_null (dff_platform_read_job (dff_str_from (refused[i]), &fault));
		assert_non_null (fault);
	}
}

static void
test_evacuations (void **state)
{
	(void)state;
	/* Longer than DFF_NAME_MAX. */
	g_autofree char *too_long = g_strnfill (300, 'x');
	g_autofree char *too_long_key = g_strconcat ("evacuate/", too_long, NULL);
	const struct {
		const char *key;
		const char *value;
		enum dff_platform_request request;
		const char *data_centre;
	} cases[] = {
		{"evacuate/zvolen-hala", "{}", DFF_PLATFORM_REQUEST_EVACUATION, "zvolen-hala"},
		/* The value does not matter; a removed row has none. */
		{"evacuate/a", "{\"wave\":1}", DFF_PLATFORM_REQUEST_EVACUATION, "a"},
		{"evacuate/a", "\xff", DFF_PLATFORM_REQUEST_EVACUATION, "a"},
		{"evacuate/a", "", DFF_PLATFORM_REQUEST_EVACUATION, "a"},
		{"evacuate/", "{}", DFF_PLATFORM_REQUEST_UNREADABLE, NULL},
		{too_long_key, "{}", DFF_PLATFORM_REQUEST_UNREADABLE, NULL},
		{"evacuate", "{}", DFF_PLATFORM_REQUEST_OTHER, NULL},
		{"config", "{}", DFF_PLATFORM_REQUEST_OTHER, NULL},
		{"wave/1", "{}", DFF_PLATFORM_REQUEST_OTHER, NULL},
		{"", "", DFF_PLATFORM_REQUEST_OTHER, NULL},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct dff_row row = {.key = dff_str_from (cases[i].key),
				      .value = dff_str_from (cases[i].value)};
		struct dff_name data_centre;
		assert_int_equal (dff_platform_read_evacuation (&row, &data_centre),
				  cases[i].request);
		if (cases[i].data_centre != NULL)
			assert_string_equal (data_centre.data, cases[i].data_centre);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_config),
		cmocka_unit_test (test_caller_limits),
		cmocka_unit_test (test_upstream),
		cmocka_unit_test (test_invalid_upstream_entries),
		cmocka_unit_test (test_fuzzed_bodies),
		cmocka_unit_test (test_job),
		cmocka_unit_test (test_evacuations),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
