#ifndef DFF_RECORD_BREAKER_H
#define DFF_RECORD_BREAKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A circuit breaker: opens after consecutive failures, lets one call try after a jittered back-off,
 * and closes when that succeeds. */

enum dff_breaker_state {
	DFF_BREAKER_CLOSED,
	/** Nothing is sent until the back-off ends. */
	DFF_BREAKER_OPEN,
	/** One call is trying. */
	DFF_BREAKER_HALF_OPEN,
};

struct dff_breaker {
	enum dff_breaker_state state;
	int32_t failures;
	/** Length of the last back-off before jitter, ms. */
	int32_t backoff_ms;
	int64_t open_until_ms;
	GRand *rand;
};

/** @rand: borrowed. */
void dff_breaker_init (struct dff_breaker *breaker, GRand *rand);

/** Returns: whether a call may be sent to try the store; the breaker is half-open then. */
bool dff_breaker_begin_probe (struct dff_breaker *breaker, int64_t now_ms);

/** A call got a definite answer. */
void dff_breaker_add_success (struct dff_breaker *breaker);

/** A call failed. Returns: whether the breaker opened by it. */
bool dff_breaker_add_failure (struct dff_breaker *breaker, int64_t now_ms);

/** Returns: a time between half of @ms and @ms, at least 1, so that processes that failed together
 * do not return together. */
int32_t dff_jitter_ms (GRand *rand, int32_t ms);

#endif
