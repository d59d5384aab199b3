#include "tests/holder/site_workers.h"

#include <stdio.h>
#include <stdlib.h>

/* The workers of a site: their incarnations and their entries in the store. */

static struct dff_name
worker_id (const struct site *site, int index)
{
	if (site->same_ids)
		return dff_name_printf ("w%d", index);
	return dff_name_printf ("w%d-%d", index, site->worker_incarnations[index]);
}

/* Value of a worker's row: "ADDRESS RACK LEAVING REMAINING_MS ACCELERATORS STARTED_MS". */
bool
site_workers_read_upstream (const struct dff_row *row, struct dff_upstream *upstream)
{
	char address[32], rack[16];
	int leaving, remaining_ms, accelerators = SITE_ACCELERATORS;
	gint64 born_ms = DFF_START_UNREPORTED;
	g_autofree char *text = g_strndup (row->value.data, row->value.len);
	*upstream = (struct dff_upstream){.remaining_ms = -1};
	if (sscanf (text, "%31s %15s %d %d %d %" G_GINT64_FORMAT, address, rack, &leaving,
		    &remaining_ms, &accelerators, &born_ms) < 4)
		return false;
	upstream->remaining_ms = remaining_ms;
	upstream->address = dff_name_from (address);
	upstream->rack = dff_name_from (rack);
	upstream->data_centre = dff_name_printf ("dc-%s", rack);
	upstream->service = dff_name_from ("service");
	upstream->capacity = (struct dff_resources){
		.slots = 64, .cores = 32, .memory_gb = 64, .accelerators = accelerators};
	upstream->leaving = leaving;
	upstream->incarnation.started_ms = born_ms;
	return dff_name_parse (row->key, &upstream->incarnation.id);
}

static void
put_worker (struct site *site, int index, bool leaving, int32_t remaining_ms)
{
	struct site_entry *entry = &site->entries[index];
	entry->listed = true;
	entry->leaving = leaving;
	entry->remaining_ms = remaining_ms;
	if (entry->held_back)
		return;
	struct dff_name id = worker_id (site, index);
	struct dff_name address = dff_name_printf ("10.0.0.%d:1", index);
	g_autofree char *value = g_strdup_printf (
		"%s r%d %d %d %d %" G_GINT64_FORMAT, address.data, index / SITE_PER_RACK, leaving,
		remaining_ms, site->accelerators[index],
		dff_memory_runner_started_ms (site->runner, id.data));
	dff_memory_rows_put (site->rows, DFF_TABLE_UPSTREAMS, id.data, dff_str_from (value));
}

/* Writes the entries of all listed workers, and schedules the next time. */
void
site_workers_write_entries (void *user)
{
	struct site *site = user;
	for (int i = 0; i < site->n_workers; i++) {
		const struct site_entry *entry = &site->entries[i];
		if (entry->listed)
			put_worker (site, i, entry->leaving, entry->remaining_ms);
	}
	if (!site->closing)
		dff_virtual_loop_schedule (site->loop, SITE_ENTRY_EVERY_MS,
					   site_workers_write_entries, site);
}

void
site_hold_entries_back (struct site *site, int index, bool held_back)
{
	site->entries[index].held_back = held_back;
}

void
site_list_worker (struct site *site, int index, bool listed, bool leaving)
{
	struct dff_name id = worker_id (site, index);
	site->entries[index].listed = false;
	if (listed)
		put_worker (site, index, leaving, -1);
	else
		dff_memory_rows_remove (site->rows, DFF_TABLE_UPSTREAMS, id.data);
}

void
site_resize_worker (struct site *site, int index, int32_t accelerators)
{
	struct dff_name id = worker_id (site, index);
	site->accelerators[index] = accelerators;
	dff_memory_runner_resize (site->runner, id.data, accelerators);
	if (site->entries[index].listed)
		put_worker (site, index, false, -1);
}

void
site_announce_leaving (struct site *site, int index, int32_t remaining_ms)
{
	put_worker (site, index, true, remaining_ms);
}

void
site_cut_worker_from (struct site *site, int index, int process, bool cut)
{
	struct dff_name id = worker_id (site, index);
	dff_memory_runner_client_cut (site->processes[process].runner, id.data, cut);
}

void
site_end_worker (struct site *site, int index)
{
	struct dff_name id = worker_id (site, index);
	site->entries[index].listed = false;
	dff_memory_runner_kill (site->runner, id.data);
}

/* Sets the time from which a worker of an evacuated data centre reports starts as violations. */
static void
set_start_deadline (struct site *site, int index)
{
	int64_t evacuated_ms = site->evacuated_ms[index / SITE_PER_RACK];
	site->workers[index]->no_starts_from_ms =
		evacuated_ms > 0 ? evacuated_ms + SITE_EVACUATION_MS : 0;
}

void
site_workers_add (struct site *site, int index)
{
	struct dff_name id = worker_id (site, index);
	struct dff_name address = dff_name_printf ("10.0.0.%d:1", index);
	int32_t accelerators = site->next_accelerators[index] > 0 ? site->next_accelerators[index]
								  : SITE_ACCELERATORS;
	/* The clocks of the workers are up to 2% slow. */
	int32_t clock_permille = 1000 - index % SITE_WORKERS * 4;
	site->accelerators[index] = accelerators;
	site->workers[index] =
		site->same_ids
			? dff_memory_runner_add_with_start (site->runner, id.data, address.data,
							    accelerators, clock_permille)
			: dff_memory_runner_add (site->runner, id.data, address.data, accelerators,
						 clock_permille);
	site->workers[index]->duration_permille = site->duration_permille[index % SITE_PER_RACK];
	site_list_worker (site, index, true, false);
	set_start_deadline (site, index);
}

void
site_evacuate (struct site *site, int data_centre, bool requested)
{
	g_autofree char *key = g_strdup_printf ("evacuate/dc-r%d", data_centre);
	if (requested)
		dff_memory_rows_put (site->rows, DFF_TABLE_CONFIG, key, dff_str_from ("{}"));
	else
		dff_memory_rows_remove (site->rows, DFF_TABLE_CONFIG, key);
	site->evacuated_ms[data_centre] = requested ? dff_virtual_loop_now_ms (site->loop) : 0;
	for (int i = 0; i < site->n_workers; i++)
		set_start_deadline (site, i);
}

void
site_restart_worker (struct site *site, int index)
{
	struct dff_name id = worker_id (site, index);
	dff_memory_runner_kill (site->runner, id.data);
	/* A worker that restarts under the same id overwrites its entry. */
	if (!site->same_ids)
		site_list_worker (site, index, false, false);
	site->worker_incarnations[index]++;
	site_workers_add (site, index);
}

struct crash {
	struct site *site;
	int index;
	int32_t incarnation;
	struct dff_name id;
};

static void
expire_entry (void *user)
{
	g_autofree struct crash *crash = user;
	/* The next incarnation has written its own entry in the meantime. */
	if (crash->site->same_ids &&
	    crash->site->worker_incarnations[crash->index] != crash->incarnation)
		return;
	dff_memory_rows_remove (crash->site->rows, DFF_TABLE_UPSTREAMS, crash->id.data);
}

static void
restart_crashed (void *user)
{
	g_autofree struct crash *crash = user;
	if (crash->site->worker_incarnations[crash->index] != crash->incarnation)
		return;
	crash->site->worker_incarnations[crash->index]++;
	site_workers_add (crash->site, crash->index);
}

void
site_workers_handle_crash (void *ctx, const char *id)
{
	struct site *site = ctx;
	int index = atoi (id + 1);
	struct crash crash = {.site = site,
			      .index = index,
			      .incarnation = site->worker_incarnations[index],
			      .id = dff_name_from (id)};
	site->entries[crash.index].listed = false;
	dff_virtual_loop_schedule (site->loop, SITE_ENTRY_LAPSE_MS, expire_entry,
				   g_memdup2 (&crash, sizeof (crash)));
	if (site->restart_delay_ms > 0)
		dff_virtual_loop_schedule (site->loop, site->restart_delay_ms, restart_crashed,
					   g_memdup2 (&crash, sizeof (crash)));
}
