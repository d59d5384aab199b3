#include "common/digest.h"

#include <openssl/evp.h>
#include <sodium.h>

/* OpenSSL uses the processor's SHA instructions, GLib and libsodium compute in C. The algorithm is
 * fetched once: fetching it for each digest costs more than digesting a short answer. */
static EVP_MD *
algorithm (void)
{
	static EVP_MD *sha256 = NULL;
	if (sha256 == NULL)
		sha256 = EVP_MD_fetch (NULL, "SHA256", NULL);
	g_assert (sha256 != NULL);
	return sha256;
}

static EVP_MD_CTX *
context (void)
{
	static EVP_MD_CTX *reused = NULL;
	if (reused == NULL)
		reused = EVP_MD_CTX_new ();
	return reused;
}

void
dff_digest (struct dff_str data, uint8_t out[DFF_DIGEST_BYTES])
{
	EVP_MD_CTX *hashing = context ();
	bool done = EVP_DigestInit_ex2 (hashing, algorithm (), NULL) == 1 &&
		    EVP_DigestUpdate (hashing, data.data, data.len) == 1 &&
		    EVP_DigestFinal_ex (hashing, out, NULL) == 1;
	g_assert (done);
}

void
dff_digest_hex (struct dff_str data, char out[DFF_DIGEST_HEX_LEN + 1])
{
	uint8_t digest[DFF_DIGEST_BYTES];
	dff_digest (data, digest);
	sodium_bin2hex (out, DFF_DIGEST_HEX_LEN + 1, digest, sizeof (digest));
}
