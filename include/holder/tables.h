#ifndef DFF_HOLDER_TABLES_H
#define DFF_HOLDER_TABLES_H

/* Tables of the row store, and their fixed keys. */

/** Operator state; one row, DFF_KEY_CONFIG. */
#define DFF_TABLE_CONFIG "config"
#define DFF_KEY_CONFIG "config"
/** Entries that workers write about themselves, by worker. */
#define DFF_TABLE_UPSTREAMS "upstreams"
/** DFF_KEY_HOLDER: the holder and its epoch. DFF_KEY_WAITING: number of jobs that have not begun,
 * by class. DFF_KEY_SPEEDS: how fast workers were found to be, see holder/speeds.c. */
#define DFF_TABLE_CELL "cell"
#define DFF_KEY_HOLDER "holder"
#define DFF_KEY_WAITING "waiting"
#define DFF_KEY_SPEEDS "speeds"
/** Accepted jobs, by job: what was submitted; immutable. JOB DFF_KEY_CANCEL_SUFFIX: its
 * cancellation. */
#define DFF_TABLE_JOBS "jobs"
#define DFF_KEY_CANCEL_SUFFIX ".cancel"
/** Keys of DFF_TABLE_JOBS that the holder has not applied yet: written with the row itself,
 * removed by the holder. A feed may deliver changes late; this table is read whole. */
#define DFF_TABLE_INBOX "inbox"
/** Progress of each job, by job; written by the holder alone. */
#define DFF_TABLE_PROGRESS "progress"

#endif
