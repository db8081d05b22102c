/** @file
 * Failure detection among daemons. No I/O: messages and time are handed in.
 *
 * Each daemon sends a heartbeat to the relay and the standby of its failure
 * domain. Whoever gets heartbeats sends views back: the members that it has
 * first-hand knowledge of. Relays and standbys exchange the views of their
 * own domains. A view without changes is a sign of life of all that its
 * sender listed and did not report gone since.
 *
 * Verdicts only decide when to try a takeover or another relay; no promise
 * depends on them.
 */
#ifndef PEER_FAILURE_H
#define PEER_FAILURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/message.h"

enum {
	FAILURE_HEARTBEAT_INTERVAL_MS =
	    1000, /**< interval of heartbeats and views */
	FAILURE_SUSPECT_TIMEOUT_MS =
	    2500, /**< silence after which a relay changes */
	FAILURE_GONE_TIMEOUT_MS = 4000, /**< silence after which a VM is gone */
	FAILURE_FIRST_CONTACT_TIMEOUT_MS = 10000, /**< the same for a VM that
					 was listed, but never heard of */
	/** Silence after which VMs are gone when a whole failure domain, or
	 * more than half of all members, fell silent: more likely a lost link
	 * than dead VMs. */
	FAILURE_MASS_SILENCE_TIMEOUT_MS = 15000,
	/** Interval of telling a member's version and number of shards. */
	FAILURE_PARTIAL_UPDATE_INTERVAL_MS = 5000,
	FAILURE_RELAY_PROBATION_MS = 5000, /**< a VM that returned is no relay
				     before; doubled with each return */
};

enum failure_verdict {
	FAILURE_UNKNOWN, /**< not a member */
	FAILURE_ALIVE,
	FAILURE_SUSPECT,
	FAILURE_GONE,
};

struct failure_detector;

/** What is known of a member. */
struct failure_member_status {
	enum failure_verdict verdict;
	int64_t last_heard_us; /**< last sign of life; the present time while
			     the verdict is not FAILURE_GONE; 0: never */
	struct message_member member;
};

typedef void (*failure_send)(
    void *context, const char *vm, struct message *message);

/** self names this VM and must have an incarnation. */
struct failure_detector *failure_create(const struct message_member *self);
void failure_destroy(struct failure_detector *failure);
/** Sets what heartbeats say of this VM. */
void failure_set_self(
    struct failure_detector *failure, const struct message_member *self);
/** The platform's list names a VM. It counts as introduced at that time if it
 * is new, so that a list that lags can't delay a verdict for longer than
 * FAILURE_FIRST_CONTACT_TIMEOUT_MS. */
void failure_handle_listed(struct failure_detector *failure,
    const struct message_member *member, int64_t now_us);
/** The platform's list no longer names a VM; forgotten once it is gone. */
void failure_handle_unlisted(struct failure_detector *failure, const char *vm);
/** Takes any message: each is a sign of life of its sender. */
void failure_handle_message(struct failure_detector *failure,
    const struct message *message, int64_t now_us);
/** Does what is due and sends heartbeats and views. log_age_us, version and
 * end go into the views. */
void failure_tick(struct failure_detector *failure, int64_t now_us,
    const struct message_view *news, failure_send send, void *context);
/** Returns when failure_tick() is due. */
int64_t failure_next_us(const struct failure_detector *failure);
enum failure_verdict failure_verdict(
    const struct failure_detector *failure, const char *vm, int64_t now_us);
/** Returns false for a VM that is not a member. */
bool failure_member_status(const struct failure_detector *failure,
    const char *vm, int64_t now_us, struct failure_member_status *sign);
/** Copies the name of a failure domain's relay (choice 0), standby (1), ...;
 * returns false when there are fewer members. */
bool failure_relay(const struct failure_detector *failure, const char *domain,
    size_t choice, int64_t now_us, char vm[NAME_BYTES]);
/** Returns the number of failure domains with a member that was not gone at
 * the last tick; at least 1. */
size_t failure_domain_count(const struct failure_detector *failure);
/** Calls back for each member but this VM itself. */
void failure_for_each_member(const struct failure_detector *failure,
    void (*each)(void *context, const struct message_member *member),
    void *context);

#endif
