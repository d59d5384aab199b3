#include "pool/entries.h"

#include <sodium.h>
#include <string.h>

#include "common/digest.h"

/* The region's name is part of every job id, which must not exceed DFF_NAME_MAX. */
#define DFF_REGION_NAME_MAX 16
#define DFF_RACK_WORKERS_MAX 1024
#define DFF_WORKER_SLOTS_MAX 1024
#define DFF_WORKER_CORES_MAX 4096
#define DFF_WORKER_MEMORY_GB_MAX 65536
/* The leases of a worker's accelerators are one 64-bit mask. */
#define DFF_WORKER_ACCELERATORS_MAX 64
#define DFF_GUARANTEE_GANGS_MAX 10000
#define DFF_GUARANTEE_ACCELERATORS_MAX 65536
#define DFF_QUOTA_MAX 1000000
#define DFF_QUEUED_MAX 1000000
#define DFF_WEIGHT_MAX 1000
#define DFF_REQUEST_TIMEOUT_MS_MAX 3600000

static const char digest_prefix[] = "sha256:";

static bool
digest_parse (const json_t *value, uint8_t *digest)
{
	const char *text = json_string_value (value);
	if (text == NULL || !g_str_has_prefix (text, digest_prefix))
		return false;
	const char *hex = text + strlen (digest_prefix);
	size_t len = 0;
	if (strlen (hex) != (size_t)2 * DFF_DIGEST_BYTES)
		return false;
	if (sodium_hex2bin (digest, DFF_DIGEST_BYTES, hex, strlen (hex), NULL, &len, NULL) != 0)
		return false;
	return len == DFF_DIGEST_BYTES;
}

static void
read_digest (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	GArray *digests = user;
	uint8_t digest[DFF_DIGEST_BYTES];
	if (digest_parse (value, digest))
		g_array_append_vals (digests, digest, 1);
	else
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
					"expected \"%s\" and 64 hexadecimal digits", digest_prefix);
}

static GArray *
read_digests (struct dff_pool_reader *reader, const json_t *object)
{
	GArray *digests = g_array_new (FALSE, FALSE, DFF_DIGEST_BYTES);
	dff_pool_reader_array (reader, object, "token_digests", false, read_digest, digests);
	return digests;
}

static void
read_name_element (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	struct dff_name name;
	dff_pool_reader_name_value (reader, value, DFF_NAME_MAX, &name);
	/* An invalid name keeps its place, so that positions in the table are those in the file. */
	g_array_append_val ((GArray *)user, name);
}

/* Names the workers of a rack for which only their number is given: RACK-w1, RACK-w2, ... */
static void
rack_name_workers (struct dff_pool_reader *reader, struct dff_rack *rack, json_int_t count)
{
	g_autofree char *last =
		g_strdup_printf ("%s-w%" JSON_INTEGER_FORMAT, rack->name.data, count);
	if (strlen (last) > DFF_NAME_MAX) {
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
					"expected a rack name short enough for worker names of %d "
					"bytes",
					DFF_NAME_MAX);
		return;
	}
	for (json_int_t i = 1; i <= count; i++) {
		struct dff_name name =
			dff_name_printf ("%s-w%" JSON_INTEGER_FORMAT, rack->name.data, i);
		g_array_append_val (rack->workers, name);
	}
}

static void
rack_read_workers (struct dff_pool_reader *reader, const json_t *object, struct dff_rack *rack)
{
	const json_t *value = json_object_get (object, "workers");
	if (json_is_array (value)) {
		dff_pool_reader_array (reader, object, "workers", true, read_name_element,
				       rack->workers);
		return;
	}
	json_int_t count = json_integer_value (value);
	gsize mark = dff_pool_reader_enter (reader, "workers", 0);
	if (count >= 1 && count <= DFF_RACK_WORKERS_MAX)
		rack_name_workers (reader, rack, count);
	else {
		dff_pool_reader_report (reader, DFF_POOL_ERROR_FIELD,
					"expected names or a whole number from 1 to %d",
					DFF_RACK_WORKERS_MAX);
	}
	dff_pool_reader_leave (reader, mark);
}

void
dff_pool_read_rack (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	static const char *const keys[] = {"name",      "data_centre",  "region",
					   "workers",   "slots",        "cores",
					   "memory_gb", "accelerators", NULL};
	static const struct dff_pool_int_field slots = {"slots", true, 1, DFF_WORKER_SLOTS_MAX};
	static const struct dff_pool_int_field cores = {"cores", true, 1, DFF_WORKER_CORES_MAX};
	static const struct dff_pool_int_field memory = {"memory_gb", true, 1,
							 DFF_WORKER_MEMORY_GB_MAX};
	static const struct dff_pool_int_field accelerators = {"accelerators", true, 0,
							       DFF_WORKER_ACCELERATORS_MAX};
	struct dff_pool *pool = user;
	struct dff_rack rack = {.workers = g_array_new (FALSE, TRUE, sizeof (struct dff_name))};
	if (dff_pool_reader_object (reader, value, keys)) {
		dff_pool_reader_name (reader, value, "name", DFF_NAME_MAX, &rack.name);
		dff_pool_reader_name (reader, value, "data_centre", DFF_NAME_MAX,
				      &rack.data_centre);
		dff_pool_reader_name (reader, value, "region", DFF_REGION_NAME_MAX, &rack.region);
		rack_read_workers (reader, value, &rack);
		dff_pool_reader_int (reader, value, &slots, &rack.per_worker.slots);
		dff_pool_reader_int (reader, value, &cores, &rack.per_worker.cores);
		dff_pool_reader_int (reader, value, &memory, &rack.per_worker.memory_gb);
		dff_pool_reader_int (reader, value, &accelerators, &rack.per_worker.accelerators);
	}
	g_array_append_val (pool->racks, rack);
}

static void
read_guarantee (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	static const char *const keys[] = {"gangs", "accelerators", "region", NULL};
	static const struct dff_pool_int_field gangs = {"gangs", true, 1, DFF_GUARANTEE_GANGS_MAX};
	static const struct dff_pool_int_field accelerators = {"accelerators", true, 1,
							       DFF_GUARANTEE_ACCELERATORS_MAX};
	struct dff_guarantee guarantee = {0};
	if (dff_pool_reader_object (reader, value, keys)) {
		dff_pool_reader_int (reader, value, &gangs, &guarantee.gangs);
		dff_pool_reader_int (reader, value, &accelerators, &guarantee.accelerators);
		if (json_object_get (value, "region") != NULL)
			dff_pool_reader_name (reader, value, "region", DFF_REGION_NAME_MAX,
					      &guarantee.region);
	}
	g_array_append_val ((GArray *)user, guarantee);
}

void
dff_pool_read_team (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	static const char *const keys[] = {
		"name",       "token_digests", "guarantees", "quota_accelerators",
		"max_queued", "weight",        NULL};
	static const struct dff_pool_int_field quota = {"quota_accelerators", false, 0,
							DFF_QUOTA_MAX};
	static const struct dff_pool_int_field queued = {"max_queued", false, 1, DFF_QUEUED_MAX};
	static const struct dff_pool_int_field weight = {"weight", false, 1, DFF_WEIGHT_MAX};
	struct dff_pool *pool = user;
	struct dff_team team = {.max_queued = 10000, .weight = 1};
	team.token_digests = read_digests (reader, value);
	team.guarantees = g_array_new (FALSE, TRUE, sizeof (struct dff_guarantee));
	if (dff_pool_reader_object (reader, value, keys)) {
		dff_pool_reader_name (reader, value, "name", DFF_NAME_MAX, &team.name);
		dff_pool_reader_array (reader, value, "guarantees", false, read_guarantee,
				       team.guarantees);
		dff_pool_reader_int (reader, value, &quota, &team.quota_accelerators);
		dff_pool_reader_int (reader, value, &queued, &team.max_queued);
		dff_pool_reader_int (reader, value, &weight, &team.weight);
	}
	g_array_append_val (pool->teams, team);
}

void
dff_pool_read_service (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	static const char *const keys[] = {"name", "teams", "request_slots", "request_timeout_ms",
					   NULL};
	static const struct dff_pool_int_field slots = {"request_slots", false, 0,
							DFF_WORKER_SLOTS_MAX};
	static const struct dff_pool_int_field timeout = {"request_timeout_ms", false, 1,
							  DFF_REQUEST_TIMEOUT_MS_MAX};
	struct dff_pool *pool = user;
	struct dff_service service = {.request_slots = 1, .request_timeout_ms = 30000};
	service.teams = g_array_new (FALSE, TRUE, sizeof (struct dff_name));
	if (dff_pool_reader_object (reader, value, keys)) {
		dff_pool_reader_name (reader, value, "name", DFF_NAME_MAX, &service.name);
		dff_pool_reader_array (reader, value, "teams", false, read_name_element,
				       service.teams);
		dff_pool_reader_int (reader, value, &slots, &service.request_slots);
		service.dedicated_request_slots = json_object_get (value, slots.key) != NULL;
		dff_pool_reader_int (reader, value, &timeout, &service.request_timeout_ms);
	}
	g_array_append_val (pool->services, service);
}

void
dff_pool_read_operator (struct dff_pool_reader *reader, const json_t *value, void *user)
{
	static const char *const keys[] = {"name", "token_digests", NULL};
	struct dff_pool *pool = user;
	struct dff_operator entry = {.token_digests = read_digests (reader, value)};
	if (dff_pool_reader_object (reader, value, keys))
		dff_pool_reader_name (reader, value, "name", DFF_NAME_MAX, &entry.name);
	g_array_append_val (pool->operators, entry);
}
