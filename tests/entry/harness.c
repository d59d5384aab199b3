#include "harness_private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 2

static char *
token_digest (const char *owner)
{
	g_autofree char *token = g_strconcat (owner, "-token", NULL);
	return g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
}

static char *
pool_text (void)
{
	g_autofree char *casework = token_digest ("casework");
	g_autofree char *fleet = token_digest ("fleet");
	g_autofree char *operator_digest = token_digest ("operator");
	return g_strdup_printf (
		"{\"preset\": \"completion\", \"racks\": [{\"name\": \"r1\", \"data_centre\": "
		"\"dc1\", \"region\": \"demo\", \"workers\": 8, \"slots\": 8, \"cores\": 32, "
		"\"memory_gb\": 64, \"accelerators\": 8}], \"teams\": [{\"name\": \"casework\", "
		"\"token_digests\": [\"sha256:%s\"], \"max_queued\": 6, \"guarantees\": []}, "
		"{\"name\": \"fleet\", \"token_digests\": [\"sha256:%s\"], \"guarantees\": []}], "
		"\"services\": [{\"name\": \"drafting\", \"teams\": [\"casework\"], "
		"\"request_slots\": 2, \"request_timeout_ms\": 10000}, {\"name\": \"archive\"}], "
		"\"operators\": [{\"name\": \"operator\", \"token_digests\": [\"sha256:%s\"]}]}",
		casework, fleet, operator_digest);
}

static void
send_to_peer (void *ctx, const struct dff_instance *member, const uint8_t *data, size_t len)
{
	const struct harness_process *from = ctx;
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *to = &from->harness->processes[i];
		if (to->entry != NULL && dff_name_equal (&to->name, &member->id))
			dff_peer_receive (to->peer, data, len);
	}
}

static void
apply_pool (struct harness_process *process, int64_t generation, struct dff_str text)
{
	struct dff_pool *pool = dff_pool_parse (text, "pool", NULL, NULL);
	assert_non_null (pool);
	pool->generation = generation;
	dff_entry_set_pool (process->entry, pool, text);
	dff_peer_set_pool (process->peer, generation, 0, text);
	g_clear_pointer (&process->pool, dff_pool_free);
	process->pool = pool;
}

static void
pool_committed (void *ctx, int64_t generation, int64_t revision, struct dff_str text)
{
	(void)revision;
	apply_pool (ctx, generation, text);
}

static void
job_ended (void *ctx, const struct dff_name *job, enum dff_outcome outcome)
{
	const struct harness_process *process = ctx;
	dff_entry_handle_job_ended (process->entry, job, outcome);
}

static void
ignore_members (void *ctx)
{
	(void)ctx;
}

static struct dff_settings *
settings_new (const struct dff_name *name)
{
	struct dff_settings *settings = g_new0 (struct dff_settings, 1);
	g_autofree char *digest = token_digest ("bootstrap");
	settings->instance = *name;
	settings->region = dff_name_from ("demo");
	settings->data_centre = dff_name_from ("dc1");
	settings->listen = dff_name_from ("127.0.0.1:0");
	settings->tls_certificate = g_string_new (NULL);
	settings->tls_key = g_string_new (NULL);
	settings->trace_path = g_string_new (NULL);
	settings->bootstrap_token_digest = g_string_new ("sha256:");
	g_string_append (settings->bootstrap_token_digest, digest);
	settings->max_connections = 8;
	settings->max_body_bytes = 4096;
	settings->request_timeout_ms = 2000;
	settings->max_requests = 4;
	return settings;
}

static struct dff_instance
instance (const char *id, enum dff_instance_role role)
{
	struct dff_instance instance = {
		.id = dff_name_from (id),
		.role = role,
		.address = dff_name_from ("127.0.0.1:1"),
		.rack = dff_name_from ("r1"),
		.data_centre = dff_name_from ("dc1"),
		.region = dff_name_from ("demo"),
		.peer_address = dff_name_from ("127.0.0.1:2"),
	};
	return instance;
}

static void
start_peer (struct harness_process *process)
{
	struct dff_peer_options options;
	/* There is no holder, so the messages behind the other callbacks are never sent. */
	struct dff_peer_callbacks callbacks = {
		.pool_received = pool_committed,
		.job_ended = job_ended,
		.members_changed = ignore_members,
		.ctx = process,
	};
	dff_peer_options_init (&options);
	options.self = instance (process->name.data, DFF_INSTANCE_ENTRY);
	options.clock = &process->harness->clock.clock;
	options.metrics = process->metrics;
	options.transport.send = send_to_peer;
	options.transport.ctx = process;
	options.callbacks = callbacks;
	options.seed = 3 + process->n_restarts;
	process->peer = dff_peer_new (&options);
}

static void
start_cell (struct harness_process *process)
{
	struct dff_cell_options options;
	dff_cell_options_init (&options);
	options.instance = process->name;
	options.region = process->settings->region;
	options.table = &process->platform->table;
	options.workers = &process->harness->workers;
	options.clock = &process->harness->clock.clock;
	options.metrics = process->metrics;
	options.tracer = process->tracer;
	options.recorder = process->recorder;
	options.seed = 4;
	process->cell = dff_cell_new (&options);
}

static void
start_entry (struct harness_process *process)
{
	struct harness *harness = process->harness;
	g_autoptr (GError) error = NULL;
	struct dff_entry_options options = {
		.base = harness->base,
		.settings = process->settings,
		.clock = &harness->clock.clock,
		.metrics = process->metrics,
		.tracer = process->tracer,
		.table = &process->entry_platform->table,
		.objects = &process->entry_platform->objects,
		.recorder = process->recorder,
		.workers = &harness->workers,
		.peer = process->peer,
		.cell = process->cell,
		.seed = 5,
		.pool_committed = pool_committed,
		.ctx = process,
	};
	process->entry = dff_entry_new (&options, &error);
	if (process->entry == NULL)
		fail_msg ("%s", error->message);
}

static void
keep_span (void *ctx, struct dff_str line)
{
	struct harness *harness = ctx;
	g_string_append_len (harness->spans, line.data, (gssize)line.len);
	g_string_append_c (harness->spans, '\n');
}

static void
start_process (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	struct dff_recorder_options recorder;
	process->harness = harness;
	process->name = dff_name_printf ("entry-%c", 'a' + index);
	process->settings = settings_new (&process->name);
	if (harness->certificate != NULL) {
		g_string_assign (process->settings->tls_certificate, harness->certificate);
		g_string_assign (process->settings->tls_key, harness->key);
	}
	process->metrics = dff_metrics_new ();
	process->tracer = dff_tracer_new (&harness->clock.clock, &process->name, 1 + index,
					  keep_span, harness);
	process->platform = dff_memory_open (harness->memory);
	/* Answers to the previous process may still be on their way when it is replaced, so its
	 * platform handle is reused. */
	if (process->entry_platform == NULL)
		process->entry_platform = dff_memory_open (harness->memory);
	dff_recorder_options_init (&recorder);
	recorder.table = &process->platform->table;
	recorder.clock = &harness->clock.clock;
	recorder.metrics = process->metrics;
	recorder.writer = process->name;
	recorder.seed = 2;
	process->recorder = dff_recorder_new (&recorder);
	start_peer (process);
	start_cell (process);
	start_entry (process);
}

static void
publish_instances (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry == NULL)
			continue;
		dff_peer_set_instances (process->peer, harness->instances, harness->n_instances);
		dff_entry_set_instances (process->entry, harness->instances, harness->n_instances);
	}
}

struct harness *
harness_new (void)
{
	return harness_new_tls (NULL, NULL);
}

struct harness *
harness_new_tls (const char *certificate, const char *key)
{
	struct harness *harness = g_new0 (struct harness, 1);
	harness->certificate = certificate;
	harness->key = key;
	harness->base = event_base_new ();
	harness->spans = g_string_new (NULL);
	dff_clock_virtual_init (&harness->clock, 1000000);
	struct dff_memory_options memory = {.clock = &harness->clock.clock, .seed = 1};
	harness->memory = dff_memory_new (&memory);
	harness->holder = dff_memory_open (harness->memory);
	harness->missing_chunk_offset = -1;
	harness->workers.request = harness_request_worker;
	harness->workers.ctx = harness;
	g_queue_init (&harness->answers);
	g_queue_init (&harness->sent);
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		start_process (harness, i);
	harness->instances[0] = instance ("entry-a", DFF_INSTANCE_ENTRY);
	harness->instances[1] = instance ("entry-b", DFF_INSTANCE_ENTRY);
	harness->instances[2] = instance ("w1", DFF_INSTANCE_WORKER);
	harness->instances[3] = instance ("w2", DFF_INSTANCE_WORKER);
	harness->n_instances = 4;
	publish_instances (harness);
	harness_run (harness, 500);
	return harness;
}

void
harness_kill (struct harness *harness, int index)
{
	struct harness_process *process = &harness->processes[index];
	if (process->entry == NULL)
		return;
	dff_entry_free (process->entry);
	memset (&process->entry_platform->faults, 0, sizeof (process->entry_platform->faults));
	dff_memory_close (process->platform);
	dff_cell_free (process->cell);
	dff_peer_free (process->peer);
	dff_recorder_free (process->recorder);
	dff_tracer_free (process->tracer);
	dff_metrics_free (process->metrics);
	g_clear_pointer (&process->pool, dff_pool_free);
	dff_settings_free (process->settings);
	process->entry = NULL;
}

void
harness_replace (struct harness *harness, int index)
{
	harness_kill (harness, index);
	harness->processes[index].n_restarts++;
	start_process (harness, index);
	publish_instances (harness);
}

void
harness_free (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		harness_kill (harness, i);
	harness_drop_sent (harness);
	dff_memory_tick (harness->memory);
	for (int64_t due_ms; (due_ms = dff_memory_next_due_ms (harness->memory)) != INT64_MAX;) {
		harness->clock.now_ms = MAX (due_ms, harness->clock.now_ms);
		dff_memory_tick (harness->memory);
	}
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		dff_memory_close (harness->processes[i].entry_platform);
	dff_memory_close (harness->holder);
	dff_memory_free (harness->memory);
	event_base_free (harness->base);
	g_string_free (harness->spans, TRUE);
	g_free (harness);
}

void
harness_step (struct harness *harness)
{
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry != NULL)
			process->entry_platform->faults = process->platform->faults;
	}
	event_base_loop (harness->base, EVLOOP_NONBLOCK);
	harness->clock.now_ms++;
	dff_memory_tick (harness->memory);
	harness_tick_workers (harness);
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		const struct harness_process *process = &harness->processes[i];
		if (process->entry == NULL)
			continue;
		dff_recorder_tick (process->recorder);
		dff_peer_tick (process->peer);
		dff_entry_tick (process->entry);
	}
}

void
harness_run (struct harness *harness, int64_t ms)
{
	for (int64_t i = 0; i < ms; i++)
		harness_step (harness);
}

void
harness_set_pool (struct harness *harness)
{
	g_autofree char *text = pool_text ();
	for (int i = 0; i < HARNESS_PROCESSES; i++)
		apply_pool (&harness->processes[i], 1, dff_str_from (text));
}

void
harness_grant (struct harness *harness, int32_t slots, int32_t valid_ms)
{
	struct dff_grant grants[WORKERS] = {
		{.worker = dff_name_from ("w1"), .slots = slots},
		{.worker = dff_name_from ("w2"), .slots = slots},
	};
	for (int i = 0; i < HARNESS_PROCESSES; i++) {
		if (harness->processes[i].entry != NULL)
			dff_entry_set_grants (harness->processes[i].entry, 1, grants, WORKERS,
					      valid_ms);
	}
}

void
harness_set_listed_leaving (struct harness *harness, const char *worker)
{
	for (size_t i = 0; i < harness->n_instances; i++) {
		if (g_str_equal (harness->instances[i].id.data, worker))
			harness->instances[i].leaving = true;
	}
	publish_instances (harness);
}
