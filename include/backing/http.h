#ifndef DFF_BACKING_HTTP_H
#define DFF_BACKING_HTTP_H

#include <glib.h>

#include "backing/instance_list.h"
#include "backing/object_store.h"
#include "backing/table.h"
#include "common/cleanup.h"
#include "common/http_client.h"

/*
 * The platform over HTTP and JSON, as docs/BACKING.md describes it. A call that gets no answer
 * within its timeout ends, and the connection it was on is not used again, so that a connection
 * that has gone silent is noticed within @timeout_ms of the next call on it and replaced.
 */

struct dff_http_service_options {
	/** Borrowed. To be freed before the services that use it. */
	struct dff_http_client *client;
	/** "IP:PORT" of the service. */
	struct dff_name address;
	/** This process, sent with each call as X-Instance; may be empty. */
	struct dff_name instance;
	/** Longest time of a call, ms. */
	int32_t timeout_ms;
};

/** Sets the timeout to 1000 ms. */
void dff_http_service_options_init (struct dff_http_service_options *options);

struct dff_http_table;

/** Returns: (transfer full): nothing is sent before the first call. */
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
