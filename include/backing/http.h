#ifndef DFF_BACKING_HTTP_H
#define DFF_BACKING_HTTP_H

#include <glib.h>

#include "backing/instance_list.h"
#include "backing/object_store.h"
#include "backing/table.h"
#include "common/cleanup.h"
#include "common/http_client.h"

/*
 * Clients of the platform's HTTP and JSON services (docs/BACKING.md). When a call gets no answer
 * within its timeout, it ends and its connection is not reused: a connection that no longer answers
 * is replaced within @timeout_ms of the next call on it.
 */

struct dff_http_service_options {
	/** Borrowed; to be freed before the services that use the client. */
	struct dff_http_client *client;
	/** "IP:PORT" of the service. */
	struct dff_name address;
	/** Id of this process, sent with each call as X-Instance; may be empty. */
	struct dff_name instance;
	/** Timeout of a call, ms. */
	int32_t timeout_ms;
};

/** Sets the timeout to 1000 ms. */
void dff_http_service_options_init (struct dff_http_service_options *options);

struct dff_http_table;

/** Returns: (transfer full): a client; sends nothing before the first call. */
struct dff_http_table *dff_http_table_new (const struct dff_http_service_options *options);

void dff_http_table_free (struct dff_http_table *table);

DFF_DEFINE_CLEANUP (dff_http_table, dff_http_table_free);

/** Returns: the interface, valid as long as @table. */
const struct dff_table *dff_http_table_interface (struct dff_http_table *table);

struct dff_http_object_store;

struct dff_http_object_store *
dff_http_object_store_new (const struct dff_http_service_options *options);

void dff_http_object_store_free (struct dff_http_object_store *store);

DFF_DEFINE_CLEANUP (dff_http_object_store, dff_http_object_store_free);

/** Returns: the interface, valid as long as @store. */
const struct dff_object_store *
dff_http_object_store_interface (struct dff_http_object_store *store);

struct dff_http_instance_list;

struct dff_http_instance_list *
dff_http_instance_list_new (const struct dff_http_service_options *options);

void dff_http_instance_list_free (struct dff_http_instance_list *list);

DFF_DEFINE_CLEANUP (dff_http_instance_list, dff_http_instance_list_free);

/** Returns: the interface, valid as long as @list. */
const struct dff_instance_list *
dff_http_instance_list_interface (struct dff_http_instance_list *list);

#endif
