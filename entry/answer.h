#ifndef DFF_ENTRY_ANSWER_H
#define DFF_ENTRY_ANSWER_H

#include <glib.h>
#include <stdbool.h>

#include "common/cleanup.h"
#include "common/str.h"
#include "core/job.h"
#include "entry/call.h"
#include "entry/reply.h"

/* The final answer to a short request, as a value: it is sent, attached callers get it too, and it
 * is kept in the object store when its caller's connection broke. */

struct dff_answer {
	int status;
	/** Static or interned. */
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

/** Sends an answer that was kept: as it is when it completed, else 410 with its outcome. */
void dff_reply_kept_answer (struct dff_call *call,
			    const struct dff_answer *answer,
			    const struct dff_name *request);

/** Writes "answer/TEAM/REQUEST". Teams cannot read each other's, as the key holds the team. */
GString *dff_answer_key (const struct dff_name *team, const struct dff_name *request);

/** One line of JSON with length and digest, and then the body. */
GString *dff_answer_encode (const struct dff_answer *answer);

/** Returns: (transfer full) (nullable): NULL when the object is malformed or cut. */
struct dff_answer *dff_answer_decode (struct dff_str object);

#endif
