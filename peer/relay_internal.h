/** @file
 * Shared by the files of the relay.
 */
#ifndef PEER_RELAY_INTERNAL_H
#define PEER_RELAY_INTERNAL_H

#include "common/list.h"
#include "peer/relay.h"

/** A stream that this VM follows. */
struct subscription {
	struct list link;
	uint32_t stream;
	uint64_t position; /**< next offset */
};

/** A batch that was handed to the relay. */
struct pending_batch {
	struct list link;
	uint64_t number;
	int64_t deadline_us;
};

struct queued_event {
	struct list link;
	struct relay_event event;
	struct buf wire; /**< message that the event's records are in */
	struct message message;
};

struct queued_message {
	struct list link;
	char vm[NAME_BYTES];
	struct buf wire;
};

struct relay {
	char vm[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	const struct failure_detector *failure;
	/* as a follower */
	struct list subscriptions;   /**< of struct follow */
	struct list pending_batches; /**< of struct pending */
	struct list events;          /**< of struct queued_event */
	struct queued_event *last_event;
	char relay_vm[NAME_BYTES]; /**< in use; "" for none yet */
	int64_t last_reply_us;     /**< last answer, or change of relay */
	int64_t log_read_us;       /**< when the relay last reached the log */
	int64_t next_subscribe_us; /**< next time to ask */
	/* as a relay */
	struct list feeds;               /**< of struct feed */
	struct list waiting_submissions; /**< of struct submission, in order */
	struct list appends_in_flight;   /**< of struct batch under way */
	size_t backlog_bytes;
	uint64_t last_batch_number;
	uint32_t appends_per_s;
	int64_t append_delay_us;
	double append_tokens; /**< appends that may be started */
	int64_t append_tokens_us;
	int64_t next_append_token_us; /**< when one append may be started */
	/* both */
	struct list messages; /**< of struct queued_message */
	struct queued_message *last_message;
};

/** Queues a message, or handles it at once if it is for this VM. */
void relay_send(struct relay *relay, const char *vm, struct message *message,
    int64_t now_us);
struct queued_event *
relay_add_event(struct relay *relay, enum relay_event_type type);
void relay_destroy_queues(struct relay *relay);
void feed_handle_subscribe(struct relay *relay, const char *vm,
    const struct message_subscribe *want, int64_t now_us);
/** Forgets streams that nobody follows any more. */
void feed_destroy_unused(struct relay *relay);
void feed_destroy_all(struct relay *relay);
void append_handle_message(struct relay *relay, const char *vm,
    const struct message_append *append, int64_t now_us);
void append_destroy_all(struct relay *relay);
/** Returns when the next append may be due; INT64_MAX: none waits. */
int64_t append_next_us(const struct relay *relay);

#endif
