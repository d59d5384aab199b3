#include "entry/auth.h"

#include <sodium.h>
#include <string.h>

#include "common/digest.h"
#include "entry/entry_private.h"
#include "entry/reply.h"

#define BEARER "Bearer "
#define DIGEST_PREFIX "sha256:"

static struct dff_str
bearer_token (const struct dff_call *call)
{
	struct dff_str none = {"", 0};
	const char *header = dff_call_header (call, "Authorization");
	if (header == NULL || g_ascii_strncasecmp (header, BEARER, strlen (BEARER)) != 0)
		return none;
	return dff_str_from (header + strlen (BEARER));
}

static bool
is_bootstrap_token (const struct dff_entry *entry, struct dff_str token)
{
	const GString *digest = entry->options.settings->bootstrap_token_digest;
	uint8_t expected[DFF_DIGEST_BYTES];
	uint8_t actual[DFF_DIGEST_BYTES];
	size_t len = 0;
	if (digest == NULL || !g_str_has_prefix (digest->str, DIGEST_PREFIX))
		return false;
	const char *hex = digest->str + strlen (DIGEST_PREFIX);
	if (sodium_hex2bin (expected, sizeof (expected), hex, strlen (hex), NULL, &len, NULL) != 0)
		return false;
	dff_digest (token, actual);
	return len == DFF_DIGEST_BYTES && sodium_memcmp (expected, actual, len) == 0;
}

static struct dff_principal
authenticate (const struct dff_entry *entry, struct dff_str token)
{
	struct dff_principal principal = {.known = false};
	if (token.len == 0)
		return principal;
	if (entry->pool != NULL)
		return dff_pool_authenticate (entry->pool, token);
	if (!is_bootstrap_token (entry, token))
		return principal;
	principal.known = true;
	principal.is_operator = true;
	principal.name = dff_name_from ("bootstrap");
	return principal;
}

static bool
is_in_audience (const struct dff_principal *principal, enum dff_audience audience)
{
	switch (audience) {
	case DFF_AUDIENCE_TEAM:
		return !principal->is_operator;
	case DFF_AUDIENCE_OPERATOR:
	case DFF_AUDIENCE_POOL_WRITER:
		return principal->is_operator;
	case DFF_AUDIENCE_PUBLIC:
	case DFF_AUDIENCE_TEAM_OR_OPERATOR:
	default:
		return true;
	}
}

static void
refuse_without_pool (struct dff_call *call)
{
	struct dff_problem problem = {
		.status = 503,
		.code = "no_pool",
		.detail = "No pool file is in force in this process yet.",
		.retry_after_s = 1,
	};
	dff_reply_problem (call, &problem);
}

static void
refuse_unknown (struct dff_call *call)
{
	(*call->entry->counters.refused_auth)++;
	dff_call_set_header (call, "WWW-Authenticate", "Bearer");
	dff_reply_error (call, 401, "unauthorized", "A known bearer token is needed.");
}

bool
dff_auth_check (struct dff_call *call, enum dff_audience audience)
{
	struct dff_entry *entry = call->entry;
	if (audience == DFF_AUDIENCE_PUBLIC)
		return true;
	if (entry->pool == NULL && audience != DFF_AUDIENCE_POOL_WRITER) {
		refuse_without_pool (call);
		return false;
	}
	call->principal = authenticate (entry, bearer_token (call));
	if (!call->principal.known) {
		refuse_unknown (call);
		return false;
	}
	if (is_in_audience (&call->principal, audience))
		return true;
	(*entry->counters.refused_auth)++;
	dff_reply_error (call, 403, "forbidden", "The token is not allowed to make this call.");
	return false;
}

bool
dff_auth_may_see_team (const struct dff_call *call, const struct dff_name *team)
{
	return call->principal.is_operator || dff_name_equal (&call->principal.name, team);
}
