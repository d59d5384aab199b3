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
 * Two entry processes in one program. They share a platform in memory under a virtual clock, have
 * real sockets on loopback for callers, and fake workers behind the worker interface. There is no
 * holder: a test ends jobs itself, as the holder of the cell would.
 */

#define HARNESS_PROCESSES 2
/** Virtual time after which waiting for a response fails, ms. */
#define HARNESS_TIMEOUT_MS 120000

struct harness;

struct harness_process {
	struct harness *harness;
	/** Number of earlier processes with this name. */
	uint64_t n_restarts;
	struct dff_name name;
	struct dff_settings *settings;
	struct dff_metrics *metrics;
	struct dff_tracer *tracer;
	struct dff_memory_handle *platform;
	/** Platform handle of the entry's own reads and writes, with the same faults as @platform.
	 * It outlives a killed process, so that late answers arrive at an entry that is already
	 * freed. */
	struct dff_memory_handle *entry_platform;
	struct dff_recorder *recorder;
	struct dff_peer *peer;
	struct dff_cell *cell;
	struct dff_entry *entry; /**< NULL: killed. */
	struct dff_pool *pool;
};

/** The answer of a worker to one request. */
struct harness_answer {
	enum dff_worker_outcome outcome;
	int status;
	char *body;
	bool leaving;
	/** The worker does not answer before harness_release(). At the request's deadline the
	 * outcome is UNCERTAIN. */
	bool held;
};

struct harness {
	struct event_base *base;
	struct dff_clock_virtual clock;
	struct dff_memory *memory;
	struct dff_memory_handle *holder;
	struct dff_worker_client workers;
	struct harness_process processes[HARNESS_PROCESSES];
	/** Elements: struct harness_answer *, for the next requests in order. When the queue is
	 * empty, workers answer with the body of the request. */
	GQueue answers;
	/** Elements: struct harness_sent *, requests that workers have not answered yet. */
	GQueue sent;
	/** Number of requests that workers ran or may have run. */
	int32_t n_run;
	struct dff_instance instances[4];
	size_t n_instances;
	uint64_t n_writes;
	/** (nullable): called when a worker runs, or may run, a request. */
	void (*on_run) (void *ctx, struct dff_str body);
	void *on_run_ctx;
	/** Spans that ended, one JSON object per line. */
	GString *spans;
	/** traceparent of the last request to a worker. */
	char traceparent[DFF_TRACEPARENT_LEN + 1];
	/** Paths; NULL: plain HTTP. */
	const char *certificate, *key;
	/** The chunk of a result at this offset is not written; -1: all chunks are. */
	int64_t missing_chunk_offset;
};

struct harness *harness_new (void);

/** Like harness_new(), with TLS for callers. */
struct harness *harness_new_tls (const char *certificate, const char *key);

void harness_free (struct harness *harness);

/** Advances the clock by 1 ms and runs all processes. */
void harness_step (struct harness *harness);

void harness_run (struct harness *harness, int64_t ms);

/** Applies the pool of the tests in every process. */
void harness_set_pool (struct harness *harness);

/** Grants every process @slots slots (0: none) at each of two workers, valid for @valid_ms. */
void harness_grant (struct harness *harness, int32_t slots, int32_t valid_ms);

/** Marks a worker as leaving in the instance list. */
void harness_set_listed_leaving (struct harness *harness, const char *worker);

/** Kills the process at once. */
void harness_kill (struct harness *harness, int process);

/** Kills the process and starts another one with the same name at once. */
void harness_replace (struct harness *harness, int process);

/** Sets the worker's answer to the next request. @body is copied. */
void harness_next_answer (struct harness *harness, const struct harness_answer *answer);

/** Answers the oldest request that is held. */
void harness_release (struct harness *harness, int status, const char *body);

/** Ends a job as the holder would. @result: (nullable). */
void harness_end_job (struct harness *harness,
		      const struct dff_name *job,
		      enum dff_outcome outcome,
		      const char *result);

/** Writes an object without injected faults. */
void harness_put_object (struct harness *harness, const char *key, const char *text);

/** A caller's connection. */
struct harness_client {
	struct harness *harness;
	struct bufferevent *bev; /**< NULL: disconnected. */
	GString *received;
	bool closed;
};

struct harness_client *harness_connect (struct harness *harness, int process);

/** Like harness_connect(), over TLS; the server certificate is not verified. */
struct harness_client *harness_connect_tls (struct harness *harness, int process, SSL_CTX *tls);

void harness_client_free (struct harness_client *client);

void harness_client_send (struct harness_client *client, const char *bytes, size_t len);

/** Returns: whether a complete response was received. */
bool harness_client_is_whole (const struct harness_client *client);

/** Runs until a complete response was received or the connection is closed. Returns: whether a
 * complete response was received. */
bool harness_client_wait (struct harness_client *client);

/** Returns: status of the received response; 0: none. */
int harness_client_status (const struct harness_client *client);

#endif
