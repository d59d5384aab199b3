#include "peer/message.h"

#include "peer/deflate.h"
#include "peer/peer.pb-c.h"

static ProtobufCBinaryData
bytes_of (const struct dff_name *name)
{
	ProtobufCBinaryData bytes = {.len = name->len, .data = (uint8_t *)name->data};
	return bytes;
}

static GByteArray *
pack (const Dff__Peer__Envelope *envelope)
{
	size_t size = dff__peer__envelope__get_packed_size (envelope);
	GByteArray *out = g_byte_array_sized_new ((guint)size);
	g_byte_array_set_size (out, (guint)size);
	dff__peer__envelope__pack (envelope, out->data);
	return out;
}

static void
member_to_wire (const struct dff_member_report *report, Dff__Peer__MemberState *wire)
{
	dff__peer__member_state__init (wire);
	wire->id = bytes_of (&report->id);
	wire->incarnation = report->incarnation;
	wire->sequence = report->sequence;
	wire->life = (Dff__Peer__Life)report->liveness;
	wire->leaving = report->leaving;
	wire->ready = report->ready;
	wire->pool_generation = report->pool_generation;
	wire->holder_epoch = report->holder_epoch;
	wire->start = report->start_id;
}

static GByteArray *
encode_heartbeat (Dff__Peer__Envelope envelope, const struct dff_heartbeat *heartbeat)
{
	Dff__Peer__Heartbeat wire = DFF__PEER__HEARTBEAT__INIT;
	Dff__Peer__MemberState self;
	Dff__Peer__MemberState others[DFF_HEARTBEAT_PEERS_MAX];
	Dff__Peer__MemberState *pointers[DFF_HEARTBEAT_PEERS_MAX];
	member_to_wire (&heartbeat->self, &self);
	wire.self = &self;
	wire.sent_ms = heartbeat->sent_ms;
	wire.n_others = MIN (heartbeat->n_peers, (size_t)DFF_HEARTBEAT_PEERS_MAX);
	wire.others = pointers;
	for (size_t i = 0; i < wire.n_others; i++) {
		member_to_wire (&heartbeat->peers[i], &others[i]);
		pointers[i] = &others[i];
	}
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &wire;
	return pack (&envelope);
}

static GByteArray *
encode_pool_request (Dff__Peer__Envelope envelope, int64_t generation)
{
	Dff__Peer__PoolRequest wire = DFF__PEER__POOL_REQUEST__INIT;
	wire.generation = generation;
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_POOL_REQUEST;
	envelope.pool_request = &wire;
	return pack (&envelope);
}

static GByteArray *
encode_pool_file (Dff__Peer__Envelope envelope, const struct dff_pool_file *file)
{
	Dff__Peer__PoolFile wire = DFF__PEER__POOL_FILE__INIT;
	wire.generation = file->generation;
	wire.revision = file->revision;
	g_autoptr (GByteArray) deflated = dff_deflate (file->text);
	wire.deflated.data = deflated->data;
	wire.deflated.len = deflated->len;
	wire.length = (uint32_t)file->text.len;
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_POOL_FILE;
	envelope.pool_file = &wire;
	return pack (&envelope);
}

static GByteArray *
encode_job (Dff__Peer__Envelope envelope,
	    Dff__Peer__Envelope__BodyCase body_case,
	    const struct dff_name *job)
{
	Dff__Peer__JobNotice wire = DFF__PEER__JOB_NOTICE__INIT;
	wire.job = bytes_of (job);
	envelope.body_case = body_case;
	envelope.job_hint = &wire;
	return pack (&envelope);
}

static GByteArray *
encode_job_ended (Dff__Peer__Envelope envelope, const struct dff_job_end *end)
{
	Dff__Peer__JobEnded wire = DFF__PEER__JOB_ENDED__INIT;
	wire.job = bytes_of (&end->job);
	wire.outcome = (uint32_t)end->outcome;
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_JOB_ENDED;
	envelope.job_ended = &wire;
	return pack (&envelope);
}

static void
task_report_to_wire (const struct dff_task_report *report, Dff__Peer__TaskReport *wire)
{
	dff__peer__task_report__init (wire);
	wire->job = bytes_of (&report->task.job);
	wire->attempt = report->task.attempt;
	wire->member = report->task.member;
	wire->state = (uint32_t)report->state;
	wire->ran = report->ran;
	wire->checkpoints = report->checkpoints;
	wire->result_key = bytes_of (&report->result_key);
	wire->result_length = report->result_length;
	wire->result_digest.data = (uint8_t *)report->result_digest;
	wire->result_digest.len = strnlen (report->result_digest, sizeof (report->result_digest));
}

static GByteArray *
encode_worker_report (Dff__Peer__Envelope envelope, const struct dff_worker_report *report)
{
	size_t n = MIN (report->n_reports, (size_t)DFF_MESSAGE_ELEMENTS_MAX);
	g_autofree Dff__Peer__TaskReport *reports = g_new (Dff__Peer__TaskReport, n);
	g_autofree Dff__Peer__TaskReport **pointers = g_new (Dff__Peer__TaskReport *, n);
	for (size_t i = 0; i < n; i++) {
		task_report_to_wire (&report->reports[i], &reports[i]);
		pointers[i] = &reports[i];
	}
	Dff__Peer__Sighting wire = DFF__PEER__SIGHTING__INIT;
	wire.worker = bytes_of (&report->worker);
	wire.reachable = report->reachable;
	wire.leaving = report->leaving;
	wire.silent_ms = report->silent_ms;
	wire.whole = report->complete && n == report->n_reports;
	wire.n_reports = n;
	wire.reports = pointers;
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_SIGHTING;
	envelope.sighting = &wire;
	return pack (&envelope);
}

static GByteArray *
encode_grants (Dff__Peer__Envelope envelope, const struct dff_grant_set *set)
{
	size_t n = MIN (set->n_grants, (size_t)DFF_MESSAGE_ELEMENTS_MAX);
	g_autofree Dff__Peer__Grant *grants = g_new (Dff__Peer__Grant, n);
	g_autofree Dff__Peer__Grant **pointers = g_new (Dff__Peer__Grant *, n);
	for (size_t i = 0; i < n; i++) {
		dff__peer__grant__init (&grants[i]);
		grants[i].worker = bytes_of (&set->grants[i].worker);
		grants[i].slots = set->grants[i].slots;
		pointers[i] = &grants[i];
	}
	Dff__Peer__Grants wire = DFF__PEER__GRANTS__INIT;
	wire.epoch = set->epoch;
	wire.sequence = set->sequence;
	wire.valid_ms = set->valid_ms;
	wire.heard_sent_ms = set->heartbeat_sent_ms;
	wire.heard_age_ms = set->heartbeat_age_ms;
	wire.n_grants = n;
	wire.grants = pointers;
	if (set->is_renewal) {
		wire.digest.data = (uint8_t *)set->digest.bytes;
		wire.digest.len = sizeof (set->digest.bytes);
	}
	envelope.body_case = DFF__PEER__ENVELOPE__BODY_GRANTS;
	envelope.grants = &wire;
	return pack (&envelope);
}

GByteArray *
dff_message_encode (const struct dff_message *message)
{
	Dff__Peer__Envelope envelope = DFF__PEER__ENVELOPE__INIT;
	envelope.sender = bytes_of (&message->sender);
	switch (message->kind) {
	case DFF_MESSAGE_HEARTBEAT:
		return encode_heartbeat (envelope, &message->heartbeat);
	case DFF_MESSAGE_POOL_REQUEST:
		return encode_pool_request (envelope, message->pool_request);
	case DFF_MESSAGE_POOL_FILE:
		return encode_pool_file (envelope, &message->pool_file);
	case DFF_MESSAGE_JOB_HINT:
		return encode_job (envelope, DFF__PEER__ENVELOPE__BODY_JOB_HINT, &message->job);
	case DFF_MESSAGE_JOB_WATCH:
		return encode_job (envelope, DFF__PEER__ENVELOPE__BODY_JOB_WATCH, &message->job);
	case DFF_MESSAGE_JOB_ENDED:
		return encode_job_ended (envelope, &message->job_ended);
	case DFF_MESSAGE_WORKER_REPORT:
		return encode_worker_report (envelope, &message->worker_report);
	case DFF_MESSAGE_GRANTS:
		return encode_grants (envelope, &message->grants);
	}
	g_assert_not_reached ();
}
