#include "bench/slopes/core_load.h"

#define WORKERS_A_RACK 8
#define RICH_RACK_EVERY 18
#define LARGEST_GUARANTEE 8
#define DATA_CENTRES 18
#define GANG 8
#define ACCELERATED_EVERY 8
#define SETTLE_ROUNDS 64

static int
accelerators_of_rack (int rack)
{
	return rack % RICH_RACK_EVERY == 0 ? 2 : 1;
}

static int
append_racks (GString *text, const struct core_load_size *size)
{
	int n_racks = (size->workers + WORKERS_A_RACK - 1) / WORKERS_A_RACK;
	int accelerators = 0;
	for (int i = 0; i < n_racks; i++) {
		int workers = MIN (WORKERS_A_RACK, size->workers - i * WORKERS_A_RACK);
		int data_centre = i * DATA_CENTRES / n_racks;
		int region = data_centre * size->regions / DATA_CENTRES + 1;
		accelerators += workers * accelerators_of_rack (i);
		g_string_append_printf (
			text,
			"%s\n{\"name\": \"r%d\", \"data_centre\": \"dc%d\", \"region\": "
			"\"region-%d\", \"workers\": %d, \"slots\": 8, \"cores\": 32, "
			"\"memory_gb\": 64, \"accelerators\": %d}",
			i == 0 ? "" : ",", i + 1, data_centre + 1, region, workers,
			accelerators_of_rack (i));
	}
	return accelerators;
}

static void
append_teams (GString *text, const struct core_load_size *size, int accelerators)
{
	int left = accelerators * 6 / 10;
	int each = CLAMP (left / size->teams, 1, LARGEST_GUARANTEE);
	for (int i = 0; i < size->teams; i++) {
		g_autofree char *name = g_strdup_printf ("team-%d", i + 1);
		g_autofree char *digest =
			g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);
		g_string_append_printf (text,
					"%s\n{\"name\": \"%s\", \"token_digests\": [\"sha256:%s\"]",
					i == 0 ? "" : ",", name, digest);
		if (left >= each) {
			g_string_append_printf (text,
						", \"guarantees\": [{\"gangs\": 1, "
						"\"accelerators\": %d, \"region\": \"region-%d\"}]",
						each, i % size->regions + 1);
		}
		left -= each;
		g_string_append (text, "}");
	}
}

GString *
core_load_pool_text (const struct core_load_size *size)
{
	GString *text = g_string_new ("{\"preset\": \"completion\", \"racks\": [");
	int accelerators = append_racks (text, size);
	g_string_append (text, "],\n\"teams\": [");
	append_teams (text, size, accelerators);
	g_autofree char *operator_digest =
		g_compute_checksum_for_string (G_CHECKSUM_SHA256, "operator", -1);
	g_string_append_printf (
		text,
		"],\n\"services\": [{\"name\": \"batch\", \"request_slots\": 2, "
		"\"request_timeout_ms\": 30000}],\n\"operators\": [{\"name\": \"operator\", "
		"\"token_digests\": [\"sha256:%s\"]}]}\n",
		operator_digest);
	return text;
}

struct dff_pool *
core_load_pool (const struct core_load_size *size)
{
	g_autoptr (GString) text = core_load_pool_text (size);
	struct dff_str file = {text->str, text->len};
	g_autoptr (GError) error = NULL;
	struct dff_pool *pool = dff_pool_parse (file, "pool", NULL, &error);
	if (pool == NULL)
		g_error ("%s", error->message);
	return pool;
}

/** Reports the state of the first @n workers to the core. */
static void
report_workers (struct core_load *load, int n, enum dff_worker_state state)
{
	for (guint i = 0; i < load->pool->racks->len; i++) {
		const struct dff_rack *rack =
			&g_array_index (load->pool->racks, struct dff_rack, i);
		for (guint j = 0; j < rack->workers->len && n > 0; j++, n--) {
			struct dff_event event = {
				.type = DFF_EVENT_WORKER_STATE,
				.worker = g_array_index (rack->workers, struct dff_name, j),
				.worker_state = state,
			};
			dff_core_handle_event (load->core, &event, load->now_ms);
		}
	}
}

void
core_load_fail_workers (struct core_load *load, int n)
{
	report_workers (load, n, DFF_WORKER_DOWN);
}

struct core_load *
core_load_new (const struct core_load_size *size)
{
	struct core_load *load = g_new0 (struct core_load, 1);
	load->pool = core_load_pool (size);
	load->n_teams = size->teams;
	load->now_ms = 1000;
	load->commands = g_array_new (FALSE, TRUE, sizeof (struct dff_command));
	struct dff_core_options options;
	dff_core_options_init (&options);
	load->core = dff_core_new (&options);
	dff_core_set_pool (load->core, load->pool, load->now_ms);
	report_workers (load, size->workers, DFF_WORKER_UP);
	core_load_settle (load);
	return load;
}

void
core_load_free (struct core_load *load)
{
	dff_core_free (load->core);
	dff_pool_free (load->pool);
	g_array_unref (load->commands);
	g_free (load);
}

struct dff_job_spec
core_load_job (struct core_load *load, int gang, int accelerators)
{
	int index = load->n_jobs++;
	return (struct dff_job_spec){
		.id = dff_name_printf ("region-1.0123456789abcdef0123456789abcdef.%d", index),
		.team = dff_name_printf ("team-%d", index % load->n_teams + 1),
		.service = dff_name_from ("batch"),
		.gang = gang,
		.per_task = {.slots = 1, .cores = 2, .memory_gb = 4, .accelerators = accelerators},
		.adjacency = accelerators > 0 ? DFF_ADJACENCY_NEIGHBOURS : DFF_ADJACENCY_NONE,
		.checkpoint = true,
		.idempotent = true,
		.declared_ms = 3600000,
		.max_attempts = 3,
	};
}

void
core_load_submit (struct core_load *load, const struct dff_job_spec *spec)
{
	struct dff_event event = {.type = DFF_EVENT_JOB_SUBMITTED, .job = spec->id, .spec = spec};
	dff_core_handle_event (load->core, &event, load->now_ms);
}

/** Returns: false for a command without an answer. */
static bool
answer_type (enum dff_command_type command, enum dff_event_type *event)
{
	switch (command) {
	case DFF_COMMAND_RECORD_START:
		*event = DFF_EVENT_ATTEMPT_RECORDED;
		return true;
	case DFF_COMMAND_START_TASK:
		*event = DFF_EVENT_TASK_STARTED;
		return true;
	case DFF_COMMAND_CHECKPOINT_TASK:
		*event = DFF_EVENT_TASK_CHECKPOINTED;
		return true;
	case DFF_COMMAND_STOP_TASK:
		*event = DFF_EVENT_TASK_STOPPED;
		return true;
	case DFF_COMMAND_RECORD_OUTCOME:
		*event = DFF_EVENT_OUTCOME_RECORDED;
		return true;
	default:
		return false;
	}
}

static void
answer (struct core_load *load)
{
	for (guint i = 0; i < load->commands->len; i++) {
		const struct dff_command *command =
			&g_array_index (load->commands, struct dff_command, i);
		struct dff_event event = {
			.job = command->job,
			.attempt = command->attempt,
			.member = command->member,
			.ran = true,
		};
		if (answer_type (command->type, &event.type))
			dff_core_handle_event (load->core, &event, load->now_ms);
	}
}

void
core_load_settle (struct core_load *load)
{
	for (int i = 0; i < SETTLE_ROUNDS; i++) {
		load->now_ms++;
		dff_core_tick (load->core, load->now_ms, load->commands);
		if (load->commands->len == 0)
			return;
		answer (load);
	}
}

int
core_load_run_tasks (struct core_load *load, int n_tasks)
{
	int n_running = 0;
	for (int i = 0; i < n_tasks / GANG; i++) {
		struct dff_job_spec spec = core_load_job (load, GANG, i % ACCELERATED_EVERY == 0);
		core_load_submit (load, &spec);
		core_load_settle (load);
		if (dff_core_job_phase (load->core, &spec.id) == DFF_JOB_PHASE_RUNNING)
			n_running += GANG;
	}
	return n_running;
}
