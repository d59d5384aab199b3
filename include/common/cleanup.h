#ifndef DFF_COMMON_CLEANUP_H
#define DFF_COMMON_CLEANUP_H

#include <glib.h>

/* Clean-up attributes for structs that have no typedef; GLib's g_autoptr() needs one. GLib's own
 * types use g_autoptr(), g_autofree and g_auto(). */

/** Defines the clean-up of a pointer to struct @name, to be used by DFF_AUTO(). */
#define DFF_DEFINE_CLEANUP(name, free_func)                                                        \
	static inline G_GNUC_UNUSED void name##_cleanup (struct name **pointer)                    \
	{                                                                                          \
		if (*pointer != NULL)                                                              \
			free_func (*pointer);                                                      \
	}                                                                                          \
	struct name

/** Declares a pointer to struct @name that is freed when it goes out of scope: DFF_AUTO (dff_pool)
 * pool. */
#define DFF_AUTO(name) __attribute__ ((cleanup (name##_cleanup))) struct name *

#endif
