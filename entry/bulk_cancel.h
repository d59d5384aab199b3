#ifndef DFF_ENTRY_BULK_CANCEL_H
#define DFF_ENTRY_BULK_CANCEL_H

#include "entry/call.h"

/**
 * dff_bulk_cancel:
 * @prefix: of the rows' keys
 * @team: (nullable): only this team's jobs
 * @batch: (nullable): named in the answer
 *
 * Puts a cancellation on record for every job under @prefix that has not ended, and answers
 * 202 {"cancelling": N}. Repeating it is harmless.
 */
void dff_bulk_cancel (struct dff_call *call,
		      struct dff_str prefix,
		      const struct dff_name *team,
		      const struct dff_name *batch);

#endif
