#ifndef DFF_HOLDER_TABLES_H
#define DFF_HOLDER_TABLES_H

/* Tables of the row store, and the keys in them that are fixed. */

/** What the operator puts in force; one row, DFF_KEY_CONFIG. */
#define DFF_TABLE_CONFIG "config"
#define DFF_KEY_CONFIG "config"
/** Workers as they report themselves, by worker. */
#define DFF_TABLE_UPSTREAMS "upstreams"
/** DFF_KEY_HOLDER: who decides, and its epoch. DFF_KEY_WAITING: jobs not begun, by class. */
#define DFF_TABLE_CELL "cell"
#define DFF_KEY_HOLDER "holder"
#define DFF_KEY_WAITING "waiting"
/** Accepted jobs, by job: what was submitted; immutable. JOB DFF_KEY_CANCEL_SUFFIX: its
 * cancellation. */
#define DFF_TABLE_JOBS "jobs"
#define DFF_KEY_CANCEL_SUFFIX ".cancel"
/** Keys of DFF_TABLE_JOBS that the holder has yet to take in: written with the row itself, removed
 * by the holder. Changes of a table may be told late; this table is read whole. */
#define DFF_TABLE_INBOX "inbox"
/** How far each job is, by job; written by the holder alone. */
#define DFF_TABLE_PROGRESS "progress"

#endif
