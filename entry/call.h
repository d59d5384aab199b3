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
 * One HTTP call: from a whole request to the answer, or to the loss of its connection. Counted by
 * references, because the store's answers may come after the connection is gone.
 */

struct dff_entry;

struct dff_call {
	struct dff_entry *entry;
	int32_t refs;
	/** NULL once answered, or once the connection is gone. */
	struct evhttp_request *request;
	/** The connection was gone before the answer. */
	bool lost;
	/** Whether the connection's end is waited for; holds a reference. */
	bool watched;
	struct dff_principal principal;
	/** It submits work under a key that an earlier call may have submitted before. */
	bool may_repeat;
	/** The name in the path ("/v1/jobs/NAME"); empty where there is none. */
	struct dff_name subject;
	struct evkeyvalq query;
	struct dff_span span;
	int64_t started_ms;
	/** (nullable): called once when the connection is lost before the answer. */
	void (*on_lost) (struct dff_call *call, void *user);
	void *on_lost_user;
};

/** Takes over a request that evhttp hands out. Returns: the call, with one reference. */
struct dff_call *dff_call_new (struct dff_entry *entry, struct evhttp_request *request);

struct dff_call *dff_call_ref (struct dff_call *call);

void dff_call_unref (struct dff_call *call);

/** Lets an unanswered call learn that its caller went away. */
void dff_call_watch_loss (struct dff_call *call);

/** Ends what dff_call_watch_loss() began; the call still has its request. */
void dff_call_unwatch_loss (struct dff_call *call);

/** Whether the caller still waits for the answer. */
bool dff_call_is_open (const struct dff_call *call);

/** Returns: (nullable): a header of the request. */
const char *dff_call_header (const struct dff_call *call, const char *name);

/** Returns: (nullable): a parameter of the query. */
const char *dff_call_query (const struct dff_call *call, const char *name);

/** Returns: the body, valid as long as the call is open. */
struct dff_str dff_call_body (struct dff_call *call);

/** Reads a header that holds a whole number. Returns: false when it is there and is none, or is out
 * of range. *@value stays as it is when the header is absent. */
bool dff_call_header_int (
	const struct dff_call *call, const char *name, int64_t min, int64_t max, int64_t *value);

/** Sets a header of the answer. */
void dff_call_set_header (struct dff_call *call, const char *name, const char *value);

#endif
