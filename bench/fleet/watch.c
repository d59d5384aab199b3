#include "bench/fleet/fleet.h"

/* Polls the status of the processes, and acts as the balancer: checks /readyz each second and
 * routes to the processes that are ready. */

#define POLL_TIMEOUT_MS 1000
#define BALANCER_INTERVAL_MS 1000

static void
parse_status (struct fleet_process *process, const json_t *status)
{
	const json_t *cell = json_object_get (status, "cell");
	process->ready = json_is_true (json_object_get (status, "ready"));
	process->generation = json_integer_value (json_object_get (status, "generation"));
	process->holder = json_is_true (json_object_get (cell, "holder"));
	process->epoch = json_integer_value (json_object_get (cell, "epoch"));
}

static void
handle_status (void *user, const struct dff_http_response *response)
{
	struct fleet_process *process = user;
	process->polling = false;
	process->answers = response->outcome == DFF_HTTP_ANSWERED && response->status == 200;
	json_t *status = process->answers
				 ? json_loadb (response->body.data, response->body.len, 0, NULL)
				 : NULL;
	parse_status (process, status);
	json_decref (status);
}

static void
handle_readyz (void *user, const struct dff_http_response *response)
{
	struct fleet_process *process = user;
	process->checking = false;
	process->in_rotation = response->outcome == DFF_HTTP_ANSWERED && response->status == 200;
}

static void
send_get (struct fleet *fleet, struct fleet_process *process, const char *path, dff_http_func done)
{
	const struct dff_http_header header = {"Authorization",
					       dff_str_from ("Bearer operator-token")};
	const struct dff_http_request request = {
		.address = process->address,
		.method = EVHTTP_REQ_GET,
		.path = path,
		.headers = &header,
		.n_headers = 1,
		.timeout_ms = POLL_TIMEOUT_MS,
	};
	dff_http_client_send (fleet->http, &request, done, process);
}

void
fleet_watch_tick (struct fleet *fleet)
{
	int64_t now_ms = fleet_now_ms (fleet);
	for (int i = 0; i < fleet->n_processes; i++) {
		struct fleet_process *process = &fleet->processes[i];
		if (fleet->poll_ms > 0 && !process->polling &&
		    now_ms - process->polled_ms >= fleet->poll_ms) {
			process->polling = true;
			process->polled_ms = now_ms;
			send_get (fleet, process, "/v1/status", handle_status);
		}
		if (!process->checking && now_ms - process->checked_ms >= BALANCER_INTERVAL_MS) {
			process->checking = true;
			process->checked_ms = now_ms;
			send_get (fleet, process, "/readyz", handle_readyz);
		}
	}
}

int
fleet_holder (const struct fleet *fleet)
{
	int holder = -1;
	for (int i = 0; i < fleet->n_processes; i++) {
		const struct fleet_process *process = &fleet->processes[i];
		bool newer = holder < 0 || process->epoch > fleet->processes[holder].epoch;
		if (process->answers && process->holder && newer)
			holder = i;
	}
	return holder;
}

bool
fleet_all_ready (struct fleet *fleet, int64_t unused)
{
	(void)unused;
	for (int i = 0; i < fleet->n_processes; i++) {
		if (!fleet_process_ready (fleet, i))
			return false;
	}
	return fleet_holder (fleet) >= 0;
}

bool
fleet_all_applied (struct fleet *fleet, int64_t generation)
{
	for (int i = 0; i < fleet->n_processes; i++) {
		const struct fleet_process *process = &fleet->processes[i];
		if (!process->answers || process->generation < generation)
			return false;
	}
	return true;
}

bool
fleet_process_ready (struct fleet *fleet, int64_t index)
{
	const struct fleet_process *process = &fleet->processes[index];
	return process->answers && process->ready;
}

bool
fleet_process_gone (struct fleet *fleet, int64_t index)
{
	return !fleet->processes[index].answers;
}
