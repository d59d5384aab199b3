#ifndef DFF_ENTRY_CALL_H
#define DFF_ENTRY_CALL_H

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "common/trace.h"
#include "core/job.h"
#include "pool/pool.h"

/*
 * One HTTP call, from a complete request to the answer or the loss of the connection. Calls are
 * reference-counted, because the store may answer after the connection is lost.
 */

struct dff_entry;

struct dff_call {
	struct dff_entry *entry;
	int32_t refs;
	/** NULL once the call is answered or the connection is lost. */
	struct evhttp_request *request;
	/** The connection was lost before the answer. */
	bool lost;
	/** There are too many connections, or they hold too much, for the call to be handled. */
	bool rejected;
	/** A callback for the loss of the connection is set; it holds a reference. */
	bool watched;
	struct dff_principal principal;
	/** The call submits work under a key that an earlier call may have used. */
	bool may_be_repeated;
	/** The name in the path ("/v1/jobs/NAME"); empty when the path has none. */
	struct dff_name subject;
	struct evkeyvalq query;
	struct dff_span span;
	int64_t started_ms;
	/** (nullable): called once when the connection is lost before the answer. */
	void (*on_lost) (struct dff_call *call, void *user);
	void *on_lost_user;
};

/** Takes ownership of a request from evhttp. Returns: the call, with one reference. */
struct dff_call *dff_call_new (struct dff_entry *entry, struct evhttp_request *request);

struct dff_call *dff_call_ref (struct dff_call *call);

void dff_call_unref (struct dff_call *call);

/** Watches the connection of an unanswered call, so that a caller that disconnects is detected. */
void dff_call_watch_loss (struct dff_call *call);

/** Undoes dff_call_watch_loss(). The call must still have its request. */
void dff_call_unwatch_loss (struct dff_call *call);

/** Returns: whether the caller is still connected and waits for the answer. */
bool dff_call_is_open (const struct dff_call *call);

/** Returns: (nullable): a header of the request. */
const char *dff_call_header (const struct dff_call *call, const char *name);

/** Returns: (nullable): a parameter of the query. */
const char *dff_call_query (const struct dff_call *call, const char *name);

/** Returns: the body of the request, valid while the call is open. */
struct dff_str dff_call_body (struct dff_call *call);

/** Reads a header that holds an integer. *@value stays unchanged when the header is absent.
 * Returns: false when the header is not an integer or is out of range. */
bool dff_call_header_int (
	const struct dff_call *call, const char *name, int64_t min, int64_t max, int64_t *value);

/** Sets a header of the answer. */
void dff_call_set_header (struct dff_call *call, const char *name, const char *value);

#endif
