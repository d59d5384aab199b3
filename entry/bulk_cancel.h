#ifndef DFF_ENTRY_BULK_CANCEL_H
#define DFF_ENTRY_BULK_CANCEL_H

#include "entry/call.h"

/**
 * dff_bulk_cancel:
 * @prefix: key prefix of the jobs' rows
 * @team: (nullable): cancel only this team's jobs
 * @batch: (nullable): id of the batch for the answer
 *
 * Records a cancellation for every job under @prefix that has not ended, and answers 202
 * {"cancelling": N}. Repeating the call has no further effect.
 */
void dff_bulk_cancel (struct dff_call *call,
		      struct dff_str prefix,
		      const struct dff_name *team,
		      const struct dff_name *batch);

#endif
