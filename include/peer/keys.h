/** @file
 * CURVE keys of the daemons, and authentication of the peers that connect.
 */
#ifndef PEER_KEYS_H
#define PEER_KEYS_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

#include "common/error.h"

enum {
	KEY_TEXT_BYTES = 41, /**< size of a Z85-encoded key with its NUL */
	KEYS_MAX_ACCEPTED = 16,
};

/** Keys of one daemon. All daemons of a deployment share the secret key. */
struct keys {
	char secret_key[KEY_TEXT_BYTES];
	char public_key[KEY_TEXT_BYTES];
	char accepted[KEYS_MAX_ACCEPTED][KEY_TEXT_BYTES]; /**< further public
						       keys that may connect */
	size_t accepted_count;
};

/** Reads a key file. It has one line `secret KEY`, and a line `accept KEY` for
 * each further public key that may connect. Blocks, so call it only when the
 * process starts.
 * Errors: ERROR_IO; ERROR_INVALID, with the line number in the text. */
bool keys_load(struct keys *keys, const char *path, struct error *err);
/** Sets the CURVE options of a socket that other daemons connect to. Returns
 * false on failure. */
bool keys_apply_server(const struct keys *keys, void *socket);
/** Sets the CURVE options of a socket that connects to another daemon. Returns
 * false on failure. */
bool keys_apply_client(const struct keys *keys, void *socket);

struct keys_authenticator;

/** Creates a handler of the authentication requests (ZAP) of a ZeroMQ context,
 * which accepts the keys in `keys`. It must be created before a socket of the
 * context is bound.
 * Errors: ERROR_IO. */
struct keys_authenticator *keys_authenticator_create(uv_loop_t *loop,
    void *zmq_context, const struct keys *keys, struct error *err);
void keys_authenticator_destroy(struct keys_authenticator *authenticator);

#endif
