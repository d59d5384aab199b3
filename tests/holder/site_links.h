#ifndef DFF_TESTS_HOLDER_SITE_LINKS_H
#define DFF_TESTS_HOLDER_SITE_LINKS_H

#include "tests/holder/site.h"

/* What processes hand to the one that decides, and ask of it: rows of jobs, and states. */

/** Sets what a holder tells its process of who decides. */
void site_links_options (struct site_process *process, struct dff_holder_options *options);

/** Opens a process's way to the one that decides, in front of its store. */
void site_links_start (struct site_process *process);

/** Has a front go by it. */
void site_links_front_options (struct site_process *process, struct dff_front_options *options);

/** The process is killed; before its front and its store are freed. */
void site_links_kill (struct site_process *process);

#endif
