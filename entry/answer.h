#ifndef DFF_ENTRY_ANSWER_H
#define DFF_ENTRY_ANSWER_H

#include <glib.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "common/str.h"
#include "core/job.h"
#include "entry/call.h"
#include "entry/reply.h"

/* The final answer to a short request, as a value. It is sent to all attached callers, and stored
 * in the object store when a caller's connection was lost. */

struct dff_answer {
	int status;
	/** Static or interned string. */
	const char *content_type;
	GString *body;
	enum dff_outcome outcome;
	int32_t retry_after_s;
};

/** Copies @body. */
struct dff_answer *dff_answer_new (int status, struct dff_str body, enum dff_outcome outcome);

struct dff_answer *dff_answer_from_problem (const struct dff_problem *problem);

void dff_answer_free (struct dff_answer *answer);

DFF_DEFINE_CLEANUP (dff_answer, dff_answer_free);

/** Sends the answer. */
void dff_reply_answer (struct dff_call *call,
		       const struct dff_answer *answer,
		       const struct dff_name *request);

/** Sends a stored answer: unchanged when its outcome is completed, otherwise 410 with the
 * outcome. */
void dff_reply_stored_answer (struct dff_call *call,
			      const struct dff_answer *answer,
			      const struct dff_name *request);

/** Returns: "answer/TEAM/REQUEST". The key holds the team, so that no team can read another team's
 * answers. */
GString *dff_answer_key (const struct dff_name *team, const struct dff_name *request);

/** Returns: one line of JSON with the length and digest of the body, followed by the body. */
GString *dff_answer_encode (const struct dff_answer *answer);

/** Returns: (transfer full) (nullable): NULL when the object is malformed or truncated. */
struct dff_answer *dff_answer_decode (struct dff_str object);

#endif
