#include "daemon/settings_keys.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "cell/job_row.h"

#define DIGEST_PREFIX "sha256:"
#define DIGEST_HEX_LEN 64
#define CURVE_KEY_BYTES 32
#define MINUTE_MS 60000
#define HOUR_MS 3600000
#define HOUR_S 3600
#define YEAR_S 31536000

#define MEMBER(name) .key = #name, .offset = offsetof (struct dff_settings, name)
#define NAME(name, limit) MEMBER (name), .type = DFF_SETTING_NAME, .required = true, .max = (limit)
#define ADDRESS(name, lowest)                                                                      \
	MEMBER (name), .type = DFF_SETTING_ADDRESS, .required = true, .min = (lowest)
#define KEY(name) MEMBER (name), .type = DFF_SETTING_KEY, .required = true
#define PATH(name) MEMBER (name), .type = DFF_SETTING_PATH
#define INTEGER(name, lowest, highest, initial)                                                    \
	MEMBER (name), .type = DFF_SETTING_INTEGER, .min = (lowest), .max = (highest),             \
		       .default_text = #initial

static const struct dff_setting settings_table[] = {
	{NAME (instance, DFF_NAME_MAX), .help = "Name of this process, unique among all."},
	{NAME (region, DFF_REGION_NAME_MAX), .help = "Region whose cell this process may hold."},
	{NAME (data_centre, DFF_NAME_MAX), .help = "Data centre this process runs in."},
	{ADDRESS (listen, 0), .help = "Address for callers and operators; port 0: any free one."},
	{ADDRESS (peer_listen, 0), .help = "Address for peers; port 0: any free one."},
	{KEY (peer_public_key), .help = "CURVE public key that peers know this process by."},
	{KEY (peer_secret_key), .help = "CURVE secret key. Keep the file unreadable to others."},
	{ADDRESS (table_address, 1), .help = "The platform's transactional table."},
	{ADDRESS (object_store_address, 1), .help = "The platform's object store."},
	{ADDRESS (instance_list_address, 1), .help = "The platform's instance list."},
	{PATH (tls_certificate), .help = "Callers' TLS certificate chain, PEM; empty: plain HTTP."},
	{PATH (tls_key), .help = "Key of the certificate, PEM."},
	{MEMBER (bootstrap_token_digest), .type = DFF_SETTING_DIGEST,
	 .help = "Digest of the token that may apply the first pool; empty: none may."},
	{MEMBER (log_level), .type = DFF_SETTING_LEVEL, .reloadable = true,
	 .default_text = "\"info\"", .help = "Lowest level that is logged."},
	{PATH (trace_path), .help = "File that spans are appended to; \"-\": standard output."},
	{INTEGER (max_connections, 1, 100000, 4096), .reloadable = true,
	 .help = "Callers' connections at once."},
	{INTEGER (max_body_bytes, 1024, 67108864, 1048576), .reloadable = true, .unit = "bytes",
	 .help = "Longest request body."},
	{INTEGER (request_timeout_ms, 100, HOUR_MS, 10000), .reloadable = true, .unit = "ms",
	 .help = "Time a caller may take to send a request."},
	{INTEGER (max_requests, 1, 100000, 1024), .reloadable = true,
	 .help = "Short requests in progress at once."},
	{INTEGER (upstream_connections, 1, 1024, 7), .help = "Connections to each worker."},
	{INTEGER (table_writes_per_s, 1, 10000, 30), .reloadable = true, .unit = "a second",
	 .help = "This process's share of the table's writes."},
	{INTEGER (tick_ms, 1, 1000, 10), .unit = "ms", .help = "Interval of the loop's tick."},
	{INTEGER (cell_lease_ms, 500, MINUTE_MS, 3000), .unit = "ms",
	 .help = "A lease row that stands unchanged this long may be taken."},
	{INTEGER (cell_renew_ms, 50, MINUTE_MS, 700), .unit = "ms",
	 .help = "Interval of the holder's renewals."},
	{INTEGER (cell_margin_ms, 50, MINUTE_MS, 600), .unit = "ms",
	 .help = "The holder stops acting this long before its lease lapses."},
	{INTEGER (task_lease_ms, 1000, HOUR_MS, 15000), .unit = "ms",
	 .help = "Lease of tasks at workers."},
	{INTEGER (retention_s, HOUR_S, YEAR_S, 604800), .unit = "s",
	 .help = "Jobs, batches, records of requests and their idempotency keys are forgotten this "
		 "long after they ended. The same for all processes of a region."},
	{INTEGER (watch_interval_ms, 50, MINUTE_MS, 1000), .unit = "ms",
	 .help = "Least interval of renewals at each watched worker; longer for a process that "
		 "watches many, as far as a quarter of *task_lease_ms*."},
	{INTEGER (heartbeat_ms, 20, MINUTE_MS, 500), .unit = "ms",
	 .help = "Interval of heartbeats to each direct peer."},
	{INTEGER (suspect_ms, 50, MINUTE_MS, 2000), .unit = "ms",
	 .help = "A peer silent this long is suspected."},
	{INTEGER (dead_ms, 50, MINUTE_MS, 3000), .unit = "ms",
	 .help = "A peer suspected this long is taken for dead."},
	{INTEGER (isolated_after_ms, 100, HOUR_MS, 5000), .unit = "ms",
	 .help = "Neither store nor peers for this long: unready."},
	{INTEGER (drain_grace_ms, 0, MINUTE_MS, 2000), .unit = "ms", .reloadable = true,
	 .help = "At a graceful stop: unready for this long before new work is refused."},
	{INTEGER (drain_timeout_ms, 0, 86400000, 0), .unit = "ms",
	 .help = "A graceful stop that takes longer is given up; 0: never."},
};

const struct dff_setting *
dff_setting_table (size_t *n_settings)
{
	*n_settings = G_N_ELEMENTS (settings_table);
	return settings_table;
}

const struct dff_setting *
dff_setting_find (const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++) {
		if (strcmp (settings_table[i].key, key) == 0)
			return &settings_table[i];
	}
	return NULL;
}

void
dff_setting_append_expected (const struct dff_setting *setting, GString *out)
{
	switch (setting->type) {
	case DFF_SETTING_NAME:
		g_string_append_printf (
			out,
			"a name of 1 to %d bytes (letters, digits, hyphen, underscore, dot, colon)",
			setting->max);
		return;
	case DFF_SETTING_ADDRESS:
		g_string_append_printf (out, "\"IP:PORT\" with an IPv4 number and a port from %d",
					setting->min);
		g_string_append (out, " to 65535");
		return;
	case DFF_SETTING_KEY:
		g_string_append (out, "a CURVE key, 43 characters of base64url");
		return;
	case DFF_SETTING_PATH:
		g_string_append (out, "a string");
		return;
	case DFF_SETTING_DIGEST:
		g_string_append (out, "\"sha256:\" and 64 hex digits, or an empty string");
		return;
	case DFF_SETTING_LEVEL:
		g_string_append (out, "\"debug\", \"info\", \"warning\" or \"error\"");
		return;
	case DFF_SETTING_INTEGER:
		g_string_append_printf (out, "an integer from %d to %d", setting->min,
					setting->max);
		if (setting->unit != NULL)
			g_string_append_printf (out, " (%s)", setting->unit);
		return;
	}
}

static bool
parse_port (const char *text, int32_t lowest)
{
	if (*text == '\0' || strspn (text, "0123456789") != strlen (text) || strlen (text) > 5)
		return false;
	int64_t port = g_ascii_strtoll (text, NULL, 10);
	return port >= lowest && port <= UINT16_MAX;
}

static bool
address_is_valid (const struct dff_name *address, int32_t lowest_port)
{
	const char *colon = strrchr (address->data, ':');
	if (colon == NULL)
		return false;
	g_autofree char *ip = g_strndup (address->data, (size_t)(colon - address->data));
	struct in_addr parsed;
	return inet_pton (AF_INET, ip, &parsed) == 1 && parse_port (colon + 1, lowest_port);
}

static bool
curve_key_is_valid (const struct dff_name *key)
{
	unsigned char bytes[CURVE_KEY_BYTES];
	size_t len = 0;
	int result = sodium_base642bin (bytes, sizeof (bytes), key->data, key->len, NULL, &len,
					NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero (bytes, sizeof (bytes));
	return result == 0 && len == CURVE_KEY_BYTES;
}

static bool
digest_is_valid (const char *text)
{
	if (*text == '\0')
		return true;
	if (!g_str_has_prefix (text, DIGEST_PREFIX))
		return false;
	const char *hex = text + strlen (DIGEST_PREFIX);
	return strlen (hex) == DIGEST_HEX_LEN && strspn (hex, "0123456789abcdef") == DIGEST_HEX_LEN;
}

static void *
member_of (const struct dff_setting *setting, struct dff_settings *settings)
{
	return (char *)settings + setting->offset;
}

static const void *
member_of_const (const struct dff_setting *setting, const struct dff_settings *settings)
{
	return (const char *)settings + setting->offset;
}

static bool
name_is_expected (const struct dff_setting *setting, const struct dff_name *name)
{
	if (setting->type == DFF_SETTING_ADDRESS)
		return address_is_valid (name, setting->min);
	if (setting->type == DFF_SETTING_KEY)
		return curve_key_is_valid (name);
	return name->len <= setting->max;
}

static bool
assign_name (const struct dff_setting *setting, struct dff_name *member, struct dff_str text)
{
	struct dff_name name;
	if (!dff_name_parse (text, &name) || !name_is_expected (setting, &name))
		return false;
	*member = name;
	return true;
}

static bool
assign_string (const struct dff_setting *setting,
	       struct dff_settings *settings,
	       struct dff_str text)
{
	void *member = member_of (setting, settings);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		return assign_name (setting, member, text);
	case DFF_SETTING_LEVEL:
		return dff_log_level_parse (text, member);
	case DFF_SETTING_DIGEST:
		if (!digest_is_valid (text.data))
			return false;
		break;
	case DFF_SETTING_PATH:
		break;
	case DFF_SETTING_INTEGER:
		return false;
	}
	GString **string = member;
	g_string_truncate (*string, 0);
	g_string_append_len (*string, text.data, (gssize)text.len);
	return true;
}

bool
dff_setting_assign (const struct dff_setting *setting,
		    struct dff_settings *settings,
		    const json_t *value)
{
	if (json_is_string (value)) {
		struct dff_str text = {json_string_value (value), json_string_length (value)};
		return assign_string (setting, settings, text);
	}
	if (setting->type != DFF_SETTING_INTEGER || !json_is_integer (value))
		return false;
	json_int_t number = json_integer_value (value);
	if (number < setting->min || number > setting->max)
		return false;
	*(int32_t *)member_of (setting, settings) = (int32_t)number;
	return true;
}

void
dff_setting_assign_default (const struct dff_setting *setting, struct dff_settings *settings)
{
	if (setting->default_text == NULL)
		return;
	json_t *value = json_loads (setting->default_text, JSON_DECODE_ANY, NULL);
	bool assigned = dff_setting_assign (setting, settings, value);
	json_decref (value);
	g_assert (assigned);
}

bool
dff_setting_equal (const struct dff_setting *setting,
		   const struct dff_settings *a,
		   const struct dff_settings *b)
{
	const void *left = member_of_const (setting, a);
	const void *right = member_of_const (setting, b);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		return dff_name_equal (left, right);
	case DFF_SETTING_PATH:
	case DFF_SETTING_DIGEST:
		return g_string_equal (*(GString *const *)left, *(GString *const *)right);
	case DFF_SETTING_LEVEL:
		return *(const enum dff_log_level *)left == *(const enum dff_log_level *)right;
	case DFF_SETTING_INTEGER:
		return *(const int32_t *)left == *(const int32_t *)right;
	}
	return false;
}

void
dff_setting_copy (const struct dff_setting *setting,
		  struct dff_settings *to,
		  const struct dff_settings *from)
{
	void *target = member_of (setting, to);
	const void *source = member_of_const (setting, from);
	switch (setting->type) {
	case DFF_SETTING_NAME:
	case DFF_SETTING_ADDRESS:
	case DFF_SETTING_KEY:
		memcpy (target, source, sizeof (struct dff_name));
		return;
	case DFF_SETTING_PATH:
	case DFF_SETTING_DIGEST:
		g_string_assign (*(GString **)target, (*(GString *const *)source)->str);
		return;
	case DFF_SETTING_LEVEL:
		*(enum dff_log_level *)target = *(const enum dff_log_level *)source;
		return;
	case DFF_SETTING_INTEGER:
		*(int32_t *)target = *(const int32_t *)source;
		return;
	}
}

int32_t
dff_setting_integer (const struct dff_setting *setting, const struct dff_settings *settings)
{
	g_assert (setting->type == DFF_SETTING_INTEGER);
	return *(const int32_t *)member_of_const (setting, settings);
}
