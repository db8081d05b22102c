#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "peer/relay_internal.h"

enum {
	/* The token bucket holds one append plus the appends of this time. */
	MAX_BURST_MS = 250,
};

/** Batch that a daemon has submitted. */
struct submission {
	/** In the relay's waiting_submissions or in a batch's submissions. */
	struct list link;
	char vm[NAME_BYTES];
	uint64_t number;
	uint32_t lane;
	bool priority;
	int64_t arrived_us;
	struct plog_record *records; /**< their data points into data */
	size_t count;
	uint8_t *data;
	size_t bytes;
};

/** Append in flight: submissions that are appended together. */
struct batch {
	struct list link;
	uint64_t number;
	uint32_t lane;
	struct list submissions; /**< in the order of the records */
	struct plog_record *records;
	size_t count;
};

static void
submission_free(struct submission *submission)
{
	list_remove(&submission->link);
	free(submission->records);
	free(submission->data);
	free(submission);
}

static void
batch_free(struct batch *batch)
{
	list_for_each_safe (
	    submission, tmp, &batch->submissions, struct submission, link)
		submission_free(submission);
	list_remove(&batch->link);
	free(batch->records);
	free(batch);
}

void
append_destroy_all(struct relay *relay)
{
	list_for_each_safe (submission, tmp, &relay->waiting_submissions,
	    struct submission, link)
		submission_free(submission);
	list_for_each_safe (
	    batch, tmp, &relay->appends_in_flight, struct batch, link)
		batch_free(batch);
}

size_t
relay_backlog_bytes(const struct relay *relay)
{
	return relay->backlog_bytes;
}

static void
send_reply(struct relay *relay, const char *vm, uint64_t number,
    enum append_result result, uint64_t first_offset, int64_t now_us)
{
	struct message message = {
	    .type = MESSAGE_APPEND_REPLY,
	    .append_reply = {number, (uint32_t)result, first_offset},
	};

	relay_send(relay, vm, &message, now_us);
}

static bool
contains_submission(
    const struct list *submissions, const char *vm, uint64_t number)
{
	list_for_each (submission, submissions, struct submission, link) {
		if (submission->number == number &&
		    strcmp(submission->vm, vm) == 0)
			return true;
	}
	return false;
}

/* Returns whether a batch is already waiting or in flight, i.e. sent again. */
static bool
is_duplicate(const struct relay *relay, const char *vm, uint64_t number)
{
	list_for_each (batch, &relay->appends_in_flight, struct batch, link) {
		if (contains_submission(&batch->submissions, vm, number))
			return true;
	}
	return contains_submission(&relay->waiting_submissions, vm, number);
}

static void
copy_records(struct submission *submission, const struct message_append *append)
{
	size_t at = 0;

	submission->data = xcalloc(1, submission->bytes + 1);
	submission->records =
	    xcalloc(append->record_count, sizeof(*submission->records));
	submission->count = append->record_count;
	for (size_t i = 0; i < append->record_count; i++) {
		const struct wire_bytes *bytes = &append->records[i].data;

		if (bytes->len > 0)
			memcpy(submission->data + at, bytes->data, bytes->len);
		submission->records[i].data = submission->data + at;
		submission->records[i].len = bytes->len;
		at += bytes->len;
	}
}

void
append_handle_message(struct relay *relay, const char *vm,
    const struct message_append *append, int64_t now_us)
{
	struct submission *submission;
	size_t bytes = 0;

	for (size_t i = 0; i < append->record_count; i++)
		bytes += append->records[i].data.len;
	if (append->record_count == 0 ||
	    is_duplicate(relay, vm, append->number))
		return;
	if (relay->backlog_bytes + bytes > RELAY_MAX_BACKLOG_BYTES) {
		send_reply(
		    relay, vm, append->number, APPEND_NOT_DONE, 0, now_us);
		return;
	}
	submission = xcalloc(1, sizeof(*submission));
	snprintf(submission->vm, sizeof(submission->vm), "%s", vm);
	submission->number = append->number;
	submission->lane = append->lane;
	submission->priority = append->priority;
	submission->arrived_us = now_us;
	submission->bytes = bytes;
	copy_records(submission, append);
	relay->backlog_bytes += bytes;
	list_append(&relay->waiting_submissions, &submission->link);
}

/* Returns this failure domain's share of the appends per second. */
static double
domain_appends_per_s(const struct relay *relay)
{
	return (double)relay->appends_per_s /
	    (double)failure_domain_count(relay->failure);
}

/* Refills the token bucket and sets when the next append may start. */
static void
refill_append_tokens(struct relay *relay, int64_t now_us)
{
	double appends_per_s = domain_appends_per_s(relay);
	double max_tokens = 1 + appends_per_s * MAX_BURST_MS / MS_PER_S;

	relay->append_tokens += appends_per_s *
	    (double)(now_us - relay->append_tokens_us) / US_PER_S;
	relay->append_tokens_us = now_us;
	if (relay->append_tokens > max_tokens)
		relay->append_tokens = max_tokens;
	relay->next_append_token_us = now_us;
	if (relay->append_tokens < 1)
		relay->next_append_token_us +=
		    (int64_t)((1 - relay->append_tokens) / appends_per_s *
			US_PER_S) +
		    1;
}

static bool
is_lane_busy(const struct relay *relay, uint32_t lane)
{
	list_for_each (batch, &relay->appends_in_flight, struct batch, link) {
		if (batch->lane == lane)
			return true;
	}
	return false;
}

static int64_t
due_us(const struct relay *relay, const struct submission *submission)
{
	return submission->priority
	    ? submission->arrived_us
	    : submission->arrived_us + relay->append_delay_us;
}

/* Returns the first submission that is due; those with priority come first. */
static const struct submission *
find_due(const struct relay *relay, int64_t now_us)
{
	const struct submission *normal = NULL;

	list_for_each (
	    submission, &relay->waiting_submissions, struct submission, link) {
		if (now_us < due_us(relay, submission) ||
		    is_lane_busy(relay, submission->lane))
			continue;
		if (submission->priority)
			return submission;
		if (normal == NULL)
			normal = submission;
	}
	return normal;
}

int64_t
append_next_us(const struct relay *relay)
{
	int64_t next_us = INT64_MAX;

	list_for_each (
	    submission, &relay->waiting_submissions, struct submission, link) {
		int64_t at_us = due_us(relay, submission);

		if (!is_lane_busy(relay, submission->lane) && at_us < next_us)
			next_us = at_us;
	}
	if (next_us < relay->next_append_token_us)
		next_us = relay->next_append_token_us;
	return next_us;
}

/* Moves a lane's submissions of one priority into a batch. */
static void
move_submissions(
    struct relay *relay, struct batch *batch, bool priority, size_t *bytes)
{
	list_for_each_safe (submission, tmp, &relay->waiting_submissions,
	    struct submission, link) {
		if (submission->lane != batch->lane ||
		    submission->priority != priority ||
		    (batch->count > 0 &&
			*bytes + submission->bytes > RELAY_MAX_BATCH_BYTES))
			continue;
		list_remove(&submission->link);
		list_append(&batch->submissions, &submission->link);
		relay->backlog_bytes -= submission->bytes;
		batch->count += submission->count;
		*bytes += submission->bytes;
	}
}

static void
collect_records(struct batch *batch)
{
	size_t at = 0;

	batch->records = xcalloc(batch->count, sizeof(*batch->records));
	list_for_each (
	    submission, &batch->submissions, struct submission, link) {
		memcpy(batch->records + at, submission->records,
		    submission->count * sizeof(*batch->records));
		at += submission->count;
	}
}

bool
relay_next_append(
    struct relay *relay, int64_t now_us, struct relay_append_request *append)
{
	const struct submission *due = find_due(relay, now_us);
	struct batch *batch;
	size_t bytes = 0;

	refill_append_tokens(relay, now_us);
	if (due == NULL || relay->append_tokens < 1)
		return false;
	relay->append_tokens -= 1;
	refill_append_tokens(relay, now_us);
	batch = xcalloc(1, sizeof(*batch));
	batch->number = ++relay->last_batch_number;
	batch->lane = due->lane;
	list_init(&batch->submissions);
	move_submissions(relay, batch, true, &bytes);
	move_submissions(relay, batch, false, &bytes);
	collect_records(batch);
	list_append(&relay->appends_in_flight, &batch->link);
	append->lane = batch->lane;
	append->number = batch->number;
	append->records = batch->records;
	append->count = batch->count;
	return true;
}

/* Replies to the submitters of a batch. */
static void
send_replies(struct relay *relay, const struct batch *batch,
    enum append_result result, uint64_t first_offset, int64_t now_us)
{
	list_for_each (
	    submission, &batch->submissions, struct submission, link) {
		send_reply(relay, submission->vm, submission->number, result,
		    first_offset, now_us);
		if (result == APPEND_DONE)
			first_offset += submission->count;
	}
}

void
relay_handle_appended(struct relay *relay, uint64_t number,
    enum append_result result, uint64_t first_offset, int64_t now_us)
{
	list_for_each_safe (
	    batch, tmp, &relay->appends_in_flight, struct batch, link) {
		if (batch->number != number)
			continue;
		send_replies(relay, batch, result, first_offset, now_us);
		batch_free(batch);
	}
}
