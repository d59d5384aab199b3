#include <arpa/inet.h>
#include <event2/util.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench/slopes/site.h"
#include "bench/slopes/slopes.h"
#include "common/event_loop.h"

/* Measures memory and processor time for each open caller connection of a daemon, and for each
 * connection to an upstream. The remote ends are plain sockets without memory of their own; kernel
 * buffers are not counted. */

#define SETTLE_MS 300
#define MEASURE_MS 1000
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
#define PROBE "GET /healthz HTTP/1.1\r\nHost: localhost\r\n\r\n"
#define BUFFER_BYTES 4096

static void
send_all (int fd, const char *text)
{
	ssize_t sent = send (fd, text, strlen (text), MSG_NOSIGNAL);
	g_assert (sent == (ssize_t)strlen (text));
}

static int
connect_to (const struct dff_name *address)
{
	struct sockaddr_storage target;
	int len = sizeof (target);
	if (evutil_parse_sockaddr_port (address->data, (struct sockaddr *)&target, &len) != 0)
		g_error ("%s: not an address", address->data);
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || connect (fd, (struct sockaddr *)&target, (socklen_t)len) != 0)
		g_error ("cannot connect to %s", address->data);
	return fd;
}

/** Opens connections up to @n in all; each sends one request and stays open. */
static void
open_callers (struct site *site, GArray *fds, guint n)
{
	while (fds->len < n) {
		int fd = connect_to (site_address (site, 0));
		send_all (fd, PROBE);
		g_array_append_val (fds, fd);
		if (fds->len % 100 == 0)
			site_run (site, 10);
	}
	site_run (site, SETTLE_MS);
}

static void
close_all (GArray *fds)
{
	for (guint i = 0; i < fds->len; i++)
		close (g_array_index (fds, int, i));
	g_array_unref (fds);
}

static void
callers (struct slopes *slopes)
{
	static const struct slope_axes bytes = {"connections_caller_bytes", "open callers",
						"bytes of the daemon"};
	static const struct slope_axes cpu = {"connections_caller_cpu_percent", "open callers",
					      "% of a core"};
	static const struct slope_axes arrival = {"connections_arrival_cpu_ms",
						  "callers that connect and ask once",
						  "ms of processor time with that of the callers"};
	static const guint sizes[] = {100, 500, 1000, 2000, 4000};
	struct site_options options = {1, 1, 0, 1};
	DFF_AUTO (site) site = site_new (&options);
	GArray *fds = g_array_sized_new (FALSE, FALSE, sizeof (int), 4000);
	site_run (site, MEASURE_MS);
	int64_t before = slopes_heap_bytes ();
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++) {
		guint n_before = fds->len;
		double arrival_us = slopes_cpu_us ();
		open_callers (site, fds, sizes[i]);
		slopes_add (slopes, &arrival, fds->len - n_before,
			    (slopes_cpu_us () - arrival_us) / 1e3);
		slopes_add (slopes, &bytes, sizes[i], (double)(slopes_heap_bytes () - before));
		double start_us = slopes_cpu_us ();
		site_run (site, MEASURE_MS);
		slopes_add (slopes, &cpu, sizes[i],
			    (slopes_cpu_us () - start_us) / (MEASURE_MS * 1e3) * 100);
	}
	close_all (fds);
}

static int
listen_any (struct dff_name *address)
{
	struct sockaddr_in any = {.sin_family = AF_INET};
	socklen_t len = sizeof (any);
	any.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0 || bind (fd, (struct sockaddr *)&any, sizeof (any)) != 0 ||
	    listen (fd, SOMAXCONN) != 0)
		g_error ("cannot listen");
	getsockname (fd, (struct sockaddr *)&any, &len);
	*address = dff_name_printf ("127.0.0.1:%d", ntohs (any.sin_port));
	return fd;
}

static void
count_answer (void *user, const struct dff_http_response *response)
{
	g_assert (response->outcome == DFF_HTTP_ANSWERED);
	*(guint *)user += 1;
}

/** Accepts the pending connections and answers all requests received. */
static void
serve (int listener, GArray *fds)
{
	char buffer[BUFFER_BYTES];
	int accepted;
	while ((accepted = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		g_array_append_val (fds, accepted);
	for (guint i = 0; i < fds->len; i++) {
		int fd = g_array_index (fds, int, i);
		if (recv (fd, buffer, sizeof (buffer), 0) > 0)
			send_all (fd, ANSWER);
	}
}

static void
measure_upstream (struct slopes *slopes, guint n)
{
	static const struct slope_axes bytes = {"connections_upstream_bytes",
						"upstream connections", "bytes of the client"};
	struct event_base *base = dff_event_base_new ();
	struct dff_metrics *metrics = dff_metrics_new ();
	struct dff_http_client_options options;
	dff_http_client_options_init (&options);
	options.base = base;
	options.metrics = metrics;
	options.max_connections = (int32_t)n;
	struct dff_http_client *client = dff_http_client_new (&options);
	struct dff_http_request request = {
		.method = EVHTTP_REQ_GET, .path = "/", .timeout_ms = 5000};
	int listener = listen_any (&request.address);
	GArray *fds = g_array_sized_new (FALSE, FALSE, sizeof (int), n);
	guint n_answered = 0;
	int64_t before = slopes_heap_bytes ();
	for (guint i = 0; i < n; i++)
		dff_http_client_send (client, &request, count_answer, &n_answered);
	while (n_answered < n) {
		event_base_loop (base, EVLOOP_NONBLOCK);
		serve (listener, fds);
	}
	slopes_add (slopes, &bytes, fds->len, (double)(slopes_heap_bytes () - before));
	dff_http_client_free (client);
	close_all (fds);
	close (listener);
	dff_metrics_free (metrics);
	event_base_free (base);
}

void
slopes_connections (struct slopes *slopes)
{
	static const guint sizes[] = {50, 100, 200, 400, 800};
	callers (slopes);
	for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
		measure_upstream (slopes, sizes[i]);
}
