#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include "client/call.h"

#define TIMEOUT_MS 1500
#define CERTIFICATE_S 3600

/* A key and a self-signed certificate for one IP address. */
struct identity {
	EVP_PKEY *key;
	X509 *certificate;
	char *path;
};

static void
identity_init (struct identity *identity, const char *ip)
{
	identity->key = EVP_EC_gen ("P-256");
	identity->certificate = X509_new ();
	X509 *certificate = identity->certificate;
	X509_set_version (certificate, 2);
	X509_gmtime_adj (X509_getm_notBefore (certificate), -CERTIFICATE_S);
	X509_gmtime_adj (X509_getm_notAfter (certificate), CERTIFICATE_S);
	X509_set_pubkey (certificate, identity->key);
	X509_NAME *name = X509_get_subject_name (certificate);
	X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC, (const unsigned char *)ip, -1, -1, 0);
	X509_set_issuer_name (certificate, name);
	g_autofree char *value = g_strconcat ("IP:", ip, NULL);
	X509_EXTENSION *extension = X509V3_EXT_conf_nid (NULL, NULL, NID_subject_alt_name, value);
	X509_add_ext (certificate, extension, -1);
	X509_EXTENSION_free (extension);
	X509_sign (certificate, identity->key, EVP_sha256 ());
	int fd = g_file_open_tmp ("dff-test-XXXXXX.pem", &identity->path, NULL);
	FILE *file = fdopen (fd, "w");
	PEM_write_X509 (file, certificate);
	fclose (file);
}

static void
identity_clear (struct identity *identity)
{
	EVP_PKEY_free (identity->key);
	X509_free (identity->certificate);
	g_unlink (identity->path);
	g_free (identity->path);
}

static struct bufferevent *
accept_tls (struct event_base *base, void *context)
{
	return bufferevent_openssl_socket_new (base, -1, SSL_new (context),
					       BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
}

static void
on_request (struct evhttp_request *request, void *n_requests)
{
	(*(int *)n_requests)++;
	evhttp_send_reply (request, 200, "OK", NULL);
}

struct tls_case {
	/* IP address in the server's certificate. */
	const char *ip;
	bool trusted;
	int status;
};

static const struct tls_case tls_cases[] = {
	{"127.0.0.1", true, 200},
	{"127.0.0.1", false, 0},
	{"127.0.0.2", true, 0},
};

/* Guards against sending an operator's token to another process that listens on the server's
 * address: the certificate must be verified, also against the IP address. */
static void
test_token_sent_only_to_verified_server (void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS (tls_cases); i++) {
		struct identity own;
		struct identity other;
		identity_init (&own, tls_cases[i].ip);
		identity_init (&other, tls_cases[i].ip);
		struct event_base *base = event_base_new ();
		SSL_CTX *context = SSL_CTX_new (TLS_server_method ());
		SSL_CTX_use_certificate (context, own.certificate);
		SSL_CTX_use_PrivateKey (context, own.key);
		struct evhttp *http = evhttp_new (base);
		int n_requests = 0;
		evhttp_set_bevcb (http, accept_tls, context);
		evhttp_set_gencb (http, on_request, &n_requests);
		struct sockaddr_in address = {0};
		socklen_t len = sizeof (address);
		struct evhttp_bound_socket *bound =
			evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
		getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address, &len);

		DFF_AUTO (dff_connection) connection = dff_connection_new ();
		struct dff_name server = dff_name_printf ("127.0.0.1:%d", ntohs (address.sin_port));
		g_array_append_val (connection->servers, server);
		connection->timeout_ms = TIMEOUT_MS;
		const char *trusted = tls_cases[i].trusted ? own.path : other.path;
		assert_true (dff_connection_set_tls (connection, trusted));
		struct dff_api_client *client = dff_api_client_new_on (connection, base);
		struct dff_call_request request = {.method = EVHTTP_REQ_GET, .path = "/v1/pool"};
		DFF_AUTO (dff_call_response) response = dff_call (client, &request);
		assert_int_equal (response->status, tls_cases[i].status);
		assert_false (response->uncertain);
		assert_int_equal (n_requests, tls_cases[i].status == 200);

		evhttp_free (http);
		dff_api_client_free (client);
		SSL_CTX_free (context);
		identity_clear (&own);
		identity_clear (&other);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_token_sent_only_to_verified_server),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
