#include "fleet/config.h"

#include <sodium.h>
#include <string.h>

static void
string_free (gpointer string)
{
	g_string_free (string, TRUE);
}

static void
class_clear (gpointer data)
{
	struct dff_fleet_class *service_class = data;
	g_string_free (service_class->host, TRUE);
	g_string_free (service_class->path_prefix, TRUE);
}

static void
team_clear (gpointer data)
{
	g_ptr_array_unref (((struct dff_fleet_team *)data)->credentials);
}

struct dff_fleet_config *
dff_fleet_config_new (void)
{
	struct dff_fleet_config *config = g_new0 (struct dff_fleet_config, 1);
	config->classes = g_array_new (FALSE, TRUE, sizeof (struct dff_fleet_class));
	g_array_set_clear_func (config->classes, class_clear);
	config->teams = g_array_new (FALSE, TRUE, sizeof (struct dff_fleet_team));
	g_array_set_clear_func (config->teams, team_clear);
	config->unenforced = g_array_new (FALSE, TRUE, sizeof (struct dff_name));
	return config;
}

void
dff_fleet_config_free (struct dff_fleet_config *config)
{
	g_array_unref (config->classes);
	g_array_unref (config->teams);
	g_array_unref (config->unenforced);
	g_free (config);
}

struct dff_fleet_class *
dff_fleet_config_add_class (struct dff_fleet_config *config)
{
	struct dff_fleet_class added = {.host = g_string_new (NULL),
					.path_prefix = g_string_new (NULL)};
	g_array_append_val (config->classes, added);
	return &g_array_index (config->classes, struct dff_fleet_class, config->classes->len - 1);
}

struct dff_fleet_team *
dff_fleet_config_add_team (struct dff_fleet_config *config)
{
	struct dff_fleet_team added = {.credentials = g_ptr_array_new_with_free_func (string_free)};
	g_array_append_val (config->teams, added);
	return &g_array_index (config->teams, struct dff_fleet_team, config->teams->len - 1);
}

static bool
begins_with (struct dff_str text, const GString *prefix)
{
	return text.len >= prefix->len && memcmp (text.data, prefix->str, prefix->len) == 0;
}

const struct dff_fleet_class *
dff_fleet_config_find_class (const struct dff_fleet_config *config,
			     struct dff_str host,
			     struct dff_str path)
{
	const struct dff_fleet_class *best = NULL;
	for (guint i = 0; i < config->classes->len; i++) {
		const struct dff_fleet_class *entry =
			&g_array_index (config->classes, struct dff_fleet_class, i);
		if (!dff_str_equal (host, (struct dff_str){entry->host->str, entry->host->len}) ||
		    !begins_with (path, entry->path_prefix))
			continue;
		if (best == NULL || entry->path_prefix->len > best->path_prefix->len)
			best = entry;
	}
	return best;
}

static bool
holds_credential (const struct dff_fleet_team *team, struct dff_str credential)
{
	bool found = false;
	for (guint i = 0; i < team->credentials->len; i++) {
		const GString *entry = g_ptr_array_index (team->credentials, i);
		found |= entry->len == credential.len &&
			 sodium_memcmp (entry->str, credential.data, credential.len) == 0;
	}
	return found;
}

const struct dff_fleet_team *
dff_fleet_config_find_team (const struct dff_fleet_config *config, struct dff_str credential)
{
	const struct dff_fleet_team *found = NULL;
	for (guint i = 0; i < config->teams->len; i++) {
		const struct dff_fleet_team *team =
			&g_array_index (config->teams, struct dff_fleet_team, i);
		if (credential.len > 0 && holds_credential (team, credential))
			found = team;
	}
	return found;
}
