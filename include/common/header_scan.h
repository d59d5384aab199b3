#ifndef DFF_COMMON_HEADER_SCAN_H
#define DFF_COMMON_HEADER_SCAN_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>

/* Follows the request line and the headers of an HTTP request while they arrive: evhttp reports a
 * request only once it is complete. */

struct dff_header_scan {
	/** Number of lines that have arrived, with the request line. */
	size_t n_lines;
	bool at_line_start;
	/** Whether the empty line at the end of the headers has arrived. */
	bool complete;
};

/** To be called before the first byte of a request. */
void dff_header_scan_reset (struct dff_header_scan *scan);

/** Reads the bytes of @input from @offset on. Bytes after the headers are ignored. */
void dff_header_scan_update (struct dff_header_scan *scan, struct evbuffer *input, size_t offset);

#endif
