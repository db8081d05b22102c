/** @file
 * CURVE keys of the daemons and the check of who may connect.
 */
#ifndef PEER_KEYS_H
#define PEER_KEYS_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

#include "common/error.h"

enum {
	KEY_TEXT_BYTES = 41, /**< Z85 form with its NUL */
	KEYS_MAX_ACCEPTED = 16,
};

/** Keys of one daemon; all daemons of a deployment share the secret. */
struct keys {
	char secret_key[KEY_TEXT_BYTES];
	char public_key[KEY_TEXT_BYTES];
	char accepted[KEYS_MAX_ACCEPTED][KEY_TEXT_BYTES]; /**< public keys */
	size_t accepted_count;
};

/** Reads a key file: `secret KEY` once, `accept KEY` for each further public
 * key that may connect. Blocks; for the start of the process only.
 * Errors: ERROR_IO, ERROR_INVALID with the line. */
bool keys_load(struct keys *keys, const char *path, struct error *err);
/** Sets the options of a socket that others connect to. */
bool keys_apply_server(const struct keys *keys, void *socket);
/** Sets the options of a socket that connects to another daemon. */
bool keys_apply_client(const struct keys *keys, void *socket);

struct keys_authenticator;

/** Answers the library's authentication requests of a ZeroMQ context. Must be
 * created before a socket of the context is bound.
 * Errors: ERROR_IO. */
struct keys_authenticator *keys_authenticator_create(uv_loop_t *loop,
    void *zmq_context, const struct keys *keys, struct error *err);
void keys_authenticator_destroy(struct keys_authenticator *check);

#endif
