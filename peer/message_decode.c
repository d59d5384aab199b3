#include "peer/message.h"

#include <string.h>

#include "peer/deflate.h"
#include "peer/peer.pb-c.h"

static bool
name_from_wire (const ProtobufCBinaryData *wire, struct dff_name *name)
{
	struct dff_str text = {.data = (const char *)wire->data, .len = wire->len};
	return dff_name_parse (text, name);
}

static bool
optional_name_from_wire (const ProtobufCBinaryData *wire, struct dff_name *name)
{
	if (wire->len > 0)
		return name_from_wire (wire, name);
	memset (name, 0, sizeof (*name));
	return true;
}

static bool
member_from_wire (const Dff__Peer__MemberState *wire, struct dff_member_report *report)
{
	if (!name_from_wire (&wire->id, &report->id))
		return false;
	if (wire->life < DFF__PEER__LIFE__ALIVE || wire->life > DFF__PEER__LIFE__DEAD)
		return false;
	/* With the largest incarnation a member could never refute that it is dead, as there is no
	 * higher one. */
	if (wire->incarnation == UINT64_MAX || wire->pool_generation < 0 || wire->holder_epoch < 0)
		return false;
	report->incarnation = wire->incarnation;
	report->sequence = wire->sequence;
	report->liveness = (enum dff_liveness)wire->life;
	report->leaving = wire->leaving;
	report->ready = wire->ready;
	report->pool_generation = wire->pool_generation;
	report->holder_epoch = wire->holder_epoch;
	report->start_id = wire->start;
	return true;
}

static bool
decode_heartbeat (const Dff__Peer__Heartbeat *wire, struct dff_message *message)
{
	struct dff_heartbeat *heartbeat = &message->heartbeat;
	if (wire->self == NULL || wire->n_others > DFF_HEARTBEAT_PEERS_MAX)
		return false;
	if (!member_from_wire (wire->self, &heartbeat->self))
		return false;
	if (!dff_name_equal (&heartbeat->self.id, &message->sender))
		return false;
	struct dff_member_report *others = g_new0 (struct dff_member_report, wire->n_others);
	message->elements = others;
	for (size_t i = 0; i < wire->n_others; i++) {
		if (!member_from_wire (wire->others[i], &others[i]))
			return false;
	}
	heartbeat->sent_ms = wire->sent_ms;
	heartbeat->peers = others;
	heartbeat->n_peers = wire->n_others;
	return true;
}

/* Checks the length before the allocation: a message of a few bytes can claim gigabytes. */
static bool
decode_deflated_pool_file (const Dff__Peer__PoolFile *wire, struct dff_message *message)
{
	if (wire->length == 0 || wire->length > DFF_MESSAGE_MAX_BYTES)
		return false;
	message->elements = dff_inflate (wire->deflated.data, wire->deflated.len, wire->length);
	message->pool_file.text.data = message->elements;
	message->pool_file.text.len = wire->length;
	return message->elements != NULL;
}

static bool
decode_pool_file (const Dff__Peer__PoolFile *wire, struct dff_message *message)
{
	if (wire->generation <= 0 || wire->revision < 0)
		return false;
	message->pool_file.generation = wire->generation;
	message->pool_file.revision = wire->revision;
	if (wire->deflated.len > 0)
		return decode_deflated_pool_file (wire, message);
	if (wire->text.len == 0)
		return false;
	message->pool_file.text.data = (const char *)wire->text.data;
	message->pool_file.text.len = wire->text.len;
	return true;
}

static bool
decode_job_ended (const Dff__Peer__JobEnded *wire, struct dff_message *message)
{
	if (wire->outcome > DFF_OUTCOME_UNKNOWN)
		return false;
	message->job_ended.outcome = (enum dff_outcome)wire->outcome;
	return name_from_wire (&wire->job, &message->job_ended.job);
}

static bool
task_report_from_wire (const Dff__Peer__TaskReport *wire, struct dff_task_report *report)
{
	if (!name_from_wire (&wire->job, &report->task.job))
		return false;
	if (!optional_name_from_wire (&wire->result_key, &report->result_key))
		return false;
	if (wire->attempt < 0 || wire->member < 0 || wire->member >= DFF_JOB_GANG_MAX)
		return false;
	if (wire->state > DFF_TASK_REFUSED || wire->checkpoints < 0 || wire->result_length < 0)
		return false;
	if (wire->result_digest.len >= sizeof (report->result_digest))
		return false;
	report->task.attempt = wire->attempt;
	report->task.member = wire->member;
	report->state = (enum dff_task_state)wire->state;
	report->ran = wire->ran;
	report->checkpoints = wire->checkpoints;
	report->result_length = wire->result_length;
	if (wire->result_digest.len > 0)
		memcpy (report->result_digest, wire->result_digest.data, wire->result_digest.len);
	return true;
}

static bool
decode_worker_report (const Dff__Peer__Sighting *wire, struct dff_message *message)
{
	struct dff_worker_report *report = &message->worker_report;
	if (wire->n_reports > DFF_MESSAGE_ELEMENTS_MAX || wire->silent_ms < 0)
		return false;
	if (!name_from_wire (&wire->worker, &report->worker))
		return false;
	struct dff_task_report *reports = g_new0 (struct dff_task_report, wire->n_reports);
	message->elements = reports;
	for (size_t i = 0; i < wire->n_reports; i++) {
		if (!task_report_from_wire (wire->reports[i], &reports[i]))
			return false;
	}
	report->reachable = wire->reachable;
	report->leaving = wire->leaving;
	report->silent_ms = wire->silent_ms;
	report->complete = wire->whole;
	report->reports = reports;
	report->n_reports = wire->n_reports;
	return true;
}

static bool
decode_grant_digest (const Dff__Peer__Grants *wire, struct dff_grant_set *set)
{
	set->is_renewal = wire->digest.len > 0;
	if (!set->is_renewal)
		return true;
	if (wire->digest.len != sizeof (set->digest.bytes) || wire->n_grants > 0)
		return false;
	memcpy (set->digest.bytes, wire->digest.data, sizeof (set->digest.bytes));
	return true;
}

static bool
decode_grants (const Dff__Peer__Grants *wire, struct dff_message *message)
{
	struct dff_grant_set *set = &message->grants;
	if (wire->n_grants > DFF_MESSAGE_ELEMENTS_MAX)
		return false;
	if (wire->epoch <= 0 || wire->valid_ms < 0 || wire->heard_age_ms < 0)
		return false;
	if (!decode_grant_digest (wire, set))
		return false;
	struct dff_grant *grants = g_new0 (struct dff_grant, wire->n_grants);
	message->elements = grants;
	for (size_t i = 0; i < wire->n_grants; i++) {
		if (!name_from_wire (&wire->grants[i]->worker, &grants[i].worker))
			return false;
		if (wire->grants[i]->slots < 0)
			return false;
		grants[i].slots = wire->grants[i]->slots;
	}
	set->epoch = wire->epoch;
	set->sequence = wire->sequence;
	set->valid_ms = wire->valid_ms;
	set->heartbeat_sent_ms = wire->heard_sent_ms;
	set->heartbeat_age_ms = wire->heard_age_ms;
	set->grants = grants;
	set->n_grants = wire->n_grants;
	return true;
}

static bool
decode_body (const Dff__Peer__Envelope *envelope, struct dff_message *message)
{
	switch (envelope->body_case) {
	case DFF__PEER__ENVELOPE__BODY_HEARTBEAT:
		message->kind = DFF_MESSAGE_HEARTBEAT;
		return decode_heartbeat (envelope->heartbeat, message);
	case DFF__PEER__ENVELOPE__BODY_POOL_REQUEST:
		message->kind = DFF_MESSAGE_POOL_REQUEST;
		message->pool_request = envelope->pool_request->generation;
		return true;
	case DFF__PEER__ENVELOPE__BODY_POOL_FILE:
		message->kind = DFF_MESSAGE_POOL_FILE;
		return decode_pool_file (envelope->pool_file, message);
	case DFF__PEER__ENVELOPE__BODY_JOB_HINT:
		message->kind = DFF_MESSAGE_JOB_HINT;
		return name_from_wire (&envelope->job_hint->job, &message->job);
	case DFF__PEER__ENVELOPE__BODY_JOB_WATCH:
		message->kind = DFF_MESSAGE_JOB_WATCH;
		return name_from_wire (&envelope->job_watch->job, &message->job);
	case DFF__PEER__ENVELOPE__BODY_JOB_ENDED:
		message->kind = DFF_MESSAGE_JOB_ENDED;
		return decode_job_ended (envelope->job_ended, message);
	case DFF__PEER__ENVELOPE__BODY_SIGHTING:
		message->kind = DFF_MESSAGE_WORKER_REPORT;
		return decode_worker_report (envelope->sighting, message);
	case DFF__PEER__ENVELOPE__BODY_GRANTS:
		message->kind = DFF_MESSAGE_GRANTS;
		return decode_grants (envelope->grants, message);
	default:
		return false;
	}
}

static bool
decode_envelope (const uint8_t *data, size_t len, struct dff_message *message)
{
	Dff__Peer__Envelope *envelope = dff__peer__envelope__unpack (NULL, len, data);
	message->envelope = envelope;
	if (envelope == NULL || !name_from_wire (&envelope->sender, &message->sender))
		return false;
	return decode_body (envelope, message);
}

struct dff_message *
dff_message_decode (const uint8_t *data, size_t len)
{
	if (len > DFF_MESSAGE_MAX_BYTES)
		return NULL;
	struct dff_message *message = g_new0 (struct dff_message, 1);
	if (decode_envelope (data, len, message))
		return message;
	dff_message_free (message);
	return NULL;
}

void
dff_message_free (struct dff_message *message)
{
	g_free (message->elements);
	if (message->envelope != NULL)
		dff__peer__envelope__free_unpacked (message->envelope, NULL);
	g_free (message);
}
