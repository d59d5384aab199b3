#include "peer/membership_internal.h"

#include "common/log.h"

/* Merging of reports on members; (incarnation, sequence) orders them. */

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
	/* Processes queue their notices until they have a report on the new holder. */
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

/* A process that restarts under the same name begins at incarnation 1 again: it has no disk to
 * store the last one, and clocks of two machines cannot be compared. Its peers would drop its
 * heartbeats as outdated and it would stay dead. So they send it their last report on it, and it
 * continues with a higher incarnation. A process that was declared dead during a pause does the
 * same. */
static void
raise_incarnation (struct dff_membership *membership, const struct dff_member_report *report)
{
	struct dff_member_report *self = &membership->table->self->known;
	self->incarnation = MAX (self->incarnation, report->incarnation) + 1;
	self->sequence = MAX (self->sequence, report->sequence);
	membership->announce = true;
	*membership->n_refuted += 1;
	dff_log (DFF_LOG_PEER, DFF_LOG_INFO,
		 "Own incarnation raised. incarnation=%" G_GUINT64_FORMAT, self->incarnation);
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
	/* A peer that reports an earlier incarnation as failed is answered too: it missed the
	 * refutation and would go on to treat this process as dead. */
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
	/* A dead member becomes alive only by a higher incarnation, which it raises itself: a
	 * delayed report must not revive a dead member. */
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

/* Returns: whether the known heartbeat is so much newer than the failure report that the report is
 * outdated. A lead of up to suspect_ms does not contradict the report, as the reporting peer waited
 * that long. The member's sequence is compared, not the time of arrival, which does not show how
 * long a heartbeat was delayed. */
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
	/* This process receives heartbeats of the member, but the reporting peer does not: lost
	 * messages or a network cut. The member gets the report, to refute it to all members. */
	if (received_recently (membership, entry)) {
		dff_membership_correct (membership, entry, report);
		return;
	}
	enum dff_liveness liveness = report->liveness;
	if (report_is_newer (known, report) && liveness == DFF_LIVENESS_SUSPECT)
		return;
	if (contradicts (membership, known, report))
		liveness = DFF_LIVENESS_SUSPECT;
	/* A later incarnation supersedes the known liveness. */
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
	/* The member is alive, but peers may still report this incarnation as failed. */
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
