#include "bench/load/classes.h"

static const struct dff_load_class mixed[DFF_LOAD_MIXED_CLASSES] = {
	[DFF_LOAD_URGENT] = {.name = "urgent",
			     .priority = 0,
			     .per_s = 2.4,
			     .run_ms = 2500.0,
			     .run_spread = 0.5,
			     .run_max_ms = 8000.0,
			     .width = 3.4,
			     .width_spread = 0.8,
			     .width_max = 21,
			     .gang = true,
			     .accelerators = {1, 2, 4, 8, 8},
			     .cores = 8,
			     .one_rack_share = 0.8,
			     .checkpoint_share = 0.0,
			     .fail_share = 0.05,
			     .uneven = 0.3,
			     .max_attempts = 3,
			     .estimate_spread = 0.9,
			     .stretch = 1.5,
			     .target_ms = 250},
	[DFF_LOAD_GANGS] = {.name = "gangs",
			    .priority = 1,
			    .per_s = 0.8,
			    .run_ms = 6800.0,
			    .run_spread = 0.3,
			    .run_max_ms = 11000.0,
			    .width = 5.0,
			    .width_spread = 0.8,
			    .width_max = 30,
			    .gang = true,
			    .accelerators = {1, 2, 4, 8, 8},
			    .cores = 26,
			    .one_rack_share = 0.6,
			    .checkpoint_share = 0.45,
			    .fail_share = 0.05,
			    .uneven = 0.3,
			    .max_attempts = 2,
			    .estimate_spread = 0.5,
			    .stretch = 3.0,
			    .target_ms = 1000},
	[DFF_LOAD_BULK] = {.name = "bulk",
			   .priority = 2,
			   .per_s = 0.5,
			   .run_ms = 9500.0,
			   .run_spread = 0.3,
			   .run_max_ms = 11000.0,
			   .width = 20.0,
			   .width_spread = 0.8,
			   .width_max = 94,
			   .gang = false,
			   .accelerators = {1, 1, 1, 1, 1},
			   .cores = 6,
			   .checkpoint_share = 0.45,
			   .fail_share = 0.05,
			   .uneven = 0.3,
			   .max_attempts = 2,
			   .estimate_spread = 0.5,
			   .stretch = 3.0,
			   .target_ms = 3000},
};

static const struct dff_load_class contended[DFF_LOAD_MIXED_CLASSES] = {
	[DFF_LOAD_URGENT] = {.name = "urgent",
			     .priority = 0,
			     .per_s = 4.5,
			     .burst_times = 2.0,
			     .burst_from_ms = 18000,
			     .burst_to_ms = 24000,
			     .run_ms = 2500.0,
			     .run_spread = 0.3,
			     .run_max_ms = 8000.0,
			     .width = 5.0,
			     .width_spread = 0.8,
			     .width_max = 32,
			     .gang = true,
			     .accelerators = {1, 2, 4, 8, 8},
			     .cores = 4,
			     .one_rack_share = 0.8,
			     .checkpoint_share = 0.0,
			     .fail_share = 0.05,
			     .uneven = 0.1,
			     .max_attempts = 3,
			     .estimate_spread = 0.3,
			     .stretch = 1.5,
			     .target_ms = 250},
	[DFF_LOAD_GANGS] = {.name = "gangs",
			    .priority = 1,
			    .per_s = 0.9,
			    .run_ms = 11000.0,
			    .run_spread = 0.3,
			    .run_max_ms = 20000.0,
			    .width = 13.0,
			    .width_spread = 0.8,
			    .width_max = 78,
			    .gang = true,
			    .accelerators = {1, 2, 4, 8, 8},
			    .cores = 4,
			    .one_rack_share = 0.7,
			    .checkpoint_share = 0.45,
			    .fail_share = 0.05,
			    .uneven = 0.1,
			    .max_attempts = 2,
			    .estimate_spread = 0.3,
			    .stretch = 3.0,
			    .target_ms = 1000},
	[DFF_LOAD_BULK] = {.name = "bulk",
			   .priority = 2,
			   .per_s = 1.6,
			   .run_ms = 6100.0,
			   .run_spread = 0.3,
			   .run_max_ms = 11000.0,
			   .width = 39.0,
			   .width_spread = 0.8,
			   .width_max = 230,
			   .gang = false,
			   .accelerators = {1, 1, 2, 4, 8},
			   .cores = 4,
			   .checkpoint_share = 0.45,
			   .fail_share = 0.05,
			   .uneven = 0.1,
			   .max_attempts = 2,
			   .estimate_spread = 0.3,
			   .stretch = 3.0,
			   .target_ms = 3000},
};

void
dff_load_contended_classes (struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], double times)
{
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++) {
		classes[i] = contended[i];
		classes[i].per_s *= times;
	}
}

struct dff_load
dff_load_contended (const struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], uint32_t seed)
{
	return (struct dff_load){.seed = seed,
				 .n_racks = 44,
				 .per_rack = 8,
				 .accelerators = 8,
				 .cores = 64,
				 .classes = classes,
				 .n_classes = DFF_LOAD_MIXED_CLASSES,
				 .length_ms = 45000,
				 .drain_ms = 30000};
}

void
dff_load_mixed_classes (struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], double times)
{
	for (size_t i = 0; i < DFF_LOAD_MIXED_CLASSES; i++) {
		classes[i] = mixed[i];
		classes[i].per_s *= times;
	}
}

struct dff_load
dff_load_mixed (const struct dff_load_class classes[DFF_LOAD_MIXED_CLASSES], uint32_t seed)
{
	return (struct dff_load){.seed = seed,
				 .n_racks = 8,
				 .per_rack = 6,
				 .accelerators = 8,
				 .cores = 64,
				 .classes = classes,
				 .speed_spread = 0.2,
				 .n_classes = DFF_LOAD_MIXED_CLASSES,
				 .length_ms = 45000,
				 .drain_ms = 30000};
}
