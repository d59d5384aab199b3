#include "entry/admission.h"

#include <string.h>

#include "common/digest.h"
#include "entry/entry_private.h"
#include "entry/reply.h"

/** Maximum length of an Idempotency-Key, bytes. */
#define KEY_MAX 255
/** Hex digits of the SHA-256 that are kept to identify a submission. */
#define HASH_DIGITS 32
/** Minimum Retry-After of a caller whose team has reached its limit of queued jobs, s. */
#define BUSY_RETRY_S 5

static bool
refuse (struct dff_job_rejection *rejection, int status, const char *code, char *detail)
{
	rejection->status = status;
	rejection->code = code;
	rejection->detail = detail;
	return false;
}

bool
dff_admission_may_use (const struct dff_service *service, const struct dff_name *team)
{
	for (guint i = 0; i < service->teams->len; i++) {
		const struct dff_name *allowed =
			&g_array_index (service->teams, struct dff_name, i);
		if (dff_name_equal (allowed, team))
			return true;
	}
	return service->teams->len == 0;
}

struct reason {
	const char *code;
	const char *detail;
};

static const char *
reason_detail (const char *code)
{
	static const struct reason reasons[] = {
		{"never_runnable", "No rack or region of the pool file can ever hold the job."},
		{"unknown_region", "region: it is not in the pool file"},
		{"unknown_team", "The team is not in the pool file."},
		{"quota", "The team may never use as many accelerators as the job needs."},
	};
	for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++) {
		if (g_str_equal (reasons[i].code, code))
			return reasons[i].detail;
	}
	return "The pool in force can never run the job.";
}

bool
dff_admission_check (struct dff_entry *entry,
		     const struct dff_job_row *row,
		     struct dff_job_rejection *rejection)
{
	const struct dff_job_spec *spec = &row->spec;
	if (!dff_job_row_fits (row)) {
		return refuse (rejection, 413, "job_too_large",
			       g_strdup_printf ("The job takes more than %d bytes in the store.",
						DFF_JOB_ROW_MAX_BYTES));
	}
	const struct dff_service *service = dff_pool_find_service (entry->pool, &spec->service);
	if (service == NULL) {
		return refuse (rejection, 422, "unknown_service",
			       g_strdup_printf ("service: %s is not in the pool file",
						spec->service.data));
	}
	if (!dff_admission_may_use (service, &spec->team)) {
		return refuse (rejection, 403, "service_not_allowed",
			       g_strdup_printf ("service: %s is not open to team %s",
						spec->service.data, spec->team.data));
	}
	struct dff_admission admission = dff_core_admit (entry->admission, spec);
	if (admission.admitted)
		return true;
	return refuse (rejection, 422, admission.reason,
		       g_strdup (reason_detail (admission.reason)));
}

bool
dff_admission_check_queue (struct dff_call *call, int32_t n)
{
	struct dff_entry *entry = call->entry;
	const struct dff_team *team = dff_pool_find_team (entry->pool, &call->principal.name);
	int32_t max = team == NULL ? 0 : team->max_queued;
	int32_t count = dff_team_quota_count (entry->quota, &call->principal.name);
	struct dff_problem never = {
		.status = 422,
		.code = "over_max_queued",
		.outcome = dff_refusal_outcome (call),
		.detail = "The batch is larger than what the team may have queued.",
	};
	struct dff_problem later = {
		.status = 429,
		.code = "team_queue_full",
		.outcome = dff_refusal_outcome (call),
		.detail = "The team has as many jobs queued as it may have.",
		.retry_after_s = BUSY_RETRY_S + g_rand_int_range (entry->rng, 0, BUSY_RETRY_S),
	};
	if (n <= max - count)
		return true;
	(*entry->counters.refused_busy)++;
	dff_reply_problem (call, n > max ? &never : &later);
	return false;
}

void
dff_reply_job_rejection (struct dff_call *call, struct dff_job_rejection *rejection)
{
	/* A check against the current pool does not prove that the job never ran: an earlier call
	 * may have been accepted under an earlier pool. */
	struct dff_problem problem = {
		.status = rejection->status,
		.code = rejection->code,
		.outcome =
			rejection->status == 400 ? DFF_OUTCOME_NOT_RUN : dff_refusal_outcome (call),
		.detail = rejection->detail,
	};
	(*call->entry->counters.refused_input)++;
	dff_reply_problem (call, &problem);
	dff_job_rejection_clear (rejection);
}

static bool
is_printable (const char *text)
{
	for (const char *byte = text; *byte != '\0'; byte++) {
		if (!g_ascii_isgraph (*byte))
			return false;
	}
	return true;
}

enum dff_key_state
dff_idempotency_hash (const struct dff_call *call, const char *scope, struct dff_name *hash)
{
	const char *key = dff_call_header (call, "Idempotency-Key");
	const struct dff_name *team = &call->principal.name;
	memset (hash, 0, sizeof (*hash));
	if (key == NULL)
		return DFF_KEY_NONE;
	size_t len = strlen (key);
	if (len == 0 || len > KEY_MAX || !is_printable (key))
		return DFF_KEY_INVALID;
	g_autoptr (GString) text = g_string_new (scope);
	g_string_append_len (text, team->data, team->len + 1);
	g_string_append (text, key);
	char digest[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex ((struct dff_str){text->str, text->len}, digest);
	*hash = dff_name_printf ("%.*s", HASH_DIGITS, digest);
	return DFF_KEY_VALID;
}
