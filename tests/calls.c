#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/calls.h"

static void
read_answer(struct http_reply *reply, struct answer *answer)
{
	const char *signature = http_reply_field(reply, "response-signature");
	const char *dash = signature != NULL ? strrchr(signature, '-') : NULL;
	const char *retry_after;

	answer->status = reply->status;
	answer->complete = reply->complete;
	answer->server =
	    dash != NULL ? (int)strtol(dash + 1, NULL, 10) : NO_SERVER;
	answer->leaving = http_reply_field(reply, "server-leaving") != NULL;
	retry_after = http_reply_field(reply, "retry-after");
	answer->retry_after =
	    retry_after != NULL ? strtod(retry_after, NULL) : -1;
	http_reply_reset(reply);
}

static void
format_request(const char *target, const char *previous_turn,
    char request[CALL_REQUEST_BYTES], struct buf *out)
{
	static int next;

	snprintf(request, CALL_REQUEST_BYTES, "call-%05d", ++next);
	buf_printf(out,
	    "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: 4000\r\nProgram-Id: p\r\nSession-Id: s\r\n"
	    "Token-Budget: 100000\r\nToken-Usage: 100,50\r\n"
	    "Content-Length: 5\r\n",
	    target, request);
	if (previous_turn != NULL)
		buf_printf(out, "Previous-Turn: %s\r\n", previous_turn);
	buf_append_text(out, "\r\ninput");
}

struct http_caller
call_start(const struct cluster *cluster, int gateway, const char *target,
    const char *previous_turn, char request[CALL_REQUEST_BYTES])
{
	struct http_caller caller;
	struct buf out = {0};

	format_request(target, previous_turn, request, &out);
	ck_assert(
	    http_caller_open(&caller, cluster->gateways[gateway].process.port));
	ck_assert(http_caller_send(&caller, out.data, out.len));
	buf_reset(&out);
	return caller;
}

struct answer
call_finish(struct http_caller *caller)
{
	struct answer answer = {0};
	struct http_reply reply;

	http_caller_read(caller, CALL_MS, &reply);
	read_answer(&reply, &answer);
	http_caller_close(caller);
	return answer;
}

struct answer
call_once(const struct cluster *cluster, int gateway, const char *target,
    const char *previous_turn)
{
	char request[CALL_REQUEST_BYTES];
	struct http_caller caller =
	    call_start(cluster, gateway, target, previous_turn, request);
	struct answer answer = call_finish(&caller);

	memcpy(answer.request, request, sizeof(request));
	return answer;
}
