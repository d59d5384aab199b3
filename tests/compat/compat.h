#ifndef DFF_TESTS_COMPAT_COMPAT_H
#define DFF_TESTS_COMPAT_COMPAT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "common/str.h"

/* Records of one kind in one file under tests/compat/data, one a line. */
struct compat_case {
	const char *file;
	/** Whether each line holds the record in hexadecimal; otherwise it is the record. */
	bool hex;
	/** Whether the encoder may write different bytes for the same record, as it compresses. */
	bool varies;
	size_t n_records;
	/** Returns: (transfer full): the record as the present encoder writes it. */
	GString *(*encode) (size_t record);
	/** Decodes @bytes and checks every field. */
	void (*check) (size_t record, struct dff_str bytes);
};

extern const struct compat_case compat_jobs[];
extern const size_t compat_n_jobs;
extern const struct compat_case compat_messages[];
extern const size_t compat_n_messages;
extern const struct compat_case compat_relays[];
extern const size_t compat_n_relays;
extern const struct compat_case compat_rows[];
extern const size_t compat_n_rows;

/* Turns what an encoder returned into text. */
static inline GString *
compat_take_bytes (GByteArray *array)
{
	GString *text = g_string_new_len ((const char *)array->data, (gssize)array->len);
	g_byte_array_unref (array);
	return text;
}

static inline void
check_name (const struct dff_name *name, const char *expected)
{
	assert_string_equal (name->data, expected);
	assert_int_equal (name->len, strlen (expected));
}

static inline void
check_same_name (const struct dff_name *name, const struct dff_name *expected)
{
	check_name (name, expected->data);
}

static inline void
check_text (struct dff_str text, const char *expected)
{
	assert_int_equal (text.len, strlen (expected));
	assert_memory_equal (text.data, expected, text.len);
}

#endif
