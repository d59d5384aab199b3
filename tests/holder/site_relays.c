#include "tests/holder/site_relays.h"

const struct dff_runner *
site_relays_start (struct site_process *process)
{
	const struct dff_timers *timers = dff_virtual_loop_timers (process->site->loop);
	const struct dff_runner *direct = dff_memory_runner_client_interface (process->runner);
	struct dff_dispatch_options dispatch = {
		.timers = timers, .metrics = process->metrics, .direct = direct};
	process->dispatch = dff_dispatch_new (&dispatch);
	struct dff_relay_options relay = {.timers = timers,
					  .metrics = process->metrics,
					  .runner = direct,
					  .name = process->instance};
	process->relay = dff_relay_new (&relay);
	process->link = NULL;
	return dff_dispatch_interface (process->dispatch);
}

static void
drop_link (struct site_process *process)
{
	g_clear_pointer (&process->link, dff_memory_link_free);
}

void
site_relays_follow (void *ctx, const struct dff_name *address, int32_t n_relays)
{
	struct site_process *process = ctx;
	if (n_relays == 0 || dff_name_is_empty (address)) {
		drop_link (process);
		return;
	}
	int target = address->data[1] - '0';
	if (process->link != NULL && process->linked_to == target &&
	    dff_memory_link_is_up (process->link))
		return;
	drop_link (process);
	struct site_process *holder = &process->site->processes[target];
	if (!holder->alive || holder == process)
		return;
	process->linked_to = target;
	process->link = dff_memory_link_new (process->site->loop, holder->dispatch, process->relay);
}

void
site_relays_set_limit (void *ctx, int32_t n_relays)
{
	struct site_process *process = ctx;
	dff_dispatch_set_limit (process->dispatch, n_relays);
}

void
site_relays_kill (struct site_process *process)
{
	if (process->link != NULL)
		dff_memory_link_end_relay (process->link);
	drop_link (process);
	dff_dispatch_free (process->dispatch);
	dff_relay_free (process->relay);
}

void
site_silence_relay (struct site *site, int process)
{
	if (site->processes[process].link != NULL)
		dff_memory_link_silence (site->processes[process].link, true);
}
