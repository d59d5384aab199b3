#include "peer/zmq_keys.h"

#include <sodium.h>

#include "peer/zmq_transport.h"

bool
dff_zmq_key_parse (const struct dff_name *text, uint8_t key[DFF_ZMQ_KEY_SIZE])
{
	size_t size = 0;
	int result = sodium_base642bin (key, DFF_ZMQ_KEY_SIZE, text->data, text->len, NULL, &size,
					NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return result == 0 && size == DFF_ZMQ_KEY_SIZE;
}

struct dff_name
dff_zmq_key_format (const uint8_t key[DFF_ZMQ_KEY_SIZE])
{
	char text[sodium_base64_ENCODED_LEN (DFF_ZMQ_KEY_SIZE,
					     sodium_base64_VARIANT_URLSAFE_NO_PADDING)];
	sodium_bin2base64 (text, sizeof (text), key, DFF_ZMQ_KEY_SIZE,
			   sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return dff_name_from (text);
}

void
dff_zmq_keypair (struct dff_name *public_key, struct dff_name *secret_key)
{
	uint8_t public_bytes[DFF_ZMQ_KEY_SIZE];
	uint8_t secret_bytes[DFF_ZMQ_KEY_SIZE];
	/* A Curve25519 key pair, as CURVE uses. */
	crypto_box_keypair (public_bytes, secret_bytes);
	*public_key = dff_zmq_key_format (public_bytes);
	*secret_key = dff_zmq_key_format (secret_bytes);
	sodium_memzero (secret_bytes, sizeof (secret_bytes));
}
