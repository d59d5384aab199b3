#ifndef DFF_ENTRY_AUTH_H
#define DFF_ENTRY_AUTH_H

#include <stdbool.h>

#include "entry/call.h"

/* Authentication, and which callers may make which calls. */

enum dff_audience {
	DFF_AUDIENCE_PUBLIC,
	DFF_AUDIENCE_TEAM,
	DFF_AUDIENCE_OPERATOR,
	DFF_AUDIENCE_TEAM_OR_OPERATOR,
	/** An operator. Before the first pool is applied: the owner of the bootstrap token. */
	DFF_AUDIENCE_POOL_WRITER,
};

/**
 * dff_auth_check:
 *
 * Sets the call's principal. A call that is not allowed is answered with 401 or 403, or with 503
 * while there is no pool.
 *
 * Returns: whether the call is allowed.
 */
bool dff_auth_check (struct dff_call *call, enum dff_audience audience);

/** Returns: whether the caller may see what belongs to @team. */
bool dff_auth_may_see_team (const struct dff_call *call, const struct dff_name *team);

#endif
