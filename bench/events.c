#include "bench/events.h"

static struct dff_answer *
at (const struct dff_answer_queue *queue, guint index)
{
	return &g_array_index (queue->heap, struct dff_answer, index);
}

static bool
before (const struct dff_answer *one, const struct dff_answer *other)
{
	if (one->time_ms != other->time_ms)
		return one->time_ms < other->time_ms;
	return one->sequence < other->sequence;
}

static void
swap (struct dff_answer *one, struct dff_answer *other)
{
	struct dff_answer kept = *one;
	*one = *other;
	*other = kept;
}

void
dff_answer_queue_push (struct dff_answer_queue *queue, struct dff_answer answer)
{
	answer.sequence = ++queue->last_sequence;
	g_array_append_val (queue->heap, answer);
	guint index = queue->heap->len - 1;
	while (index > 0 && before (at (queue, index), at (queue, (index - 1) / 2))) {
		swap (at (queue, index), at (queue, (index - 1) / 2));
		index = (index - 1) / 2;
	}
}

int64_t
dff_answer_queue_next_ms (const struct dff_answer_queue *queue)
{
	return queue->heap->len > 0 ? at (queue, 0)->time_ms : INT64_MAX;
}

static guint
earlier_child (const struct dff_answer_queue *queue, guint index)
{
	guint left = 2 * index + 1;
	guint right = left + 1;
	if (right < queue->heap->len && before (at (queue, right), at (queue, left)))
		return right;
	return left;
}

struct dff_answer
dff_answer_queue_pop (struct dff_answer_queue *queue)
{
	struct dff_answer first = *at (queue, 0);
	swap (at (queue, 0), at (queue, queue->heap->len - 1));
	g_array_set_size (queue->heap, queue->heap->len - 1);
	guint index = 0;
	while (2 * index + 1 < queue->heap->len) {
		guint child = earlier_child (queue, index);
		if (!before (at (queue, child), at (queue, index)))
			break;
		swap (at (queue, index), at (queue, child));
		index = child;
	}
	return first;
}
