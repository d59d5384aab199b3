#include "common/json_locate.h"

#include <string.h>

struct scanner {
	struct dff_str text;
	size_t offset;
	int line;
};

static char
scanner_peek (const struct scanner *scanner)
{
	return scanner->offset < scanner->text.len ? scanner->text.data[scanner->offset] : '\0';
}

static void
scanner_advance (struct scanner *scanner)
{
	if (scanner_peek (scanner) == '\n')
		scanner->line++;
	if (scanner->offset < scanner->text.len)
		scanner->offset++;
}

/* Skips white space and the separators ',' and ':', which need no check: the text is valid JSON. */
static char
scanner_next (struct scanner *scanner)
{
	while (scanner->offset < scanner->text.len &&
	       strchr (" \t\r\n,:", scanner_peek (scanner)) != NULL)
		scanner_advance (scanner);
	return scanner_peek (scanner);
}

/* Returns: the text between the quotes, with escapes not decoded. */
static struct dff_str
scanner_skip_string (struct scanner *scanner)
{
	scanner_advance (scanner);
	size_t start = scanner->offset;
	while (scanner->offset < scanner->text.len && scanner_peek (scanner) != '"') {
		if (scanner_peek (scanner) == '\\')
			scanner_advance (scanner);
		scanner_advance (scanner);
	}
	struct dff_str string = {scanner->text.data + start, scanner->offset - start};
	scanner_advance (scanner);
	return string;
}

static void
scanner_skip_value (struct scanner *scanner)
{
	int depth = 0;
	do {
		char byte = scanner_next (scanner);
		if (byte == '\0')
			return;
		if (byte == '"') {
			scanner_skip_string (scanner);
			continue;
		}
		if (byte == '{' || byte == '[')
			depth++;
		if (byte == '}' || byte == ']')
			depth--;
		scanner_advance (scanner);
		bool scalar = strchr ("{}[]", byte) == NULL;
		while (scalar && strchr (" \t\r\n,:{}[]", scanner_peek (scanner)) == NULL)
			scanner_advance (scanner);
	} while (depth > 0);
}

static bool
scanner_enter_member (struct scanner *scanner, struct dff_str key)
{
	if (scanner_next (scanner) != '{')
		return false;
	scanner_advance (scanner);
	while (scanner_next (scanner) == '"') {
		if (dff_str_equal (scanner_skip_string (scanner), key)) {
			scanner_next (scanner);
			return true;
		}
		scanner_skip_value (scanner);
	}
	return false;
}

static bool
scanner_enter_element (struct scanner *scanner, guint64 index)
{
	if (scanner_next (scanner) != '[')
		return false;
	scanner_advance (scanner);
	for (guint64 i = 0; i < index; i++) {
		if (scanner_next (scanner) == ']')
			return false;
		scanner_skip_value (scanner);
	}
	return scanner_next (scanner) != ']';
}

/* Consumes one component of @path, "name" or "[3]". */
static bool
scanner_step (struct scanner *scanner, const char **path)
{
	if (**path == '[') {
		char *end = NULL;
		guint64 index = g_ascii_strtoull (*path + 1, &end, 10);
		*path = *end == ']' ? end + 1 : end + strlen (end);
		return scanner_enter_element (scanner, index);
	}
	if (**path == '.')
		(*path)++;
	struct dff_str key = {*path, strcspn (*path, ".[")};
	*path += key.len;
	return scanner_enter_member (scanner, key);
}

int
dff_json_locate (struct dff_str text, const char *path)
{
	struct scanner scanner = {.text = text, .line = 1};
	scanner_next (&scanner);
	int line = scanner.line;
	while (*path != '\0') {
		if (!scanner_step (&scanner, &path))
			return line;
		line = scanner.line;
	}
	return line;
}

GArray *
dff_json_key_lines (struct dff_str text)
{
	struct scanner scanner = {.text = text, .line = 1};
	GArray *lines = g_array_new (FALSE, FALSE, sizeof (int));
	if (scanner_next (&scanner) != '{')
		return lines;
	scanner_advance (&scanner);
	while (scanner_next (&scanner) == '"') {
		g_array_append_val (lines, scanner.line);
		scanner_skip_string (&scanner);
		scanner_skip_value (&scanner);
	}
	return lines;
}
