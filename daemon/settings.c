#include "daemon/settings.h"

#include "daemon/settings_keys.h"

/* @smaller + @margin has to be less than @larger. */
struct relation {
	const char *smaller;
	const char *margin;
	const char *larger;
	const char *reason;
};

static const struct relation relations[] = {
	{"cell_renew_ms", "cell_margin_ms", "cell_lease_ms",
	 "else the holder stops acting before each renewal"},
	{"tick_ms", NULL, "cell_renew_ms", "else renewals come late"},
	{"watch_interval_ms", NULL, "task_lease_ms", "else task leases expire between renewals"},
	{"heartbeat_ms", NULL, "suspect_ms", "else every peer is suspected between heartbeats"},
	{"suspect_ms", NULL, "dead_ms", "else a suspicion cannot be refuted"},
	{"heartbeat_ms", NULL, "isolated_after_ms", "else every process considers itself isolated"},
};

static struct dff_settings *
settings_new (void)
{
	struct dff_settings *settings = g_new0 (struct dff_settings, 1);
	settings->tls_certificate = g_string_new (NULL);
	settings->tls_key = g_string_new (NULL);
	settings->bootstrap_token_digest = g_string_new (NULL);
	settings->trace_path = g_string_new (NULL);
	dff_setting_table_assign_defaults (dff_settings_table (), settings);
	return settings;
}

static int64_t
integer_value (const struct dff_settings *settings, const char *key)
{
	return dff_setting_integer (dff_setting_table_find (dff_settings_table (), key), settings);
}

static void
check_relation (struct dff_setting_reader *reader,
		const struct dff_settings *settings,
		const struct relation *relation)
{
	int64_t smaller = integer_value (settings, relation->smaller);
	int64_t larger = integer_value (settings, relation->larger);
	int64_t margin = 0;
	if (relation->margin != NULL)
		margin = integer_value (settings, relation->margin);
	if (smaller + margin < larger)
		return;
	bool named = dff_setting_reader_has_key (reader, relation->smaller);
	dff_setting_reader_report_at (reader, named ? relation->smaller : relation->larger,
				      "%s: expected less than %s%s%s (%" G_GINT64_FORMAT "), %s",
				      relation->smaller, relation->larger, margin > 0 ? " - " : "",
				      margin > 0 ? relation->margin : "", larger - margin,
				      relation->reason);
}

static void
check_tls (struct dff_setting_reader *reader, const struct dff_settings *settings)
{
	bool has_certificate = settings->tls_certificate->len > 0;
	bool has_key = settings->tls_key->len > 0;
	if (has_certificate == has_key)
		return;
	const char *given = has_certificate ? "tls_certificate" : "tls_key";
	dff_setting_reader_report_at (reader, given, "%s: expected together with %s", given,
				      has_certificate ? "tls_key" : "tls_certificate");
}

static void
check_settings (struct dff_setting_reader *reader, const void *object)
{
	check_tls (reader, object);
	for (size_t i = 0; i < G_N_ELEMENTS (relations); i++)
		check_relation (reader, object, &relations[i]);
}

struct dff_settings *
dff_settings_parse (struct dff_str text, const char *source, GPtrArray *errors, GError **error)
{
	struct dff_setting_input input = {
		.text = text, .source = source, .check = check_settings, .errors = errors};
	DFF_AUTO (dff_settings) settings = settings_new ();
	if (!dff_setting_table_read (dff_settings_table (), &input, settings, error))
		return NULL;
	return g_steal_pointer (&settings);
}

struct dff_settings *
dff_settings_load (const char *path, GPtrArray *errors, GError **error)
{
	struct dff_setting_input input = {
		.source = path, .check = check_settings, .errors = errors};
	DFF_AUTO (dff_settings) settings = settings_new ();
	if (!dff_setting_table_load (dff_settings_table (), &input, settings, error))
		return NULL;
	return g_steal_pointer (&settings);
}

void
dff_settings_free (struct dff_settings *settings)
{
	if (settings == NULL)
		return;
	g_string_free (settings->tls_certificate, TRUE);
	g_string_free (settings->tls_key, TRUE);
	g_string_free (settings->bootstrap_token_digest, TRUE);
	g_string_free (settings->trace_path, TRUE);
	g_free (settings);
}

void
dff_settings_reload (struct dff_settings *settings,
		     const struct dff_settings *fresh,
		     GPtrArray *fixed)
{
	dff_setting_table_reload (dff_settings_table (), settings, fresh, fixed);
}

void
dff_settings_describe (GString *out)
{
	dff_setting_table_describe (dff_settings_table (), out);
}
