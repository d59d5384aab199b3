#ifndef DFF_PLATFORM_HTTP_ROWS_H
#define DFF_PLATFORM_HTTP_ROWS_H

#include "common/cleanup.h"
#include "common/http_client.h"
#include "rows/rows.h"

/* Implements struct dff_rows by the platform's store, over HTTP/1.1 and JSON. */

struct dff_http_rows;

/**
 * dff_http_rows_new:
 * @client: borrowed; must not be used for calls that may occupy all its connections to @address
 * @address: "IP:PORT" of the store
 *
 * Returns: (transfer full): the client.
 */
struct dff_http_rows *dff_http_rows_new (struct dff_http_client *client,
					 const struct dff_name *address);

void dff_http_rows_free (struct dff_http_rows *rows);

DFF_DEFINE_CLEANUP (dff_http_rows, dff_http_rows_free);

/** Returns: (transfer none): the interface, valid as long as @rows. */
const struct dff_rows *dff_http_rows_interface (struct dff_http_rows *rows);

#endif
