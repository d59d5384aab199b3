#include "compat.h"

#include <string.h>

#include "daemon/settings.h"
#include "fleet/settings.h"
#include "pool/pool.h"

/* Rows and messages of another build can be read: processes of two builds run at the same time
 * during an update, and rows outlive both. The records under tests/compat/data were written by the
 * encoders of an earlier build. They must not be regenerated when an encoder changes: a renamed key
 * or a changed number would then pass this test and lose rows in production. */

#define DATA "tests/compat/data/"

#define KEY_43 "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8"
#define DIGEST_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Returns: (transfer full): the bytes of a line. */
static GString *
record_bytes (const struct compat_case *compat, const char *line)
{
	GString *bytes = g_string_new (NULL);
	if (!compat->hex)
		return g_string_append (bytes, line);
	assert_int_equal (strlen (line) % 2, 0);
	for (const char *digits = line; *digits != '\0'; digits += 2) {
		assert_true (g_ascii_isxdigit (digits[0]) && g_ascii_isxdigit (digits[1]));
		g_string_append_c (bytes, (char)(g_ascii_xdigit_value (digits[0]) * 16 +
						 g_ascii_xdigit_value (digits[1])));
	}
	return bytes;
}

static void
check_file (const struct compat_case *compat)
{
	g_autofree char *path = g_strconcat (DATA, compat->file, NULL);
	g_autofree char *text = NULL;
	assert_true (g_file_get_contents (path, &text, NULL, NULL));
	g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
	/* The last line ends with a line feed as well. */
	assert_int_equal (g_strv_length (lines), compat->n_records + 1);
	assert_string_equal (lines[compat->n_records], "");
	for (size_t i = 0; i < compat->n_records; i++) {
		g_autoptr (GString) bytes = record_bytes (compat, lines[i]);
		g_autoptr (GString) encoded = compat->encode (i);
		print_message ("%s, line %zu\n", compat->file, i + 1);
		compat->check (i, (struct dff_str){bytes->str, bytes->len});
		compat->check (i, (struct dff_str){encoded->str, encoded->len});
		if (compat->varies)
			continue;
		assert_int_equal (encoded->len, bytes->len);
		assert_memory_equal (encoded->str, bytes->str, bytes->len);
	}
}

static void
test_jobs (void **state)
{
	(void)state;
	for (size_t i = 0; i < compat_n_jobs; i++)
		check_file (&compat_jobs[i]);
}

static void
test_messages (void **state)
{
	(void)state;
	for (size_t i = 0; i < compat_n_messages; i++)
		check_file (&compat_messages[i]);
}

static void
test_relays (void **state)
{
	(void)state;
	for (size_t i = 0; i < compat_n_relays; i++)
		check_file (&compat_relays[i]);
}

static void
test_rows (void **state)
{
	(void)state;
	for (size_t i = 0; i < compat_n_rows; i++)
		check_file (&compat_rows[i]);
}

/* Files that the earlier build accepts, with every key set to a value that is not its default. */
static void
test_settings (void **state)
{
	(void)state;
	g_autoptr (GError) error = NULL;
	DFF_AUTO (dff_settings) settings = dff_settings_load (DATA "settings.json", NULL, &error);
	assert_non_null (settings);
	check_name (&settings->instance, "entry-1");
	check_name (&settings->region, "north");
	check_name (&settings->data_centre, "dc1");
	check_name (&settings->listen, "127.0.0.1:7000");
	check_name (&settings->peer_listen, "127.0.0.1:7001");
	check_name (&settings->peer_public_key, KEY_43);
	check_name (&settings->peer_secret_key, KEY_43);
	check_name (&settings->table_address, "127.0.0.1:7002");
	check_name (&settings->object_store_address, "127.0.0.1:7003");
	check_name (&settings->instance_list_address, "127.0.0.1:7004");
	assert_string_equal (settings->tls_certificate->str, "/etc/dff/cert.pem");
	assert_string_equal (settings->tls_key->str, "/etc/dff/key.pem");
	assert_string_equal (settings->bootstrap_token_digest->str, "sha256:" DIGEST_64);
	assert_int_equal (settings->log_level, DFF_LOG_DEBUG);
	assert_string_equal (settings->trace_path->str, "/var/log/dff.spans");
	assert_int_equal (settings->max_connections, 101);
	assert_int_equal (settings->max_body_bytes, 2048);
	assert_int_equal (settings->request_timeout_ms, 103);
	assert_int_equal (settings->max_requests, 104);
	assert_int_equal (settings->upstream_connections, 105);
	assert_int_equal (settings->table_writes_per_s, 106);
	assert_int_equal (settings->tick_ms, 107);
	assert_int_equal (settings->cell_lease_ms, 4000);
	assert_int_equal (settings->cell_renew_ms, 800);
	assert_int_equal (settings->cell_margin_ms, 900);
	assert_int_equal (settings->task_lease_ms, 16000);
	assert_int_equal (settings->retention_s, 90000);
	assert_int_equal (settings->watch_interval_ms, 1100);
	assert_int_equal (settings->heartbeat_ms, 510);
	assert_int_equal (settings->suspect_ms, 2100);
	assert_int_equal (settings->dead_ms, 3100);
	assert_int_equal (settings->isolated_after_ms, 5100);
	assert_int_equal (settings->drain_grace_ms, 2200);
	assert_int_equal (settings->drain_timeout_ms, 60000);
}

static void
check_number (double number, double expected)
{
	assert_true (number == expected);
}

static void
test_fleet_settings (void **state)
{
	(void)state;
	g_autoptr (GError) error = NULL;
	g_autofree struct dff_fleet_settings *settings =
		dff_fleet_settings_load (DATA "fleet-settings.json", NULL, &error);
	assert_non_null (settings);
	check_name (&settings->instance, "node-1");
	check_name (&settings->data_centre, "dc1");
	check_name (&settings->region, "north");
	check_name (&settings->front_address, "127.0.0.1:7000");
	check_name (&settings->ready_address, "127.0.0.1:7001");
	check_name (&settings->metrics_address, "127.0.0.1:7002");
	check_name (&settings->relay_address, "127.0.0.1:7003");
	check_name (&settings->store_address, "127.0.0.1:7004");
	assert_int_equal (settings->worker_lease_max_ms, 8000);
	assert_int_equal (settings->config_bound_ms, 5000);
	assert_int_equal (settings->gang_wait_ms, 2000);
	check_number (settings->far_factor, 2.5);
	assert_int_equal (settings->retention_s, 3600);
	assert_int_equal (settings->stop_grace_s, 30);
	check_number (settings->processor_share, 0.5);
	check_number (settings->processor_speed, 1.25);
	check_number (settings->link_mbps, 1000);
	assert_int_equal (settings->log_level, DFF_LOG_WARNING);
}

static void
check_digests (const GArray *digests, uint8_t first)
{
	assert_int_equal (digests->len, 1);
	assert_int_equal (g_array_get_element_size ((GArray *)digests), 32);
	for (size_t i = 0; i < 32; i++)
		assert_int_equal (((const uint8_t *)(const void *)digests->data)[i], first + i);
}

static void
check_rack (const struct dff_rack *rack, const char *name, const char *const *workers)
{
	check_name (&rack->name, name);
	check_name (&rack->data_centre, "dc1");
	check_name (&rack->region, "north");
	assert_int_equal (rack->workers->len, g_strv_length ((char **)workers));
	for (guint i = 0; i < rack->workers->len; i++)
		check_name (&g_array_index (rack->workers, struct dff_name, i), workers[i]);
	assert_int_equal (rack->per_worker.slots, 7);
	assert_int_equal (rack->per_worker.cores, 32);
	assert_int_equal (rack->per_worker.memory_gb, 64);
	assert_int_equal (rack->per_worker.accelerators, 8);
}

static void
check_team (const struct dff_team *team)
{
	check_name (&team->name, "fleet");
	check_digests (team->token_digests, 0x20);
	assert_int_equal (team->guarantees->len, 1);
	const struct dff_guarantee *guarantee =
		&g_array_index (team->guarantees, struct dff_guarantee, 0);
	assert_int_equal (guarantee->gangs, 1);
	assert_int_equal (guarantee->accelerators, 16);
	check_name (&guarantee->region, "north");
	assert_int_equal (team->quota_accelerators, 24);
	assert_int_equal (team->max_queued, 500);
	assert_int_equal (team->weight, 3);
}

static void
check_services (const struct dff_pool *pool)
{
	assert_int_equal (pool->services->len, 2);
	const struct dff_service *drafting = &g_array_index (pool->services, struct dff_service, 0);
	check_name (&drafting->name, "drafting");
	assert_int_equal (drafting->teams->len, 1);
	check_name (&g_array_index (drafting->teams, struct dff_name, 0), "fleet");
	assert_int_equal (drafting->request_slots, 2);
	assert_true (drafting->dedicated_request_slots);
	assert_int_equal (drafting->request_timeout_ms, 9000);
	const struct dff_service *archive = &g_array_index (pool->services, struct dff_service, 1);
	check_name (&archive->name, "archive");
	assert_int_equal (archive->teams->len, 0);
	assert_false (archive->dedicated_request_slots);
}

static struct dff_pool *
load_pool (const char *path)
{
	g_autofree char *text = NULL;
	assert_true (g_file_get_contents (path, &text, NULL, NULL));
	g_autoptr (GError) error = NULL;
	struct dff_pool *pool = dff_pool_parse (dff_str_from (text), path, NULL, &error);
	assert_non_null (pool);
	return pool;
}

static void
test_pool (void **state)
{
	(void)state;
	DFF_AUTO (dff_pool) pool = load_pool (DATA "pool.json");
	check_number (pool->weights.completion, 0.75);
	check_number (pool->weights.fragmentation, 0.25);
	assert_int_equal (pool->racks->len, 2);
	check_rack (&g_array_index (pool->racks, struct dff_rack, 0), "r1",
		    (const char *const[]){"r1-w1", "r1-w2", NULL});
	check_rack (&g_array_index (pool->racks, struct dff_rack, 1), "r2",
		    (const char *const[]){"left", "right", NULL});
	assert_int_equal (pool->teams->len, 1);
	check_team (&g_array_index (pool->teams, struct dff_team, 0));
	check_services (pool);
	assert_int_equal (pool->operators->len, 1);
	const struct dff_operator *entry = &g_array_index (pool->operators, struct dff_operator, 0);
	check_name (&entry->name, "operator");
	check_digests (entry->token_digests, 0x40);
}

static void
test_pool_preset (void **state)
{
	(void)state;
	DFF_AUTO (dff_pool) pool = load_pool (DATA "pool-preset.json");
	check_number (pool->weights.completion, 0.3);
	check_number (pool->weights.fragmentation, 0.7);
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_jobs),     cmocka_unit_test (test_messages),
		cmocka_unit_test (test_relays),   cmocka_unit_test (test_rows),
		cmocka_unit_test (test_settings), cmocka_unit_test (test_fleet_settings),
		cmocka_unit_test (test_pool),     cmocka_unit_test (test_pool_preset),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
