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
 * State of short requests, shared by request.c (life), dispatch.c (way to a worker) and attempt.c
 * (record of those that are not idempotent).
 */

enum dff_request_state {
	/** Its attempt is being put on record, or another process's is waited for. */
	DFF_REQUEST_RECORDING,
	/** Waits for a slot, in order. */
	DFF_REQUEST_WAITING,
	/** Waits before it goes to another worker. */
	DFF_REQUEST_BACKING_OFF,
	DFF_REQUEST_SENT,
	/** Has its final answer; kept until the answer is stored, where it must be. */
	DFF_REQUEST_ENDED,
};

struct dff_request {
	struct dff_requests *owner;
	int32_t refs;
	enum dff_request_state state;
	/** What the caller knows it by; unique within the team. */
	struct dff_name id;
	/** What workers know it by; unique in the system. */
	struct dff_name upstream_id;
	struct dff_name team;
	struct dff_name service;
	GString *body;
	bool idempotent;
	int64_t deadline_ms;
	int32_t n_sent;
	/** Workers that have it and have not answered. */
	int32_t n_outstanding;
	/** Where it was sent last. */
	struct dff_name worker;
	/** It was sent, and it is not known what became of it. */
	bool maybe_ran;
	/** It has ended, and this process never sent it to a worker that may have taken it. */
	bool proven_not_run;
	/** What is known of it while this process has put nothing on record. */
	enum dff_outcome refusal_outcome;
	struct dff_span span;
	/** The one deadline that it waits for. */
	struct dff_deadline *timer;
	/** Elements: struct dff_call *, each with a reference. */
	GPtrArray *calls;
	struct dff_answer *answer;
	/** Some caller's connection broke before the answer. */
	bool caller_disconnected;

	/* Not idempotent only. */
	/** Hash of the Idempotency-Key. */
	struct dff_name hash;
	/** SHA-256 of the body. */
	char digest[DFF_DIGEST_HEX_LEN + 1];
	/** The write of the attempt's row is under way; holds a reference. */
	bool recording;
	uint64_t ticket;
	struct dff_span record_span;
	/** Revision of the attempt's row when this process wrote it; 0: it did not. */
	int64_t revision;
	/** When another process's open attempt was first seen; 0: never. */
	int64_t open_since_ms;
	int32_t n_restarts;
	/** The answer is in the object store. */
	bool answer_kept;
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
	/** Elements: struct dff_request *, state WAITING. */
	GQueue waiting;
	/** Moving average of the time a worker takes, ms; 0: not known yet. */
	double service_ms;
	struct dff_request_counters counters;
};

/** Returns: a new id that begins with this process's name. */
struct dff_name dff_request_id_new (struct dff_entry *entry);

/** Returns: "TEAM/ID", which callers know the request by. */
char *dff_request_key (const struct dff_request *request);

/** Adds @call to those who get the answer. */
void dff_request_attach (struct dff_request *request, struct dff_call *call);

/** Ends the request: everybody gets @answer, which is taken over. */
void dff_request_finish (struct dff_request *request, struct dff_answer *answer);

/** Ends the request with a problem. */
void dff_request_fail (struct dff_request *request, const struct dff_problem *problem);

/** Gives a request up that cannot be brought to an end: not_run where that is proven, else unknown.
 * Its callers get the answer at once. */
void dff_request_give_up (struct dff_request *request, const char *code, int32_t retry_after_s);

struct dff_request *dff_request_ref (struct dff_request *request);

void dff_request_unref (struct dff_request *request);

/** Forgets an ended request. */
void dff_request_remove (struct dff_request *request);

/** Sets the deadline that the request waits for, in place of the former one. */
void dff_request_set_timer (struct dff_request *request, int64_t due_ms, dff_deadline_func func);

/** Sends the request to a worker, or lets it wait for a slot, or gives it up. */
void dff_request_dispatch (struct dff_request *request);

/** Sends on who waits for a slot, and gives up who cannot get one any more. */
void dff_requests_dispatch_waiting (struct dff_requests *requests);

/** Puts the attempt on record, then dispatches; or answers from the record. */
void dff_attempt_begin (struct dff_request *request);

/**
 * dff_request_owner_is_gone:
 * @id: of a request that this process does not have
 *
 * Returns: whether the process that made @id is known to be dead, or to have been replaced by a
 * process of the same name. Not known of ids that callers chose.
 */
bool dff_request_owner_is_gone (struct dff_entry *entry, const struct dff_name *id);

/** Stores the outcome of an ended request where it must outlive this process, then forgets it. */
void dff_request_store (struct dff_request *request);

#endif
