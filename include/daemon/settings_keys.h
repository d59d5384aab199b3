#ifndef DFF_DAEMON_SETTINGS_KEYS_H
#define DFF_DAEMON_SETTINGS_KEYS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "daemon/settings.h"

/* The table of settings keys: parsing, checking, reloading and the manual page all follow it. */

enum dff_setting_type {
	DFF_SETTING_NAME,    /**< struct dff_name of @max bytes at the most. */
	DFF_SETTING_ADDRESS, /**< struct dff_name, "IP:PORT", port @min or above. */
	DFF_SETTING_KEY,     /**< struct dff_name, 32 bytes in base64url. */
	DFF_SETTING_PATH,    /**< GString *. */
	DFF_SETTING_DIGEST,  /**< GString *, "sha256:HEX". */
	DFF_SETTING_LEVEL,   /**< enum dff_log_level. */
	DFF_SETTING_INTEGER, /**< int32_t, @min to @max. */
};

struct dff_setting {
	const char *key;
	enum dff_setting_type type;
	bool required;
	bool reloadable;
	int32_t min;
	int32_t max;
	/** JSON text of the default; NULL: required, or empty. */
	const char *default_text;
	/** Unit of a number; NULL: a plain count. */
	const char *unit;
	const char *help;
	/** Of the member of struct dff_settings. */
	size_t offset;
};

/** Returns: every key in the order of the manual page; @n_settings is set to their number. */
const struct dff_setting *dff_setting_table (size_t *n_settings);

/** Returns: (nullable): the key called @key. */
const struct dff_setting *dff_setting_find (const char *key);

/** Appends what a value of the key has to be, for messages and the manual page. */
void dff_setting_append_expected (const struct dff_setting *setting, GString *out);

/** Stores @value. Returns: false, with @settings unchanged, when it is not what is expected. */
bool dff_setting_assign (const struct dff_setting *setting,
			 struct dff_settings *settings,
			 const json_t *value);

/** Returns: whether both hold the same value for the key. */
bool dff_setting_equal (const struct dff_setting *setting,
			const struct dff_settings *a,
			const struct dff_settings *b);

/** Copies the key's value. */
void dff_setting_copy (const struct dff_setting *setting,
		       struct dff_settings *to,
		       const struct dff_settings *from);

/** Sets the default of the key. */
void dff_setting_assign_default (const struct dff_setting *setting, struct dff_settings *settings);

/** Returns: the number that the key of type DFF_SETTING_INTEGER holds. */
int32_t dff_setting_integer (const struct dff_setting *setting,
			     const struct dff_settings *settings);

#endif
