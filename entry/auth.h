#ifndef DFF_ENTRY_AUTH_H
#define DFF_ENTRY_AUTH_H

#include <stdbool.h>

#include "entry/call.h"

/* Who may make a call. */

enum dff_audience {
	DFF_AUDIENCE_ANYBODY,
	DFF_AUDIENCE_TEAM,
	DFF_AUDIENCE_OPERATOR,
	DFF_AUDIENCE_TEAM_OR_OPERATOR,
	/** An operator, or, before the first pool is in force, the holder of the bootstrap token.
	 */
	DFF_AUDIENCE_POOL_WRITER,
};

/**
 * dff_auth_check:
 *
 * Sets the call's principal. Where the caller may not make the call, it is answered: 401, 403, or
 * 503 while no pool is in force.
 *
 * Returns: whether the call may go on.
 */
bool dff_auth_check (struct dff_call *call, enum dff_audience audience);

/** Whether the caller may see what belongs to @team. */
bool dff_auth_may_see_team (const struct dff_call *call, const struct dff_name *team);

#endif
