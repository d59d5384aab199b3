#include "relay/message.h"

/* A batch owns its messages and copies of the texts that they refer to until it is packed: a
 * worker's list of runs is valid only during the callback that reports it. */

struct relay_batch {
	/** Elements: Dff__Relay__Call *, Dff__Relay__Answer *. */
	GPtrArray *calls;
	GPtrArray *answers;
	/** Memory of the messages and of the texts that they refer to. Elements: gpointer. */
	GPtrArray *memory;
	struct dff_name name;
	bool leaving;
};

static ProtobufCBinaryData
bytes_from_str (struct dff_str text)
{
	return (ProtobufCBinaryData){.len = text.len, .data = (uint8_t *)text.data};
}

static ProtobufCBinaryData
bytes_from_name (const struct dff_name *name)
{
	return (ProtobufCBinaryData){.len = name->len, .data = (uint8_t *)name->data};
}

static struct dff_str
str_from_bytes (const ProtobufCBinaryData *bytes)
{
	/* An empty field has a NULL pointer, which libraries do not accept as an empty string. */
	return (struct dff_str){bytes->len > 0 ? (const char *)bytes->data : "", bytes->len};
}

bool
relay_name_read (const ProtobufCBinaryData *bytes, struct dff_name *name)
{
	*name = (struct dff_name){0};
	return dff_name_parse (str_from_bytes (bytes), name);
}

static gpointer
own_memory (struct relay_batch *batch, gpointer memory)
{
	g_ptr_array_add (batch->memory, memory);
	return memory;
}

static ProtobufCBinaryData
copy_text (struct relay_batch *batch, struct dff_str text)
{
	if (text.len == 0)
		return (ProtobufCBinaryData){0};
	char *copy = own_memory (batch, g_memdup2 (text.data, text.len));
	return bytes_from_str ((struct dff_str){copy, text.len});
}

struct relay_batch *
relay_batch_new (void)
{
	struct relay_batch *batch = g_new0 (struct relay_batch, 1);
	batch->calls = g_ptr_array_new ();
	batch->answers = g_ptr_array_new ();
	batch->memory = g_ptr_array_new_with_free_func (g_free);
	return batch;
}

void
relay_batch_free (struct relay_batch *batch)
{
	g_ptr_array_unref (batch->calls);
	g_ptr_array_unref (batch->answers);
	g_ptr_array_unref (batch->memory);
	g_free (batch);
}

bool
relay_batch_is_empty (const struct relay_batch *batch)
{
	return batch->calls->len == 0 && batch->answers->len == 0;
}

static Dff__Relay__Call *
add_call (struct relay_batch *batch, uint64_t id, Dff__Relay__Kind kind)
{
	Dff__Relay__Call *call = own_memory (batch, g_new (Dff__Relay__Call, 1));
	dff__relay__call__init (call);
	call->id = id;
	call->kind = kind;
	g_ptr_array_add (batch->calls, call);
	return call;
}

static ProtobufCBinaryData
copy_name (struct relay_batch *batch, const struct dff_name *name)
{
	return copy_text (batch, (struct dff_str){name->data, name->len});
}

void
relay_batch_add_order (struct relay_batch *batch,
		       uint64_t id,
		       Dff__Relay__Kind kind,
		       const struct dff_run_order *order)
{
	Dff__Relay__Call *call = add_call (batch, id, kind);
	call->worker = copy_name (batch, &order->worker);
	call->address = copy_name (batch, &order->address);
	call->epoch = order->epoch;
	call->deadline_ms = order->deadline_ms;
	call->timeout_ms = order->timeout_ms;
	call->task = copy_name (batch, &order->task);
	call->run = order->run;
	call->payload = copy_text (batch, order->payload);
	call->checkpoint = copy_text (batch, order->checkpoint);
}

void
relay_batch_add_watch (struct relay_batch *batch, uint64_t id, const struct dff_run_watch *watch)
{
	Dff__Relay__Call *call = add_call (batch, id, DFF__RELAY__KIND__WATCH);
	call->worker = copy_name (batch, &watch->worker);
	call->address = copy_name (batch, &watch->address);
	call->epoch = watch->epoch;
	call->deadline_ms = watch->deadline_ms;
	call->timeout_ms = watch->timeout_ms;
	call->acknowledged = watch->acknowledged;
	call->wait_ms = watch->wait_ms;
}

static void
add_running (struct relay_batch *batch,
	     Dff__Relay__Answer *answer,
	     const struct dff_runner_result *result)
{
	Dff__Relay__Open *runs = own_memory (batch, g_new (Dff__Relay__Open, result->n_running));
	answer->running = own_memory (batch, g_new (Dff__Relay__Open *, result->n_running));
	answer->n_running = result->n_running;
	for (size_t i = 0; i < result->n_running; i++) {
		const struct dff_run_active *from = &result->running[i];
		dff__relay__open__init (&runs[i]);
		runs[i].task = copy_text (batch, from->task);
		runs[i].run = from->run;
		runs[i].checkpoint = copy_text (batch, from->checkpoint);
		runs[i].percent = from->percent;
		answer->running[i] = &runs[i];
	}
}

static void
add_ended (struct relay_batch *batch,
	   Dff__Relay__Answer *answer,
	   const struct dff_runner_result *result)
{
	Dff__Relay__Ended *ends = own_memory (batch, g_new (Dff__Relay__Ended, result->n_ended));
	answer->ended = own_memory (batch, g_new (Dff__Relay__Ended *, result->n_ended));
	answer->n_ended = result->n_ended;
	for (size_t i = 0; i < result->n_ended; i++) {
		const struct dff_run_ended *from = &result->ended[i];
		dff__relay__ended__init (&ends[i]);
		ends[i].number = from->number;
		ends[i].task = copy_text (batch, from->task);
		ends[i].run = from->run;
		ends[i].end = from->end;
		ends[i].checkpoint = copy_text (batch, from->checkpoint);
		answer->ended[i] = &ends[i];
	}
}

void
relay_batch_add_answer (struct relay_batch *batch,
			uint64_t id,
			const struct dff_runner_result *result)
{
	Dff__Relay__Answer *answer = own_memory (batch, g_new (Dff__Relay__Answer, 1));
	dff__relay__answer__init (answer);
	answer->id = id;
	answer->outcome = result->outcome;
	answer->clock_ms = result->clock_ms;
	answer->born_ms = result->started_ms;
	answer->ended_complete = result->ended_complete;
	if (result->n_running > 0)
		add_running (batch, answer, result);
	if (result->n_ended > 0)
		add_ended (batch, answer, result);
	g_ptr_array_add (batch->answers, answer);
}

void
relay_batch_set_name (struct relay_batch *batch, const struct dff_name *name)
{
	batch->name = *name;
}

void
relay_batch_set_leaving (struct relay_batch *batch, bool leaving)
{
	batch->leaving = leaving;
}

GByteArray *
relay_batch_pack (struct relay_batch *batch)
{
	Dff__Relay__Batch message = DFF__RELAY__BATCH__INIT;
	message.calls = (Dff__Relay__Call **)batch->calls->pdata;
	message.n_calls = batch->calls->len;
	message.answers = (Dff__Relay__Answer **)batch->answers->pdata;
	message.n_answers = batch->answers->len;
	message.name = bytes_from_name (&batch->name);
	message.leaving = batch->leaving;
	size_t size = dff__relay__batch__get_packed_size (&message);
	GByteArray *out = g_byte_array_sized_new ((guint)size);
	g_byte_array_set_size (out, (guint)size);
	dff__relay__batch__pack (&message, out->data);
	g_ptr_array_set_size (batch->calls, 0);
	g_ptr_array_set_size (batch->answers, 0);
	g_ptr_array_set_size (batch->memory, 0);
	return out;
}

static bool
read_order (const Dff__Relay__Call *call, struct dff_run_order *order)
{
	*order = (struct dff_run_order){.run = call->run,
					.epoch = call->epoch,
					.deadline_ms = call->deadline_ms,
					.payload = str_from_bytes (&call->payload),
					.checkpoint = str_from_bytes (&call->checkpoint),
					.timeout_ms = call->timeout_ms};
	return relay_name_read (&call->worker, &order->worker) &&
	       relay_name_read (&call->address, &order->address) &&
	       relay_name_read (&call->task, &order->task);
}

static bool
read_watch (const Dff__Relay__Call *call, struct dff_run_watch *watch)
{
	*watch = (struct dff_run_watch){.epoch = call->epoch,
					.acknowledged = call->acknowledged,
					.deadline_ms = call->deadline_ms,
					.wait_ms = call->wait_ms,
					.timeout_ms = call->timeout_ms};
	return relay_name_read (&call->worker, &watch->worker) &&
	       relay_name_read (&call->address, &watch->address);
}

/* An allocator that fails when its total exceeds a maximum. */
struct bounded_memory {
	size_t left;
};

static void *
bounded_alloc (void *ctx, size_t size)
{
	struct bounded_memory *memory = ctx;
	if (size > memory->left)
		return NULL;
	memory->left -= size;
	return g_malloc (size);
}

static void
bounded_free (void *ctx, void *pointer)
{
	(void)ctx;
	g_free (pointer);
}

Dff__Relay__Batch *
relay_batch_unpack (const uint8_t *data, size_t len, size_t max_bytes)
{
	struct bounded_memory memory = {.left = max_bytes};
	ProtobufCAllocator allocator = {
		.alloc = bounded_alloc, .free = bounded_free, .allocator_data = &memory};
	return dff__relay__batch__unpack (&allocator, len, data);
}

void
relay_batch_free_unpacked (Dff__Relay__Batch *batch)
{
	ProtobufCAllocator allocator = {.alloc = bounded_alloc, .free = bounded_free};
	dff__relay__batch__free_unpacked (batch, &allocator);
}

bool
relay_call_read (const Dff__Relay__Call *call,
		 struct dff_run_order *order,
		 struct dff_run_watch *watch)
{
	if (call->timeout_ms <= 0 || call->wait_ms < 0)
		return false;
	switch (call->kind) {
	case DFF__RELAY__KIND__START:
	case DFF__RELAY__KIND__STOP:
		return read_order (call, order);
	case DFF__RELAY__KIND__WATCH:
		return read_watch (call, watch);
	default:
		return false;
	}
}

void
relay_answer_read (const Dff__Relay__Answer *answer, relay_answer_func done, void *user)
{
	g_autofree struct dff_run_active *running =
		g_new (struct dff_run_active, answer->n_running);
	for (size_t i = 0; i < answer->n_running; i++) {
		const Dff__Relay__Open *from = answer->running[i];
		running[i] =
			(struct dff_run_active){.task = str_from_bytes (&from->task),
						.run = from->run,
						.checkpoint = str_from_bytes (&from->checkpoint),
						.percent = from->percent};
	}
	g_autofree struct dff_run_ended *ended = g_new (struct dff_run_ended, answer->n_ended);
	for (size_t i = 0; i < answer->n_ended; i++) {
		const Dff__Relay__Ended *from = answer->ended[i];
		bool known = from->end <= DFF_RUN_GANG_TIMEOUT;
		ended[i] = (struct dff_run_ended){.number = from->number,
						  .task = str_from_bytes (&from->task),
						  .run = from->run,
						  .end = known ? (enum dff_run_end)from->end
							       : DFF_RUN_STOPPED,
						  .checkpoint = str_from_bytes (&from->checkpoint)};
	}
	bool known = answer->outcome <= DFF_RUNNER_UNKNOWN;
	struct dff_runner_result result = {
		.outcome = known ? (enum dff_runner_outcome)answer->outcome : DFF_RUNNER_UNKNOWN,
		.clock_ms = answer->clock_ms,
		.started_ms = answer->born_ms,
		.running = running,
		.n_running = answer->n_running,
		.ended = ended,
		.n_ended = answer->n_ended,
		.ended_complete = answer->ended_complete || answer->n_ended == 0,
	};
	done (user, &result);
}
