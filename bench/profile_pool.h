#ifndef DFF_BENCH_PROFILE_POOL_H
#define DFF_BENCH_PROFILE_POOL_H

#include <stddef.h>
#include <stdio.h>

/* The pool files of the profiles, and the names of the teams and workers in them, counted from 0.
 */

void dff_profile_write_tatrinvest (FILE *out);

void dff_profile_tatrinvest_team_name (int index, char *name, size_t size);

void dff_profile_tatrinvest_worker_name (int index, char *name, size_t size);

void dff_profile_write_cartucho (FILE *out);

void dff_profile_cartucho_team_name (int index, char *name, size_t size);

void dff_profile_cartucho_worker_name (int index, char *name, size_t size);

void dff_profile_write_design (FILE *out);

void dff_profile_design_team_name (int index, char *name, size_t size);

void dff_profile_design_worker_name (int index, char *name, size_t size);

#endif
