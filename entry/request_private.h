#ifndef DFF_ENTRY_REQUEST_PRIVATE_H
#define DFF_ENTRY_REQUEST_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"
#include "entry/answer.h"
#include "entry/entry_private.h"
#include "entry/retry_budget.h"
#include "entry/slots.h"

/*
 * State of short requests, shared by request.c (lifecycle), dispatch.c (choice of worker, retries)
 * and attempt.c (records of requests that are not idempotent).
 */

enum dff_request_state {
	/** The attempt's row is being written, or the request waits until another process's
	 * attempt with the same key has ended. */
	DFF_REQUEST_RECORDING,
	/** Waits in the queue for a slot. */
	DFF_REQUEST_WAITING,
	/** Waits before a retry on another worker. */
	DFF_REQUEST_BACKING_OFF,
	DFF_REQUEST_SENT,
	/** Has its final answer. Kept until the answer is stored, if it has to be. */
	DFF_REQUEST_ENDED,
};

struct dff_request {
	struct dff_requests *owner;
	int32_t refs;
	enum dff_request_state state;
	/** Id for callers; unique within the team. */
	struct dff_name id;
	/** Id for workers; unique in the system. */
	struct dff_name upstream_id;
	struct dff_name team;
	struct dff_name service;
	GString *body;
	bool idempotent;
	int64_t deadline_ms;
	int32_t n_sent;
	/** Workers that have the request and have not answered. */
	int32_t n_outstanding;
	/** Worker that the request was sent to last. */
	struct dff_name worker;
	/** A worker may have run the request: it was sent, and its outcome is not known. */
	bool may_have_run;
	/** The request has ended, and this process never sent it to a worker that may have accepted
	 * it. */
	bool proven_not_run;
	/** Outcome to report while this process has not recorded the attempt. */
	enum dff_outcome refusal_outcome;
	struct dff_span span;
	/** The only timer of the request; which one depends on @state. */
	struct dff_deadline *timer;
	/** Elements: struct dff_call *, each with a reference. */
	GPtrArray *calls;
	struct dff_answer *answer;
	/** At least one caller's connection was lost before the answer. */
	bool caller_disconnected;

	/* Only for requests that are not idempotent. */
	/** Hash of the Idempotency-Key. */
	struct dff_name hash;
	/** SHA-256 of the body. */
	char digest[DFF_DIGEST_HEX_LEN + 1];
	/** The attempt's row is being written; holds a reference. */
	bool recording;
	uint64_t ticket;
	struct dff_span record_span;
	/** Revision of the attempt's row; 0: this process did not write the row. */
	int64_t revision;
	/** Time when another process's open attempt was first seen, ms; 0: never. */
	int64_t open_since_ms;
	int32_t n_restarts;
	/** The answer is in the object store, or every try to store it has failed. */
	bool answer_stored;
	int32_t store_tries;
};

struct dff_request_counters {
	int64_t *started;
	int64_t *completed;
	int64_t *failed;
	int64_t *not_run;
	int64_t *unknown;
	int64_t *retries;
	int64_t *retries_denied;
	int64_t *hedges;
	int64_t *attached;
	int64_t *answers_kept;
	int64_t *answers_dropped;
};

struct dff_requests {
	struct dff_entry *entry;
	struct dff_slots *slots;
	struct dff_retry_budget budget;
	/** struct dff_name * (upstream id) -> struct dff_request *, each with a reference. */
	GHashTable *by_upstream_id;
	/** "TEAM/ID" -> struct dff_request *. */
	GHashTable *by_id;
	/** struct dff_name * (hash) -> struct dff_request *: those that are not idempotent. */
	GHashTable *by_hash;
	/** Elements: struct dff_request *, in state WAITING. */
	GQueue waiting;
	/** Moving average of the time that a worker takes, ms; 0: not known yet. */
	double service_ms;
	struct dff_request_counters counters;
};

/** Returns: a new id that begins with the name of this process. */
struct dff_name dff_request_id_new (struct dff_entry *entry);

/** Returns: "TEAM/ID", with the id for callers. */
char *dff_request_key (const struct dff_request *request);

/** Adds @call to the calls that get the answer. */
void dff_request_attach (struct dff_request *request, struct dff_call *call);

/** Ends the request and sends @answer to all its callers. Takes ownership of @answer. */
void dff_request_finish (struct dff_request *request, struct dff_answer *answer);

/** Ends the request with an error answer. */
void dff_request_fail (struct dff_request *request, const struct dff_problem *problem);

/** Ends a request that cannot be completed. Its outcome is not_run where that is proven, otherwise
 * unknown. Its callers are answered at once. */
void dff_request_give_up (struct dff_request *request, const char *code, int32_t retry_after_s);

struct dff_request *dff_request_ref (struct dff_request *request);

void dff_request_unref (struct dff_request *request);

/** Removes an ended request from all tables. */
void dff_request_remove (struct dff_request *request);

/** Sets the timer of the request, which replaces the previous one. */
void dff_request_set_timer (struct dff_request *request, int64_t due_ms, dff_deadline_func func);

/** Sends the request to a worker, queues it until a slot is free, or ends it when no worker can run
 * it in time. */
void dff_request_dispatch (struct dff_request *request);

/** Sends queued requests while slots are free, and ends those that can no longer get one. */
void dff_requests_dispatch_waiting (struct dff_requests *requests);

/** Records the attempt and then dispatches the request. If the attempt is already recorded, answers
 * from the record. */
void dff_attempt_begin (struct dff_request *request);

/**
 * dff_request_owner_is_gone:
 * @id: id of a request that this process does not have
 *
 * Returns: whether the process that created @id is known to be dead or to have been replaced by a
 * process of the same name. False for ids that callers chose.
 */
bool dff_request_owner_is_gone (struct dff_entry *entry, const struct dff_name *id);

/** Stores the outcome of an ended request where it has to outlive this process, then removes the
 * request. */
void dff_request_store (struct dff_request *request);

#endif
