#include "record/breaker.h"

#define FAILURES_TO_OPEN 3
#define BACKOFF_FIRST_MS 200
#define BACKOFF_MAX_MS 5000

int32_t
dff_jitter_ms (GRand *rand, int32_t ms)
{
	return MAX (1, ms / 2 + g_rand_int_range (rand, 0, ms / 2 + 1));
}

void
dff_breaker_init (struct dff_breaker *breaker, GRand *rand)
{
	breaker->state = DFF_BREAKER_CLOSED;
	breaker->failures = 0;
	breaker->backoff_ms = 0;
	breaker->open_until_ms = 0;
	breaker->rand = rand;
}

bool
dff_breaker_begin_probe (struct dff_breaker *breaker, int64_t now_ms)
{
	if (breaker->state != DFF_BREAKER_OPEN || now_ms < breaker->open_until_ms)
		return false;
	breaker->state = DFF_BREAKER_HALF_OPEN;
	return true;
}

void
dff_breaker_add_success (struct dff_breaker *breaker)
{
	breaker->state = DFF_BREAKER_CLOSED;
	breaker->failures = 0;
	breaker->backoff_ms = 0;
}

bool
dff_breaker_add_failure (struct dff_breaker *breaker, int64_t now_ms)
{
	breaker->failures++;
	/* Calls that were sent before the breaker opened still fail. They must not delay the
	 * next probe. */
	if (breaker->state == DFF_BREAKER_OPEN)
		return false;
	if (breaker->state == DFF_BREAKER_CLOSED && breaker->failures < FAILURES_TO_OPEN)
		return false;
	breaker->backoff_ms = breaker->backoff_ms == 0
				      ? BACKOFF_FIRST_MS
				      : MIN (2 * breaker->backoff_ms, BACKOFF_MAX_MS);
	breaker->open_until_ms = now_ms + dff_jitter_ms (breaker->rand, breaker->backoff_ms);
	breaker->state = DFF_BREAKER_OPEN;
	return true;
}
