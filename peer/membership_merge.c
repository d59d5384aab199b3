#include "peer/membership_internal.h"

#include "common/log.h"

/* What others say about members, in order of (incarnation, sequence). */

static bool
report_is_newer (const struct dff_member_report *a, const struct dff_member_report *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->sequence > b->sequence;
}

static bool
report_is_same_age (const struct dff_member_report *a, const struct dff_member_report *b)
{
	return a->incarnation == b->incarnation && a->sequence == b->sequence;
}

static void
adopt_values (struct dff_membership *membership,
	      struct dff_member_entry *entry,
	      const struct dff_member_report *report)
{
	struct dff_member_report *known = &entry->known;
	bool relay = known->incarnation != report->incarnation ||
		     known->leaving != report->leaving ||
		     known->holder_epoch != report->holder_epoch;
	/* Until a new holder is known everywhere in its region, notices to it wait. */
	if (known->holder_epoch < report->holder_epoch && dff_membership_is_sampled (membership))
		membership->announce = true;
	bool differs = relay || known->ready != report->ready;
	known->incarnation = report->incarnation;
	known->sequence = report->sequence;
	known->leaving = report->leaving;
	known->ready = report->ready;
	known->pool_generation = report->pool_generation;
	known->holder_epoch = report->holder_epoch;
	known->start_id = report->start_id;
	if (relay)
		dff_membership_relay (membership, entry);
	if (differs)
		dff_membership_mark_changed (membership, entry);
}

/* A process that was restarted with its old name begins at incarnation 1 again: it has no disk to
 * remember the last one, and clocks of two machines cannot be compared. Symptom: its heartbeats are
 * older than what the others know and are dropped, so that it stays dead for them. The others tell
 * it what they know of it, and it goes on from there. The same way a paused process that was taken
 * for dead learns of it. */
static void
raise_incarnation (struct dff_membership *membership, const struct dff_member_report *report)
{
	struct dff_member_report *self = &membership->table->self->known;
	self->incarnation = MAX (self->incarnation, report->incarnation) + 1;
	self->sequence = MAX (self->sequence, report->sequence);
	membership->announce = true;
	*membership->n_refuted += 1;
	dff_log (DFF_LOG_PEER, DFF_LOG_INFO, "Incarnation raised. incarnation=%" G_GUINT64_FORMAT,
		 self->incarnation);
}

static void
merge_about_self (struct dff_membership *membership,
		  struct dff_member_entry *sender,
		  const struct dff_member_report *report)
{
	struct dff_member_report *self = &membership->table->self->known;
	bool from_earlier_run = report_is_newer (report, self);
	bool reported_failed = report->liveness != DFF_LIVENESS_ALIVE;
	if (from_earlier_run || (reported_failed && report->incarnation == self->incarnation))
		raise_incarnation (membership, report);
	/* Also one that accuses an incarnation that is over is answered: it has not heard of the
	 * refutation, and would go on to take this process for dead. */
	if (from_earlier_run || reported_failed) {
		self->sequence++;
		dff_membership_send_heartbeat (membership, sender);
	}
}

static void
merge_alive_report (struct dff_membership *membership,
		    struct dff_member_entry *entry,
		    const struct dff_member_report *report)
{
	if (!report_is_newer (report, &entry->known))
		return;
	/* Only the member itself can end its death, by a higher incarnation: a sign of liveness
	 * that was long on its way must not bring back one that is gone. */
	bool same_incarnation = report->incarnation == entry->known.incarnation;
	if (entry->known.liveness == DFF_LIVENESS_DEAD && same_incarnation)
		return;
	entry->heartbeat_received_ms = dff_clock_now_ms (membership->options.clock);
	adopt_values (membership, entry, report);
	dff_membership_set_liveness (membership, entry, DFF_LIVENESS_ALIVE);
}

static bool
received_recently (const struct dff_membership *membership, const struct dff_member_entry *entry)
{
	int64_t now_ms = dff_clock_now_ms (membership->options.clock);
	return now_ms - entry->direct_received_ms <= membership->options.suspect_ms;
}

/* Whether this process has a sign of liveness from so much later that the accuser's judgement says
 * nothing about it. A heartbeat or two that the accuser lost are no contradiction: it judged after
 * a longer silence. How late a sign of liveness was when it came here cannot be told from its
 * arrival, so the member's own count of heartbeats decides. */
static bool
contradicts (const struct dff_membership *membership,
	     const struct dff_member_report *known,
	     const struct dff_member_report *failure)
{
	const struct dff_membership_options *options = &membership->options;
	uint64_t tolerated = (uint64_t)(options->suspect_ms / options->heartbeat_ms);
	return known->incarnation == failure->incarnation &&
	       known->sequence > failure->sequence + tolerated;
}

static void
merge_failure_report (struct dff_membership *membership,
		      struct dff_member_entry *entry,
		      const struct dff_member_report *report)
{
	const struct dff_member_report *known = &entry->known;
	if (report->incarnation < known->incarnation || known->incarnation == 0)
		return;
	/* The accuser does not hear a member that this process does hear: a cut between those two,
	 * or messages lost. The member is told, so that it can refute towards everybody. */
	if (received_recently (membership, entry)) {
		dff_membership_correct (membership, entry, report);
		return;
	}
	enum dff_liveness liveness = report->liveness;
	if (report_is_newer (known, report) && liveness == DFF_LIVENESS_SUSPECT)
		return;
	if (contradicts (membership, known, report))
		liveness = DFF_LIVENESS_SUSPECT;
	/* A later incarnation ran after whatever this process holds it for. */
	bool known_is_outdated = report->incarnation > known->incarnation;
	if (report_is_newer (report, known))
		adopt_values (membership, entry, report);
	if (known_is_outdated || liveness > known->liveness)
		dff_membership_set_liveness (membership, entry, liveness);
}

static void
merge_report (struct dff_membership *membership,
	      struct dff_member_entry *sender,
	      const struct dff_member_report *report)
{
	struct dff_member_entry *entry = dff_member_table_find (membership->table, &report->id);
	if (entry == NULL)
		return;
	if (entry == membership->table->self)
		merge_about_self (membership, sender, report);
	else if (report->liveness != DFF_LIVENESS_ALIVE)
		merge_failure_report (membership, entry, report);
	else
		merge_alive_report (membership, entry, report);
}

static void
merge_own_report (struct dff_membership *membership,
		  struct dff_member_entry *entry,
		  const struct dff_heartbeat *heartbeat)
{
	const struct dff_member_report *report = &heartbeat->self;
	if (!report_is_newer (report, &entry->known)) {
		if (!report_is_same_age (report, &entry->known))
			dff_membership_correct (membership, entry, &entry->known);
		return;
	}
	struct dff_member_report before = entry->known;
	entry->heartbeat_received_ms = dff_clock_now_ms (membership->options.clock);
	entry->direct_received_ms = entry->heartbeat_received_ms;
	entry->heartbeat_sent_ms = heartbeat->sent_ms;
	adopt_values (membership, entry, report);
	dff_membership_set_liveness (membership, entry, DFF_LIVENESS_ALIVE);
	/* It lives, but others still hold it for dead in this incarnation. */
	if (before.liveness != DFF_LIVENESS_ALIVE && before.incarnation == report->incarnation)
		dff_membership_correct (membership, entry, &before);
}

bool
dff_membership_receive (struct dff_membership *membership, const struct dff_heartbeat *heartbeat)
{
	struct dff_member_entry *entry =
		dff_member_table_find (membership->table, &heartbeat->self.id);
	if (entry == NULL || entry == membership->table->self)
		return false;
	merge_own_report (membership, entry, heartbeat);
	for (size_t i = 0; i < heartbeat->n_peers; i++)
		merge_report (membership, entry, &heartbeat->peers[i]);
	return true;
}
