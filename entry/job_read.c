#include "entry/entry_private.h"
#include "entry/job_fetch.h"
#include "entry/job_json.h"
#include "entry/reply.h"
#include "entry/route.h"

static void
job_fetched (struct dff_call *call,
	     enum dff_fetch_outcome outcome,
	     struct dff_job_row *row,
	     void *user)
{
	(void)user;
	if (outcome == DFF_FETCH_FOUND && !dff_auth_may_see_team (call, &row->spec.team))
		outcome = DFF_FETCH_MISSING;
	if (outcome == DFF_FETCH_FOUND)
		dff_reply_json (call, 200, dff_job_to_json (row));
	else
		dff_reply_fetch_failed (call, outcome);
}

void
dff_job_read (struct dff_call *call)
{
	dff_job_fetch (call, &call->subject, job_fetched, NULL);
}
