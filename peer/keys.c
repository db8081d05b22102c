#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "common/memory.h"
#include "peer/keys.h"
#include "peer/socket_watch.h"

enum {
	KEY_BYTES = 32,
	LINE_BYTES = 256,
	ZAP_PART_BYTES = 256,
};

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
take_line(struct keys *keys, const char *line, struct error *err)
{
	char word[16] = "";
	char key[KEY_TEXT_BYTES + 1] = "";
	uint8_t raw[KEY_BYTES];
	int fields = sscanf(line, "%15s %41s", word, key);

	if (fields < 1 || word[0] == '#')
		return true;
	if (fields != 2 || strlen(key) != KEY_TEXT_BYTES - 1 ||
	    zmq_z85_decode(raw, key) == NULL)
		return error_set(err, ERROR_INVALID, "no key of 40 characters");
	if (strcmp(word, "secret") == 0 && keys->secret_key[0] == '\0') {
		memcpy(keys->secret_key, key, KEY_TEXT_BYTES);
		return true;
	}
	if (strcmp(word, "accept") == 0 &&
	    keys->accepted_count < KEYS_MAX_ACCEPTED) {
		memcpy(keys->accepted[keys->accepted_count++], key,
		    KEY_TEXT_BYTES);
		return true;
	}
	return error_set(err, ERROR_INVALID, "unexpected `%s`", word);
}

bool
keys_load(struct keys *keys, const char *path, struct error *err)
{
	FILE *file = fopen(path, "re");
	char line[LINE_BYTES];
	struct error problem = {0};
	int number = 0;

	*keys = (struct keys){0};
	if (file == NULL)
		return error_set(err, ERROR_IO, "%s: can't be read", path);
	while (problem.code == ERROR_NONE &&
	    fgets(line, sizeof(line), file) != NULL) {
		number++;
		take_line(keys, line, &problem);
	}
	fclose(file);
	if (problem.code != ERROR_NONE)
		return error_set(
		    err, problem.code, "%s:%d: %s", path, number, problem.text);
	if (keys->secret_key[0] == '\0' ||
	    zmq_curve_public(keys->public_key, keys->secret_key) != 0)
		return error_set(err, ERROR_INVALID, "%s: no secret key", path);
	return true;
}

bool
keys_apply_server(const struct keys *keys, void *socket)
{
	int server = 1;

	/* Without a ZAP domain the library does not ask the check. */
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

/* A part of a request; parts that are too long count as empty. */
struct zap_frame {
	uint8_t data[ZAP_PART_BYTES];
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
	struct keys_authenticator *check = context;
	struct zap_frame parts[ZAP_PARTS];
	size_t count = receive_parts(check->socket, parts, ZAP_PARTS);
	bool accepted;

	if (count <= ZAP_REQUEST)
		return;
	accepted = count == ZAP_PARTS &&
	    frame_is(&parts[ZAP_MECHANISM], "CURVE") &&
	    is_accepted(&check->keys, &parts[ZAP_CREDENTIALS]);
	send_frame(
	    check->socket, parts[ZAP_SENDER].data, parts[ZAP_SENDER].len, true);
	send_text(check->socket, "", true);
	send_text(check->socket, "1.0", true);
	send_frame(check->socket, parts[ZAP_REQUEST].data,
	    parts[ZAP_REQUEST].len, true);
	send_text(check->socket, accepted ? "200" : "400", true);
	send_text(check->socket, accepted ? "OK" : "unknown key", true);
	send_text(check->socket, "", true);
	send_text(check->socket, "", false);
}

struct keys_authenticator *
keys_authenticator_create(uv_loop_t *loop, void *zmq_context,
    const struct keys *keys, struct error *err)
{
	struct keys_authenticator *check = xcalloc(1, sizeof(*check));
	int linger = 0;

	check->keys = *keys;
	check->socket = zmq_socket(zmq_context, ZMQ_ROUTER);
	if (check->socket == NULL ||
	    zmq_setsockopt(
		check->socket, ZMQ_LINGER, &linger, sizeof(linger)) != 0 ||
	    zmq_bind(check->socket, "inproc://zeromq.zap.01") != 0) {
		error_set(
		    err, ERROR_IO, "key check: %s", zmq_strerror(zmq_errno()));
		keys_authenticator_destroy(check);
		return NULL;
	}
	check->watch = socket_watch_create(
	    loop, check->socket, handle_request, check, err);
	if (check->watch == NULL) {
		keys_authenticator_destroy(check);
		return NULL;
	}
	return check;
}

void
keys_authenticator_destroy(struct keys_authenticator *check)
{
	if (check == NULL)
		return;
	socket_watch_destroy(check->watch);
	if (check->socket != NULL)
		zmq_close(check->socket);
	free(check);
}
