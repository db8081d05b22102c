#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "common/hash.h"

uint64_t
hash_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t
hash_text(const char *text, uint64_t seed)
{
	return hash_bytes(text, strlen(text), seed);
}

struct digest
digest_chain(const struct digest *previous, const void *content, size_t len)
{
	crypto_generichash_state state;
	struct digest next;

	crypto_generichash_init(&state, NULL, 0, DIGEST_BYTES);
	if (previous != NULL)
		crypto_generichash_update(
		    &state, previous->bytes, DIGEST_BYTES);
	crypto_generichash_update(&state, content, len);
	crypto_generichash_final(&state, next.bytes, DIGEST_BYTES);
	return next;
}

bool
digest_equal(const struct digest *a, const struct digest *b)
{
	return memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

void
digest_format(const struct digest *digest, char text[DIGEST_TEXT_BYTES])
{
	sodium_bin2hex(text, DIGEST_TEXT_BYTES, digest->bytes, DIGEST_BYTES);
}

bool
digest_parse(const char *text, struct digest *digest)
{
	size_t len = 0;

	if (strlen(text) != DIGEST_TEXT_BYTES - 1)
		return false;
	if (sodium_hex2bin(digest->bytes, DIGEST_BYTES, text, strlen(text),
		NULL, &len, NULL) != 0)
		return false;
	return len == DIGEST_BYTES;
}
