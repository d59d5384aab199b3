#ifndef DFF_COMMON_SETTING_H
#define DFF_COMMON_SETTING_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Settings described by tables of keys, from which reading, checking, reloading and the manual
 * pages are derived. The values are stored in a struct of the table's owner. */

enum dff_setting_type {
	DFF_SETTING_NAME,    /**< struct dff_name of at most @max bytes. */
	DFF_SETTING_ADDRESS, /**< struct dff_name, "IP:PORT", port @min or above. */
	DFF_SETTING_KEY,     /**< struct dff_name, 32 bytes in base64url. */
	DFF_SETTING_PATH,    /**< GString *. */
	DFF_SETTING_DIGEST,  /**< GString *, "sha256:HEX". */
	DFF_SETTING_LEVEL,   /**< enum dff_log_level. */
	DFF_SETTING_INTEGER, /**< int32_t, @min to @max. */
	DFF_SETTING_NUMBER,  /**< double, @min to @max. */
};

struct dff_setting {
	const char *key;
	enum dff_setting_type type;
	bool required;
	bool reloadable;
	int32_t min;
	int32_t max;
	/** JSON text of the default; NULL: the key is required, or empty by default. */
	const char *default_text;
	/** Unit of a number; NULL: a plain count. */
	const char *unit;
	const char *help;
	/** Offset of the member that holds the value. */
	size_t offset;
};

struct dff_setting_table {
	/** Keys, in the order of the manual page. */
	const struct dff_setting *settings;
	size_t n_settings;
	/** Name of the manual page of the keys, for error messages. */
	const char *page;
};

#define DFF_SETTINGS_ERROR (dff_settings_error_quark ())

enum dff_settings_error {
	DFF_SETTINGS_ERROR_READ,
	DFF_SETTINGS_ERROR_SYNTAX,
	DFF_SETTINGS_ERROR_FIELD,
};

GQuark dff_settings_error_quark (void);

/** Returns: (nullable): the key called @key. */
const struct dff_setting *dff_setting_table_find (const struct dff_setting_table *table,
						  const char *key);

/** Sets every key of @object that has a default; its GString members have to be allocated. */
void dff_setting_table_assign_defaults (const struct dff_setting_table *table, void *object);

/** Returns: whether @a and @b hold the same value for the key. */
bool dff_setting_equal (const struct dff_setting *setting, const void *a, const void *b);

/** Returns: the value of a key of type DFF_SETTING_INTEGER. */
int32_t dff_setting_integer (const struct dff_setting *setting, const void *object);

/** State while one file is read. */
struct dff_setting_reader;

/** Reports an error at the line of a key; at line 1 if the file does not contain the key. */
void dff_setting_reader_report_at (struct dff_setting_reader *reader,
				   const char *key,
				   const char *format,
				   ...) G_GNUC_PRINTF (3, 4);

/** Returns: whether the file contains the key. */
bool dff_setting_reader_has_key (const struct dff_setting_reader *reader, const char *key);

/** Checks rules that involve more than one key. */
typedef void (*dff_setting_check_func) (struct dff_setting_reader *reader, const void *object);

struct dff_setting_input {
	struct dff_str text;
	/** Name of the file, for messages. */
	const char *source;
	/** (nullable): called after the keys have been read. */
	dff_setting_check_func check;
	/** (nullable): receives all errors, "FILE:LINE: key: what was expected"; elements: char
	 * *. */
	GPtrArray *errors;
};

/**
 * dff_setting_table_read:
 * @object: receives the values; its defaults have to be set
 *
 * Checks syntax, unknown, missing and repeated keys, types and ranges.
 *
 * Returns: false if there was an error.
 */
bool dff_setting_table_read (const struct dff_setting_table *table,
			     const struct dff_setting_input *input,
			     void *object,
			     GError **error);

/** Like dff_setting_table_read(), for the file @input.source, at most 1 MiB, not @input.text. */
bool dff_setting_table_load (const struct dff_setting_table *table,
			     const struct dff_setting_input *input,
			     void *object,
			     GError **error);

/**
 * dff_setting_table_reload:
 * @fixed: receives the keys that differ in @fresh but cannot change at run time; elements: char *
 *
 * Copies the values of reloadable keys from @fresh into @object.
 */
void dff_setting_table_reload (const struct dff_setting_table *table,
			       void *object,
			       const void *fresh,
			       GPtrArray *fixed);

/** Appends the reference of all keys in scdoc format, as in the manual page. */
void dff_setting_table_describe (const struct dff_setting_table *table, GString *out);

#endif
