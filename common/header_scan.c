#include "common/header_scan.h"

/** Bytes that are looked at together. */
#define STEP_BYTES 4096

void
dff_header_scan_reset (struct dff_header_scan *scan)
{
	*scan = (struct dff_header_scan){.at_line_start = true};
}

static void
read_byte (struct dff_header_scan *scan, char byte)
{
	if (byte == '\n') {
		scan->complete = scan->at_line_start && scan->n_lines > 0;
		scan->n_lines++;
		scan->at_line_start = true;
	} else if (byte != '\r') {
		scan->at_line_start = false;
	}
}

void
dff_header_scan_update (struct dff_header_scan *scan, struct evbuffer *input, size_t offset)
{
	char bytes[STEP_BYTES];
	struct evbuffer_ptr position;
	while (!scan->complete && offset < evbuffer_get_length (input)) {
		evbuffer_ptr_set (input, &position, offset, EVBUFFER_PTR_SET);
		ev_ssize_t n = evbuffer_copyout_from (input, &position, bytes, sizeof (bytes));
		if (n <= 0)
			return;
		for (ev_ssize_t i = 0; i < n && !scan->complete; i++)
			read_byte (scan, bytes[i]);
		offset += (size_t)n;
	}
}
