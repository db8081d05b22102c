#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "soak.h"

enum {
	CRASHERS = 4,
	STEP_MS = 20,
	RETURN_MIN_MS = 100, /* between two sends of a crasher */
	RETURN_MAX_MS = 700,
	DEADLINE_MS = 1500,
	SENDS_MAX = 4096,
	CRASHES = 3,     /* after which a crasher is not to be sent */
	SENDS_AFTER = 3, /* that are permitted after them */
	/* After the third crash, and after a trouble of a gateway or the store,
	 * until a gateway must know of all crashes. */
	SETTLE_US = 3 * US_PER_S,
	NAME_MAX_BYTES = 32,
};

/* Two crash a server at once, one freezes it, and one crashes it after a while.
 */
static const char *const targets[CRASHERS] = {
    "/once/crash",
    "/once/crash",
    "/once/crash-silent",
    "/once/crash-later",
};

/** A request that crashes the server which runs it. */
struct crasher {
	struct crashers *crashers;
	int number;
	struct h1_call *call; /**< NULL: none in progress */
	int64_t due_us;       /**< of the next send, or of the call's end */
	int next_gateway;     /**< once all gateways are asked in turn */
};

/** One time at which a crasher was sent to a gateway. */
struct send {
	char request[NAME_MAX_BYTES];
	int crasher;
	int64_t sent_us;
	bool settled; /**< the gateway must know of crashes before SETTLE_US */
};

struct crashers {
	struct soak *soak;
	uv_timer_t *timer;
	struct crasher crashers[CRASHERS];
	struct send sends[SENDS_MAX];
	size_t send_count;
	bool asking_all; /**< each crasher goes to each gateway once more */
};

static enum h1_head_action
handle_head(void *context, const struct h1_head *head)
{
	const struct crasher *crasher = context;

	if (head->status == 200)
		soak_fail(crasher->crashers->soak,
		    "a request that crashes servers was answered with 200");
	return H1_HEAD_ACCEPT;
}

static void
handle_done(void *context, const struct h1_outcome *outcome)
{
	struct crasher *crasher = context;
	struct crashers *crashers = crasher->crashers;

	(void)outcome;
	crasher->call = NULL;
	crasher->due_us = clock_monotonic_us();
	if (!crashers->asking_all)
		crasher->due_us += (RETURN_MIN_MS +
				       (int64_t)rng_below(&crashers->soak->rng,
					   RETURN_MAX_MS - RETURN_MIN_MS)) *
		    US_PER_MS;
}

static void
send_to(struct crasher *crasher, int gateway)
{
	struct crashers *crashers = crasher->crashers;
	struct soak *soak = crashers->soak;
	struct send *send = &crashers->sends[crashers->send_count];
	struct h1_headers headers = {0};
	char address[H1_ADDRESS_BYTES];
	char body[NAME_MAX_BYTES];
	struct h1_call_params params = {
	    .address = address,
	    .method = "POST",
	    .target = targets[crasher->number],
	    .headers = &headers,
	    .body = body,
	    .connect_timeout_us = (int64_t)DEADLINE_MS * US_PER_MS,
	    .max_reuse_us = US_PER_S,
	    .on_head = handle_head,
	    .on_done = handle_done,
	    .context = crasher,
	};

	if (crashers->send_count == SENDS_MAX)
		return;
	snprintf(send->request, sizeof(send->request), "crash-%06zu",
	    ++crashers->send_count);
	send->crasher = crasher->number;
	send->sent_us = clock_monotonic_us();
	send->settled =
	    faults_calm_us(soak->faults, gateway) > (int64_t)SETTLE_US;
	snprintf(address, sizeof(address), "127.0.0.1:%d",
	    soak->cluster.gateways[gateway].process.port);
	params.body_len =
	    (size_t)snprintf(body, sizeof(body), "crasher %d", crasher->number);
	h1_headers_add(&headers, "Host", "h.example");
	h1_headers_add(&headers, "Request-Id", send->request);
	h1_headers_add_number(&headers, "Deadline-Ms", DEADLINE_MS);
	crasher->call = h1_call_start(soak->client, &params);
	crasher->due_us =
	    clock_monotonic_us() + 2 * (int64_t)DEADLINE_MS * US_PER_MS;
	h1_headers_reset(&headers);
}

static void
handle_step(uv_timer_t *timer)
{
	struct crashers *crashers = timer->data;
	struct soak *soak = crashers->soak;
	uint64_t gateways = (uint64_t)soak->gateway_count;

	/* What a crash cuts is not planned work. */
	if (faults_all_planned(soak->faults))
		return;
	for (int i = 0; i < CRASHERS; i++) {
		struct crasher *crasher = &crashers->crashers[i];

		if (clock_monotonic_us() < crasher->due_us)
			continue;
		if (crasher->call != NULL) {
			h1_call_cancel(crasher->call);
			crasher->call = NULL;
		}
		if (!crashers->asking_all)
			send_to(crasher, (int)rng_below(&soak->rng, gateways));
		else if (crasher->next_gateway < soak->gateway_count)
			send_to(crasher, crasher->next_gateway++);
	}
}

struct crashers *
crashers_create(struct soak *soak)
{
	struct crashers *crashers = xcalloc(1, sizeof(*crashers));

	crashers->soak = soak;
	for (int i = 0; i < CRASHERS; i++)
		crashers->crashers[i] =
		    (struct crasher){.crashers = crashers, .number = i};
	crashers->timer = xcalloc(1, sizeof(*crashers->timer));
	uv_timer_init(soak->loop, crashers->timer);
	crashers->timer->data = crashers;
	uv_timer_start(crashers->timer, handle_step, STEP_MS, STEP_MS);
	return crashers;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
crashers_destroy(struct crashers *crashers)
{
	for (int i = 0; i < CRASHERS; i++) {
		if (crashers->crashers[i].call != NULL)
			h1_call_cancel(crashers->crashers[i].call);
	}
	uv_close((uv_handle_t *)crashers->timer, handle_timer_closed);
	free(crashers);
}

void
crashers_ask_all(struct crashers *crashers)
{
	crashers->asking_all = true;
}

bool
crashers_asked_all(const struct crashers *crashers)
{
	for (int i = 0; i < CRASHERS; i++) {
		const struct crasher *crasher = &crashers->crashers[i];

		if (crasher->call != NULL ||
		    crasher->next_gateway < crashers->soak->gateway_count)
			return false;
	}
	return true;
}

/* Returns whether a server has noted the request: "ran", and also "failed" if
 * it did not crash. */
static bool
is_noted(struct buf *runs, const char *note, const char *request)
{
	char line[NAME_MAX_BYTES + 16];

	snprintf(line, sizeof(line), "%s %s\n", note, request);
	return strstr(buf_text(runs), line) != NULL;
}

/* Checks one crasher against the number of sends that may reach servers. */
static void
check_crasher(struct crashers *crashers, int number, struct buf *runs)
{
	int64_t third_us = INT64_MAX;
	int crashes = 0;
	int after = 0;

	for (size_t i = 0; i < crashers->send_count; i++) {
		const struct send *send = &crashers->sends[i];

		if (send->crasher != number ||
		    !is_noted(runs, "ran", send->request))
			continue;
		if (crashes >= CRASHES && send->settled &&
		    send->sent_us - third_us > (int64_t)SETTLE_US)
			after++;
		if (!is_noted(runs, "failed", send->request) &&
		    ++crashes == CRASHES)
			third_us = send->sent_us;
	}
	soak_log(crashers->soak, "crasher %d: %d crashes, %d after", number,
	    crashes, after);
	if (after > SENDS_AFTER)
		soak_fail(crashers->soak,
		    "a request that had crashed %d servers reached %d more",
		    CRASHES, after);
}

void
crashers_check(struct crashers *crashers)
{
	struct buf runs = {0};

	cluster_read_runs(&crashers->soak->cluster, &runs);
	for (int i = 0; i < CRASHERS; i++)
		check_crasher(crashers, i, &runs);
	buf_reset(&runs);
}
