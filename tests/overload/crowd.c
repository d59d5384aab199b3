#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/** Time without any progress after which the crowd stops sending, ms. */
#define STALL_MS 1000
/** Time for which a client waits for its connection, ms. The attempt goes on after it, as the queue
 * of a listener that accepts no more stays full. */
#define CONNECT_MS 200

struct client {
	int fd;
	/** Bytes sent so far, of the head and of the units after it. */
	size_t n_sent;
	bool done;
};

struct crowd {
	struct crowd_options options;
	struct client *clients;
	struct pollfd *polls;
	/** Process that replaces the connections; 0: none. */
	pid_t replacer;
};

static int
connect_to (uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons (port),
				      .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert (fd >= 0);
	if (connect (fd, (struct sockaddr *)&address, sizeof (address)) != 0)
		g_assert (errno == EINPROGRESS);
	struct pollfd connected = {.fd = fd, .events = POLLOUT};
	poll (&connected, 1, CONNECT_MS);
	return fd;
}

struct crowd *
crowd_new (const struct crowd_options *options)
{
	struct crowd *crowd = g_new0 (struct crowd, 1);
	crowd->options = *options;
	crowd->clients = g_new0 (struct client, options->n_clients);
	crowd->polls = g_new0 (struct pollfd, options->n_clients);
	for (int i = 0; i < options->n_clients; i++)
		crowd->clients[i].fd = connect_to (options->port);
	return crowd;
}

/* Returns: the next bytes of a client; their length is 0 once it has sent all. */
static size_t
next_bytes (const struct crowd_options *options, size_t n_sent, const char **data)
{
	if (n_sent < options->head_len) {
		*data = options->head + n_sent;
		return options->head_len - n_sent;
	}
	size_t n_repeated = n_sent - options->head_len;
	if (n_repeated >= options->n_bytes)
		return 0;
	size_t offset = n_repeated % options->unit_len;
	*data = options->unit + offset;
	return MIN (options->unit_len - offset, options->n_bytes - n_repeated);
}

/* Returns: whether the client got rid of a byte. */
static bool
client_send (struct client *client, const struct crowd_options *options)
{
	const char *data = NULL;
	size_t length = next_bytes (options, client->n_sent, &data);
	if (length == 0) {
		client->done = true;
		return true;
	}
	ssize_t sent = send (client->fd, data, length, MSG_NOSIGNAL);
	if (sent < 0) {
		client->done = errno != EAGAIN && errno != EINTR;
		return false;
	}
	client->n_sent += (size_t)sent;
	return sent > 0;
}

/* Returns: whether any client got rid of a byte. */
static bool
send_once (struct crowd *crowd)
{
	struct pollfd *polls = crowd->polls;
	int n = crowd->options.n_clients;
	bool progress = false;
	for (int i = 0; i < n; i++)
		polls[i] = (struct pollfd){.fd = crowd->clients[i].done ? -1 : crowd->clients[i].fd,
					   .events = POLLOUT};
	poll (polls, (nfds_t)n, STALL_MS);
	for (int i = 0; i < n; i++) {
		if (!crowd->clients[i].done && polls[i].revents != 0)
			progress |= client_send (&crowd->clients[i], &crowd->options);
	}
	return progress;
}

void
crowd_send (struct crowd *crowd)
{
	while (send_once (crowd))
		continue;
}

static void
replace_client (struct crowd *crowd, struct client *client)
{
	close (client->fd);
	*client = (struct client){.fd = connect_to (crowd->options.port)};
	client_send (client, &crowd->options);
}

void
crowd_start_replacing (struct crowd *crowd)
{
	crowd->replacer = fork ();
	if (crowd->replacer != 0)
		return;
	prctl (PR_SET_PDEATHSIG, SIGKILL);
	for (int i = 0; i < CROWD_REPLACED_MAX; i++)
		replace_client (crowd, &crowd->clients[i % crowd->options.n_clients]);
	_exit (0);
}

void
crowd_free (struct crowd *crowd)
{
	if (crowd->replacer > 0) {
		kill (crowd->replacer, SIGKILL);
		waitpid (crowd->replacer, NULL, 0);
	}
	for (int i = 0; i < crowd->options.n_clients; i++)
		close (crowd->clients[i].fd);
	g_free (crowd->polls);
	g_free (crowd->clients);
	g_free (crowd);
}
