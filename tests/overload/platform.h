#ifndef DFF_TESTS_OVERLOAD_PLATFORM_H
#define DFF_TESTS_OVERLOAD_PLATFORM_H

/* Stand-in of the platform for processes of the fleet: the store of rows, and workers that end
 * each run as soon as it is started. Speaks the published protocol as far as these tests use it. */

struct platform_options {
	/** Listening sockets of the store and of each worker. */
	int store_fd;
	const int *worker_fds;
	/** Row "config" of the operators, JSON. */
	const char *config;
	/** Row of each worker, JSON. */
	char *const *workers;
	int n_workers;
	/** Receives a byte for each call to the store, unless it is full. Non-blocking. */
	int events_fd;
};

/** Serves until the process is killed. */
void platform_run (const struct platform_options *options) __attribute__ ((noreturn));

#endif
