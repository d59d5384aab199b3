#ifndef DFF_TESTS_ENTRY_HARNESS_H
#define DFF_TESTS_ENTRY_HARNESS_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <stdbool.h>

#include "backing/memory.h"
#include "cell/cell.h"
#include "common/clock.h"
#include "entry/entry.h"
#include "peer/peer.h"
#include "record/recorder.h"
#include "upstream/worker_client.h"

/*
 * Two entries in one process, on one platform in memory under a virtual clock, with real sockets on
 * loopback towards callers and fake workers behind the interface. Nothing decides about jobs: a
 * test ends them itself, as the holder of the cell would.
 */

#define HARNESS_PROCESSES 2
/** Virtual ms after which a wait for a socket has failed. */
#define HARNESS_TIMEOUT_MS 120000

struct harness;

struct harness_process {
	struct harness *harness;
	/** Processes that had this name before. */
	uint64_t n_restarts;
	struct dff_name name;
	struct dff_settings *settings;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	struct dff_memory_handle *platform;
	/** What the entry itself reads and keeps; has the faults of @platform, and outlives a
	 * killed process, so that late answers come to an entry that is gone. */
	struct dff_memory_handle *entry_platform;
	struct dff_recorder *recorder;
	struct dff_peer *peer;
	struct dff_cell *cell;
	struct dff_entry *entry; /**< NULL: killed. */
	struct dff_pool *pool;
};

/** What a worker does with one request. */
struct harness_answer {
	enum dff_worker_outcome outcome;
	int status;
	char *body;
	bool leaving;
	/** No answer until harness_release(), or UNCERTAIN at its deadline. */
	bool held;
};

struct harness {
	struct event_base *base;
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *holder;
	struct dff_worker_client workers;
	struct harness_process processes[HARNESS_PROCESSES];
	/** Elements: struct harness_answer *, for the next requests; then workers echo. */
	GQueue answers;
	/** Elements: struct harness_sent *, requests at workers. */
	GQueue sent;
	/** Requests that workers ran, or may have run. */
	int32_t n_run;
	struct dff_instance instances[4];
	size_t n_instances;
	uint64_t n_writes;
	/** (nullable): called when a worker runs, or may run, a request. */
	void (*on_run) (void *ctx, struct dff_str body);
	void *on_run_ctx;
	/** Spans that ended, one JSON object a line. */
	GString *spans;
	/** What the last request at a worker carried. */
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	/** Paths; NULL: plain HTTP. */
	const char *certificate, *key;
	/** Parts of results at this offset are not written; -1: all are. */
	int64_t missing_chunk_offset;
};

struct harness *harness_new (void);

/** Like harness_new(), with TLS towards callers. */
struct harness *harness_new_tls (const char *certificate, const char *key);

void harness_free (struct harness *harness);

/** Lets one ms pass. */
void harness_step (struct harness *harness);

void harness_run (struct harness *harness, int64_t ms);

/** Puts the pool of the tests in force in every process. */
void harness_set_pool (struct harness *harness);

/** Grants every process @slots slots at each of two workers, 0: none, for @valid_ms. */
void harness_grant (struct harness *harness, int32_t slots, int32_t valid_ms);

/** Says in the instance list that a worker is leaving. */
void harness_set_listed_leaving (struct harness *harness, const char *worker);

/** The process dies at once. */
void harness_kill (struct harness *harness, int process);

/** The process dies, and another one starts under its name at once. */
void harness_replace (struct harness *harness, int process);

/** What the next request meets. @body is copied. */
void harness_next_answer (struct harness *harness, const struct harness_answer *answer);

/** Answers the first held request. */
void harness_release (struct harness *harness, int status, const char *body);

/** Ends a job as the holder would. @result: (nullable). */
void harness_end_job (struct harness *harness,
		      const struct dff_name *job,
		      enum dff_outcome outcome,
		      const char *result);

/** Writes an object past all faults. */
void harness_put_object (struct harness *harness, const char *key, const char *text);

/** A caller's connection. */
struct harness_client {
	struct harness *harness;
	struct bufferevent *bev; /**< NULL: hung up. */
	GString *received;
	bool closed;
};

struct harness_client *harness_connect (struct harness *harness, int process);

/** Like harness_connect(), over TLS; whoever answers is trusted. */
struct harness_client *harness_connect_tls (struct harness *harness, int process, SSL_CTX *tls);

void harness_client_free (struct harness_client *client);

void harness_client_send (struct harness_client *client, const char *bytes, size_t len);

/** Whether a whole response has come. */
bool harness_client_is_whole (const struct harness_client *client);

/** Lets time pass until a whole response has come or the connection is closed. Returns: whether it
 * has. */
bool harness_client_wait (struct harness_client *client);

/** Returns: status of the response that came; 0: none. */
int harness_client_status (const struct harness_client *client);

#endif
