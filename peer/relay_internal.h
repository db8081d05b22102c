/** @file
 * Structures and functions shared by the files of the relay.
 */
#ifndef PEER_RELAY_INTERNAL_H
#define PEER_RELAY_INTERNAL_H

#include "common/list.h"
#include "peer/relay.h"

/** Stream that this VM subscribes to. */
struct subscription {
	struct list link;
	uint32_t stream;
	uint64_t position; /**< offset of the next record to receive */
};

/** Batch that was submitted to the relay and has no result yet. */
struct pending_batch {
	struct list link;
	uint64_t number;
	int64_t deadline_us;
};

/** Event that was not taken yet, or that was taken last. */
struct queued_event {
	struct list link;
	struct relay_event event;
	struct buf wire; /**< wire form of message; holds the event's records */
	struct message message;
};

/** Message to be sent. */
struct queued_message {
	struct list link;
	char vm[NAME_BYTES];
	struct buf wire;
};

/** Relay functions of a daemon, in both roles. */
struct relay {
	char vm[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	const struct failure_detector *failure;
	/* as a subscriber */
	struct list subscriptions;       /**< of struct subscription */
	struct list pending_batches;     /**< of struct pending_batch */
	struct list events;              /**< of struct queued_event */
	struct queued_event *last_event; /**< event taken last; freed with the
					    next one */
	char relay_vm[NAME_BYTES];       /**< relay in use; "": none yet */
	int64_t last_reply_us;           /**< last reply or change of relay */
	int64_t log_read_us; /**< last time that the relay reached the log */
	int64_t next_subscribe_us; /**< when to renew the subscriptions */
	/* as a relay */
	struct list feeds;               /**< of struct feed */
	struct list waiting_submissions; /**< of struct submission, in order of
					    arrival */
	struct list appends_in_flight;   /**< of struct batch */
	size_t backlog_bytes;            /**< size of the waiting submissions */
	uint64_t last_batch_number;
	uint32_t appends_per_s;
	int64_t append_delay_us;
	double append_tokens;     /**< token bucket: appends that may start */
	int64_t append_tokens_us; /**< when the bucket was last refilled */
	int64_t next_append_token_us; /**< when the next append may start */
	/* in both roles */
	struct list messages;                /**< of struct queued_message */
	struct queued_message *last_message; /**< message taken last */
};

/** Queues a message, or handles it at once if it is for this VM. Fills in its
 * sender. */
void relay_send(struct relay *relay, const char *vm, struct message *message,
    int64_t now_us);
/** Queues an empty event; the caller fills it in. */
struct queued_event *
relay_add_event(struct relay *relay, enum relay_event_type type);
void relay_destroy_queues(struct relay *relay);
/** Handles MESSAGE_SUBSCRIBE: starts or ends the sender's subscriptions and
 * sends it the records that it lacks. */
void feed_handle_subscribe(struct relay *relay, const char *vm,
    const struct message_subscribe *request, int64_t now_us);
/** Removes feeds that have no subscribers. */
void feed_destroy_unused(struct relay *relay);
void feed_destroy_all(struct relay *relay);
/** Handles MESSAGE_APPEND: queues the batch, or replies APPEND_NOT_DONE if the
 * backlog is full. */
void append_handle_message(struct relay *relay, const char *vm,
    const struct message_append *append, int64_t now_us);
void append_destroy_all(struct relay *relay);
/** Returns the time at which the next append may start; INT64_MAX if no batch
 * waits. */
int64_t append_next_us(const struct relay *relay);

#endif
