#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "common/json_locate.h"
#include "pool/pool.h"

#define ALPHA_DIGEST "sha256:48d40cd93e9b8aec3d8c3d26e1fbd58d2c5d2dab9a4ac8ef7fd8a82d9e2eaa1f"

#define RACK(name, region, workers, accelerators)                                                  \
	"{\"name\":\"" name "\",\"data_centre\":\"dc-" region "\",\"region\":\"" region            \
	"\",\"workers\":" #workers                                                                 \
	",\"slots\":8,\"cores\":32,\"memory_gb\":64,\"accelerators\":" #accelerators "}"
#define TEAM(name, guarantees) "{\"name\":\"" name "\",\"guarantees\":[" guarantees "]}"
#define SHAPE(gangs, accelerators) "{\"gangs\":" #gangs ",\"accelerators\":" #accelerators "}"
#define SHAPE_IN(gangs, accelerators, region)                                                      \
	"{\"gangs\":" #gangs ",\"accelerators\":" #accelerators ",\"region\":\"" region "\"}"
#define POOL(racks, teams) "{\"racks\":[" racks "],\"teams\":[" teams "]}"

struct parse_case {
	const char *text;
	/** Text that the first error has to contain; NULL: the file is valid. */
	const char *error;
	enum dff_pool_error code;
};

static void
check_parse_case (const struct parse_case *c)
{
	g_autoptr (GError) error = NULL;
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	DFF_AUTO (dff_pool)
	pool = dff_pool_parse (dff_str_from (c->text), "pool.json", errors, &error);
	if (c->error == NULL) {
		if (error != NULL)
			fail_msg ("%s\n%s", c->text, error->message);
		assert_non_null (pool);
		return;
	}
	assert_null (pool);
	assert_non_null (error);
	if (strstr (error->message, c->error) == NULL)
		fail_msg ("%s\nexpected %s, got %s", c->text, c->error, error->message);
	assert_int_equal (error->code, c->code);
	assert_string_equal (error->message, g_ptr_array_index (errors, 0));
}

static void
test_fields (void **state)
{
	(void)state;
	static const struct parse_case cases[] = {
		{POOL (RACK ("r1", "a", 2, 8), ""), NULL, 0},
		{"", "pool.json:1: file: expected JSON", DFF_POOL_ERROR_SYNTAX},
		{"{\n\"racks\": [\n}", "pool.json:3: file: ", DFF_POOL_ERROR_SYNTAX},
		{"{\"racks\":[],\"racks\":[]}", "duplicate", DFF_POOL_ERROR_SYNTAX},
		{"[]", "pool.json:1: file: expected an object", DFF_POOL_ERROR_FIELD},
		{"{\"teams\":[]}", "racks: expected an array, missing", DFF_POOL_ERROR_FIELD},
		{"{\"racks\":[],\"teams\":{}}", "teams: expected an array", DFF_POOL_ERROR_FIELD},
		{"{\"racks\":[],\n\"teams\":[],\n\"rakcs\":[]}", "pool.json:3: rakcs: unknown key",
		 DFF_POOL_ERROR_FIELD},
		{"{\"racks\":[],\"teams\":[],\"a\\u001b\":1}", "a\\033: unknown",
		 DFF_POOL_ERROR_FIELD},
		{"{\"preset\":\"fast\",\"racks\":[],\"teams\":[]}",
		 "preset: ", DFF_POOL_ERROR_FIELD},
		{"{\"preset\":\"completion\",\"weights\":{\"completion\":1,\"fragmentation\":0},"
		 "\"racks\":[],\"teams\":[]}",
		 "weights: expected either", DFF_POOL_ERROR_FIELD},
		{"{\"weights\":{\"completion\":1.5,\"fragmentation\":0},\"racks\":[],\"teams\":[]}",
		 "weights.completion: expected a number from 0 to 1", DFF_POOL_ERROR_FIELD},
		{"{\"weights\":{\"completion\":1},\"racks\":[],\"teams\":[]}",
		 "weights.fragmentation: ", DFF_POOL_ERROR_FIELD},
		{POOL ("7", ""), "racks[0]: expected an object", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r/1", "a", 2, 8), ""), "racks[0].name: ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "region-of-17-byte", 2, 8), ""),
		 "racks[0].region: expected a name of 1 to 16 ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 0, 8), ""), "racks[0].workers: ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", "w", 8), ""), "racks[0].workers: ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 65), ""),
		 "racks[0].accelerators: expected a whole number from 0 to 64",
		 DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 1.5), ""),
		 "racks[0].accelerators: ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 99999999999), ""),
		 "racks[0].accelerators: ", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r12345678901234567890123456789012345678901234567890123456789x", "a",
			     2, 8),
		       ""),
		 "racks[0].workers: expected a rack name short enough", DFF_POOL_ERROR_FIELD},
		{POOL ("", "{\"name\":\"a\",\"max_queued\":0}"),
		 "teams[0].max_queued: ", DFF_POOL_ERROR_FIELD},
		{POOL ("", "{\"name\":\"a\",\"token_digests\":[\"sha256:12\"]}"),
		 "teams[0].token_digests[0]: expected \"sha256:\" and 64", DFF_POOL_ERROR_FIELD},
		{POOL ("", TEAM ("a", SHAPE (0, 4))),
		 "teams[0].guarantees[0].gangs: ", DFF_POOL_ERROR_FIELD},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		check_parse_case (&cases[i]);
}

static void
test_references (void **state)
{
	(void)state;
	static const struct parse_case cases[] = {
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r1", "a", ["x"], 8), ""),
		 "racks[1].name: expected a name used once", DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r2", "a", ["r1-w2"], 8), ""),
		 "racks[1].workers[0]: expected a worker name used once", DFF_POOL_ERROR_FIELD},
		{POOL ("{\"name\":\"r1\",\"data_centre\":\"d\",\"region\":\"a\",\"workers\":1,"
		       "\"slots\":1,\"cores\":1,\"memory_gb\":1,\"accelerators\":0},"
		       "{\"name\":\"r2\",\"data_centre\":\"d\",\"region\":\"b\",\"workers\":1,"
		       "\"slots\":1,\"cores\":1,\"memory_gb\":1,\"accelerators\":0}",
		       ""),
		 "racks[1].region: expected the region of the data centre", DFF_POOL_ERROR_FIELD},
		{POOL ("", TEAM ("a", "") "," TEAM ("a", "")),
		 "teams[1].name: ", DFF_POOL_ERROR_FIELD},
		{"{\"racks\":[],\"teams\":[],\"services\":[{\"name\":\"s\",\"teams\":[\"x\"]}]}",
		 "services[0].teams[0]: expected the name of a team", DFF_POOL_ERROR_FIELD},
		{"{\"racks\":[],\"teams\":[{\"name\":\"a\",\"token_digests\":[\"" ALPHA_DIGEST
		 "\"]}],\"operators\":[{\"name\":\"o\",\"token_digests\":[\"" ALPHA_DIGEST "\"]}]}",
		 "operators[0].token_digests: expected a token digest used once",
		 DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 8), TEAM ("t", SHAPE_IN (1, 4, "b"))),
		 "teams[0].guarantees[0].region: expected the region of a rack",
		 DFF_POOL_ERROR_FIELD},
		{POOL (RACK ("r1", "a", 2, 8),
		       "{\"name\":\"t\",\"quota_accelerators\":4,\"guarantees\":[" SHAPE (1,
											  8) "]}"),
		 "teams[0].quota_accelerators: ", DFF_POOL_ERROR_FIELD},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		check_parse_case (&cases[i]);
}

#define TWO_RACKS RACK ("r1", "a", 2, 8) "," RACK ("r2", "a", 2, 8)

static void
test_packing (void **state)
{
	(void)state;
	static const struct parse_case cases[] = {
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (2, 16))), NULL, 0},
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (3, 16))),
		 "teams[0].guarantees[0]: expected all guaranteed shapes to fit the racks at once; "
		 "team t: 3 gangs of 16",
		 DFF_POOL_ERROR_DOES_NOT_FIT},
		/* 30 of 32 accelerators are needed, but no rack holds two shapes of 10. */
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 4)) "," TEAM ("u", SHAPE (3, 10))),
		 "team u: 3 gangs of 10", DFF_POOL_ERROR_DOES_NOT_FIT},
		/* The shape takes both racks whole. */
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 32))), NULL, 0},
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 33))), "1 gangs of 33",
		 DFF_POOL_ERROR_DOES_NOT_FIT},
		/* Other shapes may use what is left in the last of several racks. */
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 24)) "," TEAM ("u", SHAPE (1, 8))), NULL, 0},
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 24)) "," TEAM ("u", SHAPE (1, 9))), "team u",
		 DFF_POOL_ERROR_DOES_NOT_FIT},
		/* No shape spans two regions. */
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r2", "b", 2, 8),
		       TEAM ("t", SHAPE (1, 17))),
		 "1 gangs of 17", DFF_POOL_ERROR_DOES_NOT_FIT},
		/* Neighbours are those of one region, in the order of the file. */
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r2", "b", 2, 8) "," RACK ("r3", "a", 2, 8),
		       TEAM ("t", SHAPE (1, 32))),
		 NULL, 0},
		/* The gangs of one guarantee share a region. */
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r2", "b", 2, 8),
		       TEAM ("t", SHAPE (2, 16))),
		 "2 gangs of 16", DFF_POOL_ERROR_DOES_NOT_FIT},
		/* Bound to a region, the small shape leaves the other region to the other shape. */
		{POOL (RACK ("r1", "a", 2, 8) "," RACK ("r2", "b", 2, 8),
		       TEAM ("t", SHAPE (1, 12)) "," TEAM ("u", SHAPE_IN (1, 12, "a"))),
		 NULL, 0},
		/* The tightest fit alone puts 4 with 4 and leaves no rack for the last 3. */
		{POOL (RACK ("r1", "a", 2, 5) "," RACK ("r2", "a", 2, 5),
		       TEAM ("t", SHAPE (2, 4) "," SHAPE (4, 3))),
		 NULL, 0},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		check_parse_case (&cases[i]);
}

/* Every error is reported, each with the line of its entry. */
static void
test_every_error_with_its_line (void **state)
{
	(void)state;
	static const char text[] =
		"{\n"
		" \"racks\": [\n"
		"  {\"name\": \"r1\", \"data_centre\": \"d\", \"region\": \"a\",\n"
		"   \"workers\": [\"w{1\", \"w2\"],\n"
		"   \"slots\": 0, \"cores\": 1, \"memory_gb\": 1,\n"
		"   \"accelerators\": 8}\n"
		" ],\n"
		" \"teams\": [\n"
		"  {\"name\": \"a\"},\n"
		"  {\"name\": \"b\",\n"
		"   \"guarantees\": [{\"gangs\": 1}]}\n"
		" ]\n"
		"}\n";
	static const char *const expected[] = {
		"p:4: racks[0].workers[0]: ",
		"p:5: racks[0].slots: ",
		"p:11: teams[1].guarantees[0].accelerators: ",
	};
	g_autoptr (GPtrArray) errors = g_ptr_array_new_with_free_func (g_free);
	DFF_AUTO (dff_pool) pool = dff_pool_parse (dff_str_from (text), "p", errors, NULL);
	assert_null (pool);
	assert_int_equal (errors->len, G_N_ELEMENTS (expected));
	for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
		assert_true (g_str_has_prefix (g_ptr_array_index (errors, i), expected[i]));
}

/* Text cut at any position is rejected, and nothing is read past its end (run under ASan). */
static void
test_truncated_text (void **state)
{
	(void)state;
	static const char text[] = POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 16)));
	for (size_t len = 0; len < sizeof (text) - 1; len++) {
		g_autofree char *copy = g_memdup2 (text, len);
		struct dff_str cut = {copy, len};
		DFF_AUTO (dff_pool) pool = dff_pool_parse (cut, "p", NULL, NULL);
		assert_null (pool);
		assert_true (dff_json_locate (cut, "teams[0].guarantees[0].gangs") >= 1);
	}
}

static void
test_authenticate (void **state)
{
	(void)state;
	g_autofree char *alpha = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "alpha", -1);
	g_autofree char *root = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "root", -1);
	g_autofree char *text = g_strdup_printf (
		"{\"racks\":[],\"teams\":[{\"name\":\"t\",\"token_digests\":[\"sha256:%s\"]}],"
		"\"operators\":[{\"name\":\"o\",\"token_digests\":[\"sha256:%s\"]}]}",
		alpha, root);
	DFF_AUTO (dff_pool) pool = dff_pool_parse (dff_str_from (text), "p", NULL, NULL);
	assert_non_null (pool);
	struct dff_principal team = dff_pool_authenticate (pool, dff_str_from ("alpha"));
	assert_true (team.known && !team.is_operator);
	assert_string_equal (team.name.data, "t");
	struct dff_principal root_principal = dff_pool_authenticate (pool, dff_str_from ("root"));
	assert_true (root_principal.known && root_principal.is_operator);
	assert_false (dff_pool_authenticate (pool, dff_str_from ("alph")).known);
	assert_false (dff_pool_authenticate (pool, dff_str_from ("")).known);
}

/* Guards against a copy that shares a table with the original: the core of a cell would read freed
 * memory after a pool file is replaced. */
static void
test_copy_outlives_original (void **state)
{
	(void)state;
	static const char text[] = POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 12)));
	struct dff_pool *pool = dff_pool_parse (dff_str_from (text), "p", NULL, NULL);
	assert_non_null (pool);
	pool->generation = 7;
	struct dff_pool *copy = dff_pool_copy (pool);
	dff_pool_free (pool);
	const struct dff_rack *rack = &g_array_index (copy->racks, struct dff_rack, 1);
	struct dff_name name = dff_name_from ("t");
	assert_int_equal (copy->generation, 7);
	assert_int_equal (copy->racks->len, 2);
	assert_true (rack->workers->len > 0);
	assert_non_null (dff_pool_find_team (copy, &name));
	assert_int_equal (dff_pool_largest_rack_shape (copy), 12);
	dff_pool_free (copy);
}

static void
test_largest_rack_shape (void **state)
{
	(void)state;
	static const struct {
		const char *text;
		int32_t accelerators;
	} cases[] = {
		{POOL (TWO_RACKS, ""), 8},
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 4) "," SHAPE (1, 12))), 12},
		{POOL (TWO_RACKS, TEAM ("t", SHAPE (1, 4) "," SHAPE (1, 20))), 4},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		DFF_AUTO (dff_pool)
		pool = dff_pool_parse (dff_str_from (cases[i].text), "p", NULL, NULL);
		assert_non_null (pool);
		assert_int_equal (dff_pool_largest_rack_shape (pool), cases[i].accelerators);
	}
}

struct slots_case {
	const char *services;
	int32_t granted;
	int32_t dedicated;
};

static void
test_request_slots (void **state)
{
	(void)state;
	static const struct slots_case cases[] = {
		{"", 0, 0},
		{"{\"name\":\"a\"}", 1, 0},
		{"{\"name\":\"a\"},{\"name\":\"b\",\"request_slots\":2}", 3, 2},
		{"{\"name\":\"a\",\"request_slots\":0}", 0, 0},
		{"{\"name\":\"a\",\"request_slots\":1024}", 4, 4},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		g_autofree char *text = g_strdup_printf (
			"{\"racks\":[" RACK ("r1", "x", 1, 8) "],\"teams\":[],\"services\":[%s],"
							      "\"operators\":[]}",
			cases[i].services);
		g_autoptr (GError) error = NULL;
		DFF_AUTO (dff_pool)
		pool = dff_pool_parse (dff_str_from (text), "pool", NULL, &error);
		assert_non_null (pool);
		const struct dff_rack *rack = &g_array_index (pool->racks, struct dff_rack, 0);
		assert_int_equal (dff_pool_request_slots (pool, rack), cases[i].granted);
		assert_int_equal (dff_pool_dedicated_slots (pool, rack), cases[i].dedicated);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_request_slots),
		cmocka_unit_test (test_fields),
		cmocka_unit_test (test_references),
		cmocka_unit_test (test_packing),
		cmocka_unit_test (test_every_error_with_its_line),
		cmocka_unit_test (test_truncated_text),
		cmocka_unit_test (test_authenticate),
		cmocka_unit_test (test_copy_outlives_original),
		cmocka_unit_test (test_largest_rack_shape),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
