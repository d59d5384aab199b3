#ifndef DFF_DAEMON_SETTINGS_KEYS_H
#define DFF_DAEMON_SETTINGS_KEYS_H

#include "common/setting.h"
#include "daemon/settings.h"

/** Returns: every key of struct dff_settings. */
const struct dff_setting_table *dff_settings_table (void);

#endif
