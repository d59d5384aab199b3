#ifndef DFF_PLATFORM_HTTP_ROWS_H
#define DFF_PLATFORM_HTTP_ROWS_H

#include "common/cleanup.h"
#include "common/http_client.h"
#include "rows/rows.h"

/* The platform's store as struct dff_rows, over HTTP/1.1 and JSON. */

struct dff_http_rows;

/**
 * dff_http_rows_new:
 * @client: borrowed; used for nothing that may fill its connections to @address
 * @address: "IP:PORT" of the store
 *
 * Returns: (transfer full): the client.
 */
struct dff_http_rows *dff_http_rows_new (struct dff_http_client *client,
					 const struct dff_name *address);

void dff_http_rows_free (struct dff_http_rows *rows);

DFF_DEFINE_CLEANUP (dff_http_rows, dff_http_rows_free);

/** Returns: (transfer none): the store, valid as long as @rows. */
const struct dff_rows *dff_http_rows_interface (struct dff_http_rows *rows);

#endif
