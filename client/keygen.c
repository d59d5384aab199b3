#include <getopt.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "client/command.h"
#include "common/digest.h"
#include "peer/zmq_transport.h"

#define TOKEN_BYTES 32

static const char usage[] = "Usage: dragonflyfold keygen peer|token\n"
			    "  peer   a CURVE key pair, as members of a settings file\n"
			    "  token  a bearer token, and its digest for a pool or settings file\n"
			    "  -h, --help  print this text\n";

static const struct option options[] = {
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static int
print_peer_keys (void)
{
	struct dff_name public_key;
	struct dff_name secret_key;
	dff_zmq_keypair (&public_key, &secret_key);
	printf ("\"peer_public_key\": \"%s\",\n\"peer_secret_key\": \"%s\"\n", public_key.data,
		secret_key.data);
	return DFF_EXIT_OK;
}

static int
print_token (void)
{
	unsigned char random[TOKEN_BYTES];
	char token[sodium_base64_ENCODED_LEN (TOKEN_BYTES,
					      sodium_base64_VARIANT_URLSAFE_NO_PADDING)];
	char hex[DFF_DIGEST_HEX_LEN + 1];
	randombytes_buf (random, sizeof (random));
	sodium_bin2base64 (token, sizeof (token), random, sizeof (random),
			   sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	dff_digest_hex (dff_str_from (token), hex);
	printf ("token:  %s\ndigest: sha256:%s\n", token, hex);
	return DFF_EXIT_OK;
}

int
dff_command_keygen (int argc, char **argv)
{
	int option;
	while ((option = getopt_long (argc, argv, "h", options, NULL)) != -1) {
		fputs (usage, option == 'h' ? stdout : stderr);
		return option == 'h' ? DFF_EXIT_OK : DFF_EXIT_USAGE;
	}
	if (sodium_init () < 0) {
		fputs ("dragonflyfold: no source of random numbers\n", stderr);
		return DFF_EXIT_FAILED;
	}
	const char *kind = optind + 1 == argc ? argv[optind] : "";
	if (strcmp (kind, "peer") == 0)
		return print_peer_keys ();
	if (strcmp (kind, "token") == 0)
		return print_token ();
	return dff_usage_fail ("keygen", "expected peer or token");
}
