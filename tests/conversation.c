#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/hash.h"
#include "tests/conversation.h"

enum {
	CALL_MS = 5000,
	TRIES = 20,
	RETRY_US = 300 * US_PER_MS,
	HASH_BYTES = 32,
};

void
conversation_start(const struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget,
    struct http_caller *caller)
{
	struct buf out = {0};

	buf_printf(&out,
	    "POST /turn/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: 3000\r\nProgram-Id: %s\r\nSession-Id: %s\r\n"
	    "Token-Budget: %lu\r\nToken-Usage: 100,50\r\n"
	    "Content-Length: %zu\r\n",
	    request, conversation->program, conversation->program, budget,
	    strlen(input));
	if (conversation->previous_turn[0] != '\0')
		buf_printf(
		    &out, "Previous-Turn: %s\r\n", conversation->previous_turn);
	buf_append_text(&out, "\r\n");
	buf_append_text(&out, input);
	/* A gateway that is down is a turn without a response. */
	if (http_caller_open(caller, port))
		http_caller_send(caller, out.data, out.len);
	buf_reset(&out);
}

static void
check_server_got(const struct conversation *conversation, const char *input,
    struct http_reply *reply)
{
	struct buf body = {0};
	char hash[HASH_BYTES];

	buf_append(
	    &body, conversation->transcript.data, conversation->transcript.len);
	buf_append_text(&body, input);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    hash_bytes(body.data, body.len, 0));
	ck_assert_ptr_nonnull(strstr(buf_text(&reply->body), hash));
	buf_reset(&body);
}

int
conversation_finish(struct conversation *conversation, const char *request,
    const char *input, struct http_caller *caller)
{
	struct http_reply reply = {0};
	const char *cursor;
	int status;

	if (caller->fd >= 0)
		http_caller_read(caller, CALL_MS, &reply);
	http_caller_close(caller);
	status = reply.status;
	if (status != 200) {
		http_reply_reset(&reply);
		return status;
	}
	ck_assert_msg(reply.complete, "the response to %s was cut", request);
	ck_assert_ptr_nonnull(http_reply_field(&reply, "response-signature"));
	check_server_got(conversation, input, &reply);
	buf_append_text(&conversation->transcript, input);
	for (cursor = buf_text(&reply.body);
	     (cursor = strstr(cursor, "data: ")) != NULL;) {
		cursor += strlen("data: ");
		buf_append(
		    &conversation->transcript, cursor, strcspn(cursor, "\n"));
		buf_append(&conversation->transcript, "\n", 1);
	}
	snprintf(conversation->previous_turn,
	    sizeof(conversation->previous_turn), "%s", request);
	http_reply_reset(&reply);
	return status;
}

int
conversation_send(struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget)
{
	struct http_caller caller;

	conversation_start(conversation, port, request, input, budget, &caller);
	return conversation_finish(conversation, request, input, &caller);
}

int
conversation_send_with_retries(struct conversation *conversation, int port,
    const char *request, const char *input, unsigned long budget)
{
	char attempt_id[sizeof(conversation->previous_turn)];
	int status = 503;

	for (int i = 0; i < TRIES && (status == 503 || status == 0); i++) {
		snprintf(
		    attempt_id, sizeof(attempt_id), "%.24s-%d", request, i);
		status = conversation_send(
		    conversation, port, attempt_id, input, budget);
		if (status == 503 || status == 0)
			usleep(RETRY_US);
	}
	return status;
}
