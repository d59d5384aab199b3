#ifndef DFF_RECORD_BREAKER_H
#define DFF_RECORD_BREAKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A circuit breaker. It opens after consecutive failures, lets one probe through after a jittered
 * backoff, and closes when the probe succeeds. */

enum dff_breaker_state {
	DFF_BREAKER_CLOSED,
	/** No call is sent until the backoff ends. */
	DFF_BREAKER_OPEN,
	/** One probe is in flight. */
	DFF_BREAKER_HALF_OPEN,
};

struct dff_breaker {
	enum dff_breaker_state state;
	int32_t failures;
	/** Last backoff before jitter, ms; 0: none since the last success. */
	int32_t backoff_ms;
	int64_t open_until_ms;
	GRand *rand;
};

/** @rand: borrowed. */
void dff_breaker_init (struct dff_breaker *breaker, GRand *rand);

/** Returns: whether a probe may be sent; if so, the breaker is half-open. */
bool dff_breaker_begin_probe (struct dff_breaker *breaker, int64_t now_ms);

/** Counts a call that got a definite answer. Closes the breaker. */
void dff_breaker_add_success (struct dff_breaker *breaker);

/** Counts a failed call. Returns: whether this failure opened the breaker. */
bool dff_breaker_add_failure (struct dff_breaker *breaker, int64_t now_ms);

/** Returns: a random time from half of @ms to @ms, at least 1, so that processes that failed at the
 * same time do not retry at the same time. */
int32_t dff_jitter_ms (GRand *rand, int32_t ms);

#endif
