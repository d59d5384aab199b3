#ifndef DFF_BENCH_PROFILE_H
#define DFF_BENCH_PROFILE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* The deployments that sessions are generated for. */

enum dff_arrivals {
	/** Working hours, and fewer at night. */
	DFF_ARRIVALS_DAY,
	/** All hours equally. */
	DFF_ARRIVALS_EVEN,
	/** Over the night, evenly. */
	DFF_ARRIVALS_EVENING,
	/** A few bursts at random hours of the night, each within minutes. */
	DFF_ARRIVALS_BURSTS,
	/** All at the start. */
	DFF_ARRIVALS_START,
};

#define DFF_PROFILE_SIZES_MAX 6

/** A kind of job. */
struct dff_profile_class {
	const char *service;
	/** Index of the first team and number of teams that submit the class, in equal parts. */
	int first_team, n_teams;
	/** Share of the offered accelerator time; for classes without accelerators, of the slots
	 * that the profile keeps busy. */
	double share;
	enum dff_arrivals arrivals;
	/** Possible numbers of tasks, equally likely, ended by 0. */
	int gangs[DFF_PROFILE_SIZES_MAX + 1];
	/** Possible numbers of accelerators per task, equally likely, ended by -1. */
	int accelerators[DFF_PROFILE_SIZES_MAX + 1];
	int cores, memory_gb;
	bool adjacent;
	/** Actual run time: log-normal. */
	double median_s, sigma;
	/** Declared over actual run time: log-normal, with the class's bias and spread. */
	double declared_bias, declared_sigma;
	double urgent, guaranteed, checkpoint, idempotent, cancelled;
};

struct dff_profile {
	const char *name;
	/** Hour of day at which sessions start, and their length. */
	int start_hour;
	int hours;
	/** Workers, of which a few fail during a session. */
	int n_workers;
	int n_accelerators;
	int n_slots;
	/** Prints the pool file. */
	void (*write_pool) (FILE *out);
	void (*team_name) (int index, char *name, size_t size);
	/** Names worker @index of the pool file. */
	void (*worker_name) (int index, char *name, size_t size);
	const struct dff_profile_class *classes;
	int n_classes;
};

/** Returns: (nullable): "tatrinvest", "cartucho" or "design". */
const struct dff_profile *dff_profile_find (const char *name);

#endif
