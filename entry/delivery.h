#ifndef DFF_ENTRY_DELIVERY_H
#define DFF_ENTRY_DELIVERY_H

#include "cell/job_row.h"
#include "entry/call.h"

/** Answers @call with the result of a job that has ended: the complete result, or an error and none
 * of its bytes. */
void dff_delivery_begin (struct dff_call *call, const struct dff_job_row *row);

#endif
