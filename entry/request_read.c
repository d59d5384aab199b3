#include <string.h>

#include "entry/reply.h"
#include "entry/request_private.h"
#include "entry/route.h"

/** Number of digits after the instance name in a generated id, and how many of them identify the
 * start of the process. */
#define ID_DIGITS 16
#define START_DIGITS 4

/** The process that created an id. */
struct id_origin {
	/** The instance name, possibly truncated. */
	struct dff_str instance;
	/** dff_peer_start_id() of the process; 0: not known. */
	uint32_t start;
};

static void
reply_in_progress (struct dff_call *call)
{
	dff_call_set_header (call, "Retry-After", "1");
	dff_reply_json (
		call, 202,
		json_pack ("{s:s, s:s}", "request", call->subject.data, "state", "in_progress"));
}

static void
reply_unknown (struct dff_call *call)
{
	struct dff_problem problem = {
		.status = 410,
		.code = "no_answer",
		.outcome = DFF_OUTCOME_UNKNOWN,
		.detail = "The process that had the request is gone, and no answer was kept.",
	};
	dff_reply_problem (call, &problem);
}

/* Parses the origin of an id. Returns false for ids that no process generated. */
static bool
id_origin (const struct dff_name *id, struct id_origin *origin)
{
	const char *dot = strrchr (id->data, '.');
	if (dot == NULL || strlen (dot + 1) != ID_DIGITS)
		return false;
	origin->instance.data = id->data;
	origin->instance.len = (size_t)(dot - id->data);
	char digits[START_DIGITS + 1] = "";
	memcpy (digits, dot + 1, START_DIGITS);
	origin->start = (uint32_t)g_ascii_strtoull (digits, NULL, 16);
	return true;
}

static bool
has_instance_prefix (const struct dff_name *name, struct dff_str part)
{
	return name->len >= part.len && memcmp (name->data, part.data, part.len) == 0;
}

static bool
is_self (const struct dff_entry *entry, const struct id_origin *origin)
{
	return has_instance_prefix (&entry->options.settings->instance, origin->instance);
}

/* A killed process may be replaced within seconds by one with the same name. If the name alone were
 * checked, a caller that repeats a request of the dead process would wait until its deadline and be
 * asked to retry, without end. The number that each process draws at its start distinguishes the
 * two. */
static bool
is_alive (struct dff_entry *entry, const struct id_origin *origin)
{
	const GArray *members = dff_peer_members (entry->options.peer);
	for (guint i = 0; i < members->len; i++) {
		const struct dff_member *member = &g_array_index (members, struct dff_member, i);
		bool replaced = origin->start != 0 && member->start_id != 0 &&
				member->start_id != origin->start;
		if (member->state != DFF_MEMBER_DEAD && !replaced &&
		    has_instance_prefix (&member->instance.id, origin->instance))
			return true;
	}
	return false;
}

bool
dff_request_owner_is_gone (struct dff_entry *entry, const struct dff_name *id)
{
	struct id_origin origin;
	if (!id_origin (id, &origin))
		return false;
	/* An id with this process's own name belongs to its predecessor. */
	return is_self (entry, &origin) || !is_alive (entry, &origin);
}

/* No answer is stored: the request is in progress in another process, was lost, or never
 * existed. */
static void
reply_without_answer (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	struct id_origin origin;
	if (!id_origin (&call->subject, &origin) || is_self (entry, &origin))
		dff_reply_error (call, 404, "not_found", "No answer is kept under this id.");
	else if (is_alive (entry, &origin))
		reply_in_progress (call);
	else
		reply_unknown (call);
}

static void
answer_read (void *user, const struct dff_object_result *result)
{
	struct dff_call *call = user;
	DFF_AUTO (dff_answer) answer = NULL;
	if (!dff_call_is_open (call)) {
		dff_call_unref (call);
		return;
	}
	if (result->outcome == DFF_OBJECT_OK)
		answer = dff_answer_decode (result->data);
	if (answer != NULL)
		dff_reply_stored_answer (call, answer, &call->subject);
	else if (result->outcome == DFF_OBJECT_NOT_FOUND)
		reply_without_answer (call);
	else
		dff_reply_store_unavailable (call);
	dff_call_unref (call);
}

void
dff_request_read (struct dff_call *call)
{
	struct dff_entry *entry = call->entry;
	const struct dff_object_store *objects = entry->options.objects;
	g_autofree char *id =
		g_strdup_printf ("%s/%s", call->principal.name.data, call->subject.data);
	const struct dff_request *request = g_hash_table_lookup (entry->requests->by_id, id);
	if (request != NULL && request->state == DFF_REQUEST_ENDED) {
		dff_reply_stored_answer (call, request->answer, &request->id);
		return;
	}
	if (request != NULL) {
		reply_in_progress (call);
		return;
	}
	g_autoptr (GString) key = dff_answer_key (&call->principal.name, &call->subject);
	struct dff_str text = {key->str, key->len};
	objects->get (objects->ctx, text, answer_read, dff_call_ref (call));
}
