#ifndef DFF_COMMON_STR_H
#define DFF_COMMON_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Borrowed length-counted strings and fixed-size names. */

/** Longest identifier (job, team, worker, rack, ...), in bytes, without the terminator. */
#define DFF_NAME_MAX 63

/**
 * struct dff_str:
 * A borrowed sequence of bytes, not NUL-terminated. Valid as long as its owner.
 */
struct dff_str {
	const char *data;
	size_t len;
};

/**
 * struct dff_name:
 * An identifier stored by value, so that entities in tables need no allocation for it.
 * @data is always NUL-terminated, for libraries that require it; @len excludes the terminator.
 * Allowed bytes: letters, digits, '-', '_', '.', ':'. The empty name means "none".
 */
struct dff_name {
	char data[DFF_NAME_MAX + 1];
	uint8_t len;
};

/** Wraps a NUL-terminated string without copying it. */
struct dff_str dff_str_from (const char *text);

/** Returns: whether both contain the same bytes. */
bool dff_str_equal (struct dff_str a, struct dff_str b);

/**
 * dff_name_parse:
 * @text: untrusted bytes
 * @name: (out): the name when valid, else the empty name
 *
 * Returns: false when @text is empty, too long or contains a byte that is not allowed.
 */
bool dff_name_parse (struct dff_str text, struct dff_name *name);

/** Builds a name from trusted NUL-terminated text; aborts if it is invalid. */
struct dff_name dff_name_from (const char *text);

/** Builds a name from a trusted printf format; aborts if the result is invalid or too long. */
struct dff_name dff_name_printf (const char *format, ...) G_GNUC_PRINTF (1, 2);

bool dff_name_equal (const struct dff_name *a, const struct dff_name *b);

bool dff_name_is_empty (const struct dff_name *name);

/** Orders names bytewise, for qsort and golden output. */
int dff_name_compare (const struct dff_name *a, const struct dff_name *b);

/** GHashFunc for keys of type struct dff_name *. */
guint dff_name_hash (gconstpointer name);

/** GEqualFunc for keys of type struct dff_name *. */
gboolean dff_name_equal_func (gconstpointer a, gconstpointer b);

/** Returns: (transfer full): a copy of a name, to be freed with g_free(), for hash table keys. */
struct dff_name *dff_name_dup (const struct dff_name *name);

#endif
