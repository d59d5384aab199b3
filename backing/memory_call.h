#ifndef DFF_BACKING_MEMORY_CALL_H
#define DFF_BACKING_MEMORY_CALL_H

#include "backing/memory_instances.h"
#include "backing/memory_store.h"

/* Pending calls to the in-memory platform: arguments, effect, result. */

enum dff_memory_call_kind {
	DFF_CALL_GET,
	DFF_CALL_SCAN,
	DFF_CALL_COMMIT,
	DFF_CALL_LOOKUP,
	DFF_CALL_PUT,
	DFF_CALL_OBJECT_GET,
	DFF_CALL_LIST,
};

/** A pending call; freed after its last event. */
struct dff_memory_call {
	enum dff_memory_call_kind kind;
	/** NULL once the handle is closed. */
	struct dff_memory_handle *handle;
	int events_left;
	/** The result is UNCERTAIN, whether the call took effect or not. */
	bool answer_lost;

	GPtrArray *keys;
	GBytes *key;
	GBytes *data;
	int64_t after;
	size_t limit;
	struct dff_table_txn *txn;
	struct dff_name write_id;

	dff_table_func table_done;
	dff_object_func object_done;
	dff_instance_list_func list_done;
	void *user;

	bool available;
	enum dff_table_outcome outcome;
	enum dff_object_outcome object_outcome;
	int64_t revision;
	bool more;
	GPtrArray *rows;
	GBytes *object;
	GArray *instances;
};

struct dff_memory_call *
dff_memory_call_new (struct dff_memory_handle *handle, enum dff_memory_call_kind kind, void *user);

void dff_memory_call_free (struct dff_memory_call *call);

/** Executes the read or write and stores the result in @call. */
void dff_memory_call_take_effect (struct dff_memory_call *call,
				  struct dff_memory_store *store,
				  struct dff_memory_instances *instances,
				  int64_t now_ms);

/** Runs the callback, unless the handle is closed. */
void dff_memory_call_answer (const struct dff_memory_call *call);

#endif
