#include "standin/worker_objects.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>

#include "common/digest.h"

#define RETRY_MS 200

struct dff_worker_objects {
	const struct dff_object_store *store;
	const struct dff_clock *clock;
	struct dff_worker_tasks *tasks;
	/** Elements: struct object_job. */
	GQueue jobs;
};

/** The writing of a result or the search for a checkpoint, one object at a time. */
struct object_job {
	GList link;
	struct dff_worker_objects *objects;
	struct dff_task_id task;
	/** Writes or reads the next object. */
	void (*step) (struct object_job *job);
	/** Time of the next retry, ms; INT64_MAX: a call is in progress. */
	int64_t retry_at_ms;
	GString *key;

	/** Only for a result: */
	int64_t length;
	int64_t offset;
	int64_t chunk_bytes;
	GString *manifest;
	crypto_hash_sha256_state digest;

	/** Only for a search: the attempt and number of the checkpoint being read, and the work
	 * saved by the last one found. */
	int32_t attempt;
	int32_t number;
	int64_t done_ms;
};

static struct object_job *
job_new (struct dff_worker_objects *objects,
	 const struct dff_task_id *task,
	 void (*step) (struct object_job *job))
{
	struct object_job *job = g_new0 (struct object_job, 1);
	job->link.data = job;
	job->objects = objects;
	job->task = *task;
	job->step = step;
	job->key = g_string_new (NULL);
	job->manifest = g_string_new (NULL);
	job->retry_at_ms = INT64_MAX;
	g_queue_push_tail_link (&objects->jobs, &job->link);
	return job;
}

static void
job_free (struct object_job *job)
{
	g_queue_unlink (&job->objects->jobs, &job->link);
	g_string_free (job->key, TRUE);
	g_string_free (job->manifest, TRUE);
	g_free (job);
}

static void
retry_later (struct object_job *job)
{
	job->retry_at_ms = dff_clock_now_ms (job->objects->clock) + RETRY_MS;
}

static void
append_task (GString *out, const struct dff_task_id *task, int32_t attempt)
{
	g_string_append_printf (out, "%s:%" PRId32 ":%" PRId32, task->job.data, attempt,
				task->member);
}

/** Computes the digest of the bytes written so far; more may follow. */
static void
digest_hex (const struct object_job *job, char out[DFF_DIGEST_HEX_LEN + 1])
{
	unsigned char digest[crypto_hash_sha256_BYTES];
	crypto_hash_sha256_state state = job->digest;
	crypto_hash_sha256_final (&state, digest);
	sodium_bin2hex (out, DFF_DIGEST_HEX_LEN + 1, digest, sizeof (digest));
}

/** Fills the next chunk of a result: the task's name repeated, so that a wrong chunk is detected.
 */
static void
fill_chunk (const struct object_job *job, GString *chunk)
{
	g_autoptr (GString) name = g_string_new (NULL);
	append_task (name, &job->task, job->task.attempt);
	g_string_append_c (name, '\n');
	int64_t length = MIN (job->length - job->offset, DFF_RESULT_CHUNK_BYTES);
	g_string_set_size (chunk, (gsize)length);
	for (int64_t i = 0; i < length; i++)
		chunk->str[i] = name->str[(size_t)(job->offset + i) % name->len];
}

static void
manifest_written (void *user, const struct dff_object_result *result)
{
	struct object_job *job = user;
	if (result->outcome != DFF_OBJECT_OK) {
		retry_later (job);
		return;
	}
	char hex[DFF_DIGEST_HEX_LEN + 1];
	struct dff_name key;
	digest_hex (job, hex);
	bool fits = dff_task_result_key (&job->task, &key);
	g_assert (fits);
	dff_worker_tasks_result_written (job->objects->tasks, &job->task, &key, job->length, hex);
	job_free (job);
}

static void
write_manifest (struct object_job *job)
{
	char hex[DFF_DIGEST_HEX_LEN + 1];
	digest_hex (job, hex);
	g_autoptr (GString) text = g_string_new (NULL);
	g_string_append_printf (text, "{\"length\":%" PRId64 ",\"digest\":\"%s\",\"chunks\":[%s]}",
				job->length, hex, job->manifest->str);
	g_string_truncate (job->key, 0);
	append_task (job->key, &job->task, job->task.attempt);
	const struct dff_object_store *store = job->objects->store;
	store->put (store->ctx, (struct dff_str){job->key->str, job->key->len},
		    (struct dff_str){text->str, text->len}, manifest_written, job);
}

static void
append_chunk_entry (struct object_job *job, const GString *chunk)
{
	char hex[DFF_DIGEST_HEX_LEN + 1];
	dff_digest_hex ((struct dff_str){chunk->str, chunk->len}, hex);
	crypto_hash_sha256_update (&job->digest, (const unsigned char *)chunk->str, chunk->len);
	g_string_append_printf (job->manifest,
				"%s{\"offset\":%" PRId64 ",\"length\":%" G_GSIZE_FORMAT
				",\"digest\":\"%s\",\"key\":\"%s\"}",
				job->offset == 0 ? "" : ",", job->offset, chunk->len, hex,
				job->key->str);
}

static void
chunk_written (void *user, const struct dff_object_result *result)
{
	struct object_job *job = user;
	if (result->outcome != DFF_OBJECT_OK) {
		retry_later (job);
		return;
	}
	g_autoptr (GString) chunk = g_string_new (NULL);
	fill_chunk (job, chunk);
	append_chunk_entry (job, chunk);
	job->offset += (int64_t)chunk->len;
	job->step (job);
}

static void
write_next (struct object_job *job)
{
	if (job->offset == job->length) {
		write_manifest (job);
		return;
	}
	g_autoptr (GString) chunk = g_string_new (NULL);
	fill_chunk (job, chunk);
	g_string_truncate (job->key, 0);
	append_task (job->key, &job->task, job->task.attempt);
	g_string_append_printf (job->key, "/%" PRId64, job->offset / DFF_RESULT_CHUNK_BYTES);
	const struct dff_object_store *store = job->objects->store;
	store->put (store->ctx, (struct dff_str){job->key->str, job->key->len},
		    (struct dff_str){chunk->str, chunk->len}, chunk_written, job);
}

void
dff_worker_objects_write_result (struct dff_worker_objects *objects,
				 const struct dff_task_id *task,
				 int64_t length)
{
	struct object_job *job = job_new (objects, task, write_next);
	job->length = length;
	crypto_hash_sha256_init (&job->digest);
	write_next (job);
}

static void
set_checkpoint_key (GString *key, const struct dff_task_id *task, int32_t attempt, int32_t number)
{
	g_string_assign (key, "checkpoint/");
	append_task (key, task, attempt);
	g_string_append_printf (key, "/%" PRId32, number);
}

static int64_t
read_done_ms (struct dff_str text)
{
	json_t *root = json_loadb (text.data, text.len, 0, NULL);
	int64_t done_ms = json_integer_value (json_object_get (root, "done_ms"));
	json_decref (root);
	return done_ms;
}

static void
checkpoint_read (void *user, const struct dff_object_result *result)
{
	struct object_job *job = user;
	if (result->outcome == DFF_OBJECT_UNAVAILABLE) {
		retry_later (job);
		return;
	}
	if (result->outcome == DFF_OBJECT_OK) {
		job->done_ms = read_done_ms (result->data);
		job->number++;
	} else if (job->number > 1) {
		job->attempt = 0;
	} else {
		job->attempt--;
	}
	job->step (job);
}

static void
search_next (struct object_job *job)
{
	if (job->attempt == 0) {
		dff_worker_tasks_loaded (job->objects->tasks, &job->task, job->done_ms);
		job_free (job);
		return;
	}
	set_checkpoint_key (job->key, &job->task, job->attempt, job->number);
	const struct dff_object_store *store = job->objects->store;
	store->get (store->ctx, (struct dff_str){job->key->str, job->key->len}, checkpoint_read,
		    job);
}

void
dff_worker_objects_load (struct dff_worker_objects *objects, const struct dff_task_id *task)
{
	struct object_job *job = job_new (objects, task, search_next);
	job->attempt = task->attempt - 1;
	job->number = 1;
	search_next (job);
}

struct save {
	dff_worker_saved_func done;
	void *user;
};

static void
checkpoint_written (void *user, const struct dff_object_result *result)
{
	struct save save = *(struct save *)user;
	g_free (user);
	save.done (save.user, result->outcome == DFF_OBJECT_OK);
}

void
dff_worker_objects_save (struct dff_worker_objects *objects,
			 const struct dff_task_id *task,
			 int32_t number,
			 int64_t done_ms,
			 dff_worker_saved_func done,
			 void *user)
{
	g_autoptr (GString) key = g_string_new (NULL);
	g_autoptr (GString) data = g_string_new (NULL);
	set_checkpoint_key (key, task, task->attempt, number);
	g_string_printf (data, "{\"done_ms\":%" PRId64 "}", done_ms);
	struct save *save = g_new (struct save, 1);
	*save = (struct save){done, user};
	objects->store->put (objects->store->ctx, (struct dff_str){key->str, key->len},
			     (struct dff_str){data->str, data->len}, checkpoint_written, save);
}

struct dff_worker_objects *
dff_worker_objects_new (const struct dff_object_store *store,
			const struct dff_clock *clock,
			struct dff_worker_tasks *tasks)
{
	struct dff_worker_objects *objects = g_new0 (struct dff_worker_objects, 1);
	objects->store = store;
	objects->clock = clock;
	objects->tasks = tasks;
	return objects;
}

void
dff_worker_objects_free (struct dff_worker_objects *objects)
{
	while (!g_queue_is_empty (&objects->jobs))
		job_free (objects->jobs.head->data);
	g_free (objects);
}

static struct object_job *
first_due (struct dff_worker_objects *objects, int64_t now_ms)
{
	for (const GList *at = objects->jobs.head; at != NULL; at = at->next) {
		struct object_job *job = at->data;
		if (job->retry_at_ms <= now_ms)
			return job;
	}
	return NULL;
}

void
dff_worker_objects_tick (struct dff_worker_objects *objects)
{
	int64_t now_ms = dff_clock_now_ms (objects->clock);
	for (struct object_job *job = first_due (objects, now_ms); job != NULL;
	     job = first_due (objects, now_ms)) {
		job->retry_at_ms = INT64_MAX;
		job->step (job);
	}
}

bool
dff_worker_objects_busy (const struct dff_worker_objects *objects)
{
	return objects->jobs.length > 0;
}
