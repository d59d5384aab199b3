#ifndef DFF_TESTS_HOLDER_SITE_LINKS_H
#define DFF_TESTS_HOLDER_SITE_LINKS_H

#include "tests/holder/site.h"

/* Links between the processes of a site and the holder, for rows of jobs and state queries. */

/** Sets the options of a holder by which its process learns the address of the holder. */
void site_links_options (struct site_process *process, struct dff_holder_options *options);

/** Opens a process's intake, which forwards rows to the holder, in front of its store. */
void site_links_start (struct site_process *process);

/** Sets the options of a front to use the intake and to query states at the holder. */
void site_links_front_options (struct site_process *process, struct dff_front_options *options);

/** Frees the intake of a process that is killed, before its front and its store are freed. */
void site_links_kill (struct site_process *process);

#endif
