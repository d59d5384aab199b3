#include "backing/http_service.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS_DEFAULT 1000

void
dff_http_service_options_init (struct dff_http_service_options *options)
{
	memset (options, 0, sizeof (*options));
	options->timeout_ms = TIMEOUT_MS_DEFAULT;
}

void
dff_http_service_init (struct dff_http_service *service,
		       const struct dff_http_service_options *options)
{
	service->options = *options;
	service->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
}

void
dff_http_service_clear (struct dff_http_service *service)
{
	g_hash_table_unref (service->calls);
}

struct dff_http_call *
dff_http_call_begin (struct dff_http_service *service, enum dff_http_call_kind kind, void *user)
{
	struct dff_http_call *call = g_new0 (struct dff_http_call, 1);
	call->service = service;
	call->kind = kind;
	call->user = user;
	g_hash_table_add (service->calls, call);
	return call;
}

void
dff_http_call_end (struct dff_http_call *call)
{
	g_hash_table_remove (call->service->calls, call);
}

void
dff_http_call_send (struct dff_http_call *call,
		    enum evhttp_cmd_type method,
		    const char *path,
		    struct dff_str body,
		    dff_http_func done)
{
	const struct dff_http_service_options *options = &call->service->options;
	struct dff_http_header headers[2];
	size_t n_headers = 0;
	if (!dff_name_is_empty (&options->instance))
		headers[n_headers++] = (struct dff_http_header){
			"X-Instance", {options->instance.data, options->instance.len}};
	if (call->known_tag != NULL)
		headers[n_headers++] =
			(struct dff_http_header){"If-None-Match", dff_str_from (call->known_tag)};
	struct dff_http_request request = {
		.address = options->address,
		.method = method,
		.path = path,
		.headers = headers,
		.n_headers = n_headers,
		.body = body,
		.timeout_ms = options->timeout_ms,
	};
	dff_http_client_send (options->client, &request, done, call);
}

void
dff_http_call_send_json (struct dff_http_call *call,
			 const char *path,
			 json_t *body,
			 dff_http_func done)
{
	char *text = json_dumps (body, JSON_COMPACT);
	json_decref (body);
	dff_http_call_send (call, EVHTTP_REQ_POST, path, dff_str_from (text), done);
	free (text);
}
