#ifndef DFF_BACKING_INSTANCE_LIST_H
#define DFF_BACKING_INSTANCE_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* The platform's list of live and leaving instances. Changes appear in the list seconds late. */

enum dff_instance_role {
	DFF_INSTANCE_WORKER,
	DFF_INSTANCE_ENTRY,
};

struct dff_instance {
	enum dff_instance_role role;
	bool leaving;
	struct dff_name id;
	/** "IP:PORT" of the HTTP endpoint. */
	struct dff_name address;
	struct dff_name rack;
	struct dff_name data_centre;
	struct dff_name region;
	/** Entry instances: "IP:PORT" of the peer endpoint; else empty. */
	struct dff_name peer_address;
	/** Entry instances: CURVE public key, base64url without padding, 43 characters; else empty.
	 */
	struct dff_name peer_key;
};

struct dff_instance_list_result {
	/** false: the list could not be read; the last list that was read stays valid. */
	bool ok;
	/** Valid in the callback only. */
	const struct dff_instance *instances;
	size_t n_instances;
};

typedef void (*dff_instance_list_func) (void *user, const struct dff_instance_list_result *result);

/**
 * struct dff_instance_list:
 * @list: reads the list
 * @announce: (nullable): registers this process, for platforms that do not discover their
 * instances. The entry expires after @ttl_ms and needs to be repeated; there is no answer.
 */
struct dff_instance_list {
	void (*list) (void *ctx, dff_instance_list_func done, void *user);
	void (*announce) (void *ctx, const struct dff_instance *instance, int32_t ttl_ms);
	void *ctx;
};

#endif
