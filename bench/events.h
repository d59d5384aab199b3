#ifndef DFF_BENCH_EVENTS_H
#define DFF_BENCH_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Queue of pending answers, by time, then by the order in which they were sent. */

enum dff_answer_type {
	DFF_ANSWER_RECORDED,
	DFF_ANSWER_STARTED,
	DFF_ANSWER_CHECKPOINTED,
	DFF_ANSWER_STOPPED,
	DFF_ANSWER_FAILED,
	DFF_ANSWER_LOST,
	DFF_ANSWER_FINISHED,
	DFF_ANSWER_OUTCOME_RECORDED,
};

struct dff_answer {
	int64_t time_ms;
	int64_t sequence;
	enum dff_answer_type type;
	/** Index of the job in the replay's table. */
	uint32_t job;
	int32_t attempt;
	int32_t member;
};

/** A binary heap. */
struct dff_answer_queue {
	GArray *heap; /**< Elements: struct dff_answer. */
	int64_t last_sequence;
};

void dff_answer_queue_push (struct dff_answer_queue *queue, struct dff_answer answer);

/** Returns: time of the next answer, INT64_MAX: none. */
int64_t dff_answer_queue_next_ms (const struct dff_answer_queue *queue);

/** Removes and returns the next answer. The queue must not be empty. */
struct dff_answer dff_answer_queue_pop (struct dff_answer_queue *queue);

#endif
