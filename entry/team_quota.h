#ifndef DFF_ENTRY_TEAM_QUOTA_H
#define DFF_ENTRY_TEAM_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "common/cleanup.h"
#include "common/str.h"

/*
 * Counts, by team, the jobs that this process admitted and that have not ended, to limit admission.
 * The limit holds for each process separately, so that admission needs no messages between
 * processes. A team that spreads its jobs over n processes can have n times as many.
 */

struct dff_team_quota;

struct dff_team_quota *dff_team_quota_new (void);

void dff_team_quota_free (struct dff_team_quota *quota);

DFF_DEFINE_CLEANUP (dff_team_quota, dff_team_quota_free);

/** Returns: number of counted jobs of @team. */
int32_t dff_team_quota_count (const struct dff_team_quota *quota, const struct dff_name *team);

/** Counts a job. Returns: false when the job is already counted. */
bool dff_team_quota_add (struct dff_team_quota *quota,
			 const struct dff_name *job,
			 const struct dff_name *team);

/** Handles the end of a job. A job that is not counted is ignored. */
void dff_team_quota_remove (struct dff_team_quota *quota, const struct dff_name *job);

/** Returns: (element-type struct dff_name): up to @limit counted jobs. Successive calls take all
 * jobs in turn. */
GArray *dff_team_quota_sample (struct dff_team_quota *quota, size_t limit);

#endif
