#ifndef DFF_ENTRY_TEAM_QUOTA_H
#define DFF_ENTRY_TEAM_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/*
 * Jobs that this process admitted and that have not ended, by team, so that admission is bounded.
 * The bound holds for each process by itself: a team that spreads its jobs over n processes can
 * have n times as many, which keeps admission free of any message between processes.
 */

struct dff_team_quota;

struct dff_team_quota *dff_team_quota_new (void);

void dff_team_quota_free (struct dff_team_quota *quota);

DFF_DEFINE_CLEANUP (dff_team_quota, dff_team_quota_free);

/** Returns: jobs of @team that are counted. */
int32_t dff_team_quota_count (const struct dff_team_quota *quota, const struct dff_name *team);

/** Counts a job; one that is counted already is left alone. Returns: whether it was not yet. */
bool dff_team_quota_add (struct dff_team_quota *quota,
			 const struct dff_name *job,
			 const struct dff_name *team);

/** A job has ended; one that is not counted is ignored. */
void dff_team_quota_remove (struct dff_team_quota *quota, const struct dff_name *job);

/** Returns: (element-type struct dff_name): up to @limit counted jobs, in turns. */
GArray *dff_team_quota_sample (struct dff_team_quota *quota, size_t limit);

#endif
