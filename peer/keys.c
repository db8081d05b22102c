#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "common/memory.h"
#include "peer/keys.h"
#include "peer/socket_watch.h"

enum {
	KEY_BYTES = 32,
	MAX_LINE_BYTES = 256,
	MAX_ZAP_PART_BYTES = 256,
};

/* Parts of a ZAP request. */
enum zap_part {
	ZAP_SENDER,
	ZAP_DELIMITER,
	ZAP_VERSION,
	ZAP_REQUEST,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
	ZAP_PARTS,
};

static bool
parse_line(struct keys *keys, const char *line, struct error *err)
{
	char keyword[16] = "";
	char key[KEY_TEXT_BYTES + 1] = "";
	uint8_t raw[KEY_BYTES];
	int fields = sscanf(line, "%15s %41s", keyword, key);

	if (fields < 1 || keyword[0] == '#')
		return true;
	if (fields != 2 || strlen(key) != KEY_TEXT_BYTES - 1 ||
	    zmq_z85_decode(raw, key) == NULL)
		return error_set(
		    err, ERROR_INVALID, "expected a key of 40 Z85 characters");
	if (strcmp(keyword, "secret") == 0 && keys->secret_key[0] == '\0') {
		memcpy(keys->secret_key, key, KEY_TEXT_BYTES);
		return true;
	}
	if (strcmp(keyword, "accept") == 0 &&
	    keys->accepted_count < KEYS_MAX_ACCEPTED) {
		memcpy(keys->accepted[keys->accepted_count++], key,
		    KEY_TEXT_BYTES);
		return true;
	}
	return error_set(
	    err, ERROR_INVALID, "unknown, repeated or too many `%s`", keyword);
}

bool
keys_load(struct keys *keys, const char *path, struct error *err)
{
	FILE *file = fopen(path, "re");
	char line[MAX_LINE_BYTES];
	struct error line_err = {0};
	int line_number = 0;

	*keys = (struct keys){0};
	if (file == NULL)
		return error_set(
		    err, ERROR_IO, "%s: can't open key file", path);
	while (line_err.code == ERROR_NONE &&
	    fgets(line, sizeof(line), file) != NULL) {
		line_number++;
		parse_line(keys, line, &line_err);
	}
	fclose(file);
	if (line_err.code != ERROR_NONE)
		return error_set(err, line_err.code, "%s:%d: %s", path,
		    line_number, line_err.text);
	if (keys->secret_key[0] == '\0' ||
	    zmq_curve_public(keys->public_key, keys->secret_key) != 0)
		return error_set(
		    err, ERROR_INVALID, "%s: no valid secret key", path);
	return true;
}

bool
keys_apply_server(const struct keys *keys, void *socket)
{
	int server = 1;

	/* Without a ZAP domain the library sends no authentication requests. */
	return zmq_setsockopt(
		   socket, ZMQ_CURVE_SERVER, &server, sizeof(server)) == 0 &&
	    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
		KEY_TEXT_BYTES) == 0 &&
	    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "peer", strlen("peer")) == 0;
}

bool
keys_apply_client(const struct keys *keys, void *socket)
{
	return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, keys->public_key,
		   KEY_TEXT_BYTES) == 0 &&
	    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
		KEY_TEXT_BYTES) == 0 &&
	    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
		KEY_TEXT_BYTES) == 0;
}

struct keys_authenticator {
	void *socket;
	struct socket_watch *watch;
	struct keys keys;
};

/* Part of a request. Parts that are too long are left empty. */
struct zap_frame {
	uint8_t data[MAX_ZAP_PART_BYTES];
	size_t len;
};

static bool
is_accepted(const struct keys *keys, const struct zap_frame *credentials)
{
	char text[KEY_TEXT_BYTES];

	if (credentials->len != KEY_BYTES ||
	    zmq_z85_encode(text, credentials->data, KEY_BYTES) == NULL)
		return false;
	if (strcmp(text, keys->public_key) == 0)
		return true;
	for (size_t i = 0; i < keys->accepted_count; i++) {
		if (strcmp(text, keys->accepted[i]) == 0)
			return true;
	}
	return false;
}

static size_t
receive_parts(void *socket, struct zap_frame *parts, size_t max)
{
	size_t count = 0;
	int more = 1;

	while (more != 0) {
		struct zap_frame frame = {0};
		size_t size = sizeof(more);
		int len = zmq_recv(
		    socket, frame.data, sizeof(frame.data), ZMQ_DONTWAIT);

		if (len < 0)
			return 0;
		if ((size_t)len <= sizeof(frame.data))
			frame.len = (size_t)len;
		if (count < max)
			parts[count] = frame;
		count++;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return count;
}

static void
send_frame(void *socket, const void *data, size_t len, bool more)
{
	zmq_send(socket, data, len, ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0));
}

static void
send_text(void *socket, const char *text, bool more)
{
	send_frame(socket, text, strlen(text), more);
}

static bool
frame_is(const struct zap_frame *frame, const char *text)
{
	return frame->len == strlen(text) &&
	    memcmp(frame->data, text, frame->len) == 0;
}

static void
handle_request(void *context)
{
	struct keys_authenticator *authenticator = context;
	struct zap_frame parts[ZAP_PARTS];
	size_t count = receive_parts(authenticator->socket, parts, ZAP_PARTS);
	bool accepted;

	if (count <= ZAP_REQUEST)
		return;
	accepted = count == ZAP_PARTS &&
	    frame_is(&parts[ZAP_MECHANISM], "CURVE") &&
	    is_accepted(&authenticator->keys, &parts[ZAP_CREDENTIALS]);
	send_frame(authenticator->socket, parts[ZAP_SENDER].data,
	    parts[ZAP_SENDER].len, true);
	send_text(authenticator->socket, "", true);
	send_text(authenticator->socket, "1.0", true);
	send_frame(authenticator->socket, parts[ZAP_REQUEST].data,
	    parts[ZAP_REQUEST].len, true);
	send_text(authenticator->socket, accepted ? "200" : "400", true);
	send_text(authenticator->socket, accepted ? "OK" : "unknown key", true);
	send_text(authenticator->socket, "", true);
	send_text(authenticator->socket, "", false);
}

struct keys_authenticator *
keys_authenticator_create(uv_loop_t *loop, void *zmq_context,
    const struct keys *keys, struct error *err)
{
	struct keys_authenticator *authenticator =
	    xcalloc(1, sizeof(*authenticator));
	int linger = 0;

	authenticator->keys = *keys;
	authenticator->socket = zmq_socket(zmq_context, ZMQ_ROUTER);
	if (authenticator->socket == NULL ||
	    zmq_setsockopt(authenticator->socket, ZMQ_LINGER, &linger,
		sizeof(linger)) != 0 ||
	    zmq_bind(authenticator->socket, "inproc://zeromq.zap.01") != 0) {
		error_set(err, ERROR_IO, "can't set up key authentication: %s",
		    zmq_strerror(zmq_errno()));
		keys_authenticator_destroy(authenticator);
		return NULL;
	}
	authenticator->watch = socket_watch_create(
	    loop, authenticator->socket, handle_request, authenticator, err);
	if (authenticator->watch == NULL) {
		keys_authenticator_destroy(authenticator);
		return NULL;
	}
	return authenticator;
}

void
keys_authenticator_destroy(struct keys_authenticator *authenticator)
{
	if (authenticator == NULL)
		return;
	socket_watch_destroy(authenticator->watch);
	if (authenticator->socket != NULL)
		zmq_close(authenticator->socket);
	free(authenticator);
}
