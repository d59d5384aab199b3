#include "entry/entry_private.h"
#include "entry/reply.h"
#include "entry/route.h"

static const char *
member_state_name (enum dff_member_state state)
{
	static const char *const names[] = {
		[DFF_MEMBER_ALIVE] = "alive",
		[DFF_MEMBER_SUSPECT] = "suspect",
		[DFF_MEMBER_LEAVING] = "leaving",
		[DFF_MEMBER_DEAD] = "dead",
	};
	return names[state];
}

static json_t *
member_json (const struct dff_member *member)
{
	return json_pack ("{s:s, s:s, s:s, s:I, s:b, s:I}", "instance", member->instance.id.data,
			  "address", member->instance.address.data, "state",
			  member_state_name (member->state), "generation",
			  (json_int_t)member->pool_generation, "ready", member->ready,
			  "holder_epoch", (json_int_t)member->holder_epoch);
}

static json_t *
members_json (struct dff_entry *entry)
{
	json_t *list = json_array ();
	const GArray *members = dff_peer_members (entry->options.peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		json_array_append_new (list, member_json (member));
	}
	return list;
}

static json_t *
cell_json (const struct dff_entry *entry)
{
	g_autoptr (GString) text = g_string_new (NULL);
	dff_cell_status (entry->options.cell, text);
	json_t *json = json_loadb (text->str, text->len, 0, NULL);
	return json == NULL ? json_null () : json;
}

static json_t *
holder_json (const struct dff_entry *entry)
{
	const struct dff_member *holder = dff_peer_holder (entry->options.peer);
	if (holder == NULL)
		return json_null ();
	return json_pack ("{s:s, s:s}", "instance", holder->instance.id.data, "address",
			  holder->instance.address.data);
}

static json_t *
requests_json (const struct dff_entry *entry)
{
	struct dff_requests_stats stats;
	dff_requests_get_stats (entry->requests, &stats);
	return json_pack ("{s:i, s:i, s:i, s:i}", "in_progress", stats.in_progress, "waiting",
			  stats.waiting, "slots_granted", stats.slots_granted, "slots_in_use",
			  stats.slots_in_use);
}

void
dff_status_read (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	const struct dff_settings *settings = entry->options.settings;
	json_t *json = json_object ();
	json_object_set_new (json, "instance", json_string (settings->instance.data));
	json_object_set_new (json, "region", json_string (settings->region.data));
	json_object_set_new (json, "generation", json_integer (entry->pool->generation));
	json_object_set_new (json, "ready", json_boolean (dff_entry_is_ready (entry)));
	json_object_set_new (json, "draining", json_boolean (entry->draining));
	json_object_set_new (json, "store",
			     json_string (dff_recorder_is_breaker_open (entry->options.recorder)
						  ? "unavailable"
						  : "available"));
	json_object_set_new (json, "holder", holder_json (entry));
	json_object_set_new (json, "cell", cell_json (entry));
	json_object_set_new (json, "requests", requests_json (entry));
	json_object_set_new (json, "connections",
			     json_integer (dff_connection_group_count (entry->callers)));
	json_object_set_new (json, "instances", members_json (entry));
	dff_reply_json (call, 200, json);
}

void
dff_drain_request (struct dff_call *call)
{
	call->entry->drain_requested = true;
	dff_reply_json (call, 202, json_pack ("{s:b}", "draining", 1));
}

void
dff_metrics_read (struct dff_call *call)
{
	g_autoptr (GString) text = g_string_new (NULL);
	dff_metrics_print (call->entry->options.metrics, text);
	struct dff_str body = {text->str, text->len};
	dff_reply_body (call, 200, "text/plain; version=0.0.4", body);
}

void
dff_health_read (struct dff_call *call)
{
	dff_reply_json (call, 200, json_pack ("{s:b}", "healthy", 1));
}

void
dff_readiness_read (struct dff_call *call)
{
	const struct dff_entry *entry = call->entry;
	const char *reason = "ready";
	if (entry->leaving)
		reason = "draining";
	else if (entry->isolated)
		reason = "isolated";
	else if (entry->pool == NULL)
		reason = "no_pool";
	else if (!entry->has_grants)
		reason = "no_grants";
	bool ready = dff_entry_is_ready (entry);
	dff_reply_json (call, ready ? 200 : 503,
			json_pack ("{s:b, s:s}", "ready", ready, "reason", reason));
}
