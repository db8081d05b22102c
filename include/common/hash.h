/** @file
 * Hashes: a fast one for placement, a cryptographic one for history.
 */
#ifndef COMMON_HASH_H
#define COMMON_HASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	DIGEST_BYTES = 32,
	DIGEST_TEXT_BYTES = 2 * DIGEST_BYTES + 1,
};

/** A BLAKE2b-256 hash. */
struct digest {
	uint8_t bytes[DIGEST_BYTES];
};

/** Returns the XXH3-64 hash of a byte string. */
uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);
/** Returns the XXH3-64 hash of a text without its NUL. */
uint64_t hash_text(const char *text, uint64_t seed);
/** Returns the hash of the previous digest followed by content. previous may be
 * NULL. */
struct digest
digest_chain(const struct digest *previous, const void *content, size_t len);
bool digest_equal(const struct digest *a, const struct digest *b);
/** Writes the digest in lower-case hexadecimal, with a NUL. */
void digest_format(const struct digest *digest, char text[DIGEST_TEXT_BYTES]);
/** Parses a digest. Returns false unless text is 64 hexadecimal digits. */
bool digest_parse(const char *text, struct digest *digest);

#endif
