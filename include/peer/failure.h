/** @file
 * Failure detection among daemons. Does no I/O: the caller passes in messages
 * and the time and sends the messages that failure_tick() creates.
 *
 * Each daemon sends heartbeats to the relay and the standby of its failure
 * domain. A daemon that receives heartbeats replies with views, which list
 * the members that it knows about first-hand. Relays and standbys exchange
 * the views of their own domains. A view, even without changes, counts as a
 * sign of life of every member that its sender has listed and not reported
 * gone since.
 *
 * A verdict only decides when to try a takeover or another relay. Correctness
 * never depends on it.
 */
#ifndef PEER_FAILURE_H
#define PEER_FAILURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/message.h"

enum {
	/** Interval of heartbeats and views. */
	FAILURE_HEARTBEAT_INTERVAL_MS = 1000,
	/** Silence after which a relay is replaced. */
	FAILURE_SUSPECT_TIMEOUT_MS = 2500,
	/** Silence after which a VM is gone. */
	FAILURE_GONE_TIMEOUT_MS = 4000,
	/** Time after which a listed VM is gone if it has never sent a
	 * message. */
	FAILURE_FIRST_CONTACT_TIMEOUT_MS = 10000,
	/** Silence after which VMs are gone when all members of a failure
	 * domain, or more than half of all members, are silent. A network
	 * failure is then more likely than that many dead VMs. */
	FAILURE_MASS_SILENCE_TIMEOUT_MS = 15000,
	/** Shortest time between two updates of a member in which only its
	 * configuration version or number of shards has changed. */
	FAILURE_PARTIAL_UPDATE_INTERVAL_MS = 5000,
	/** Time that a VM must be up before it is preferred as a relay. It
	 * doubles each time the VM is gone and returns. */
	FAILURE_RELAY_PROBATION_MS = 5000,
};

enum failure_verdict {
	FAILURE_UNKNOWN, /**< not a member */
	FAILURE_ALIVE,
	FAILURE_SUSPECT, /**< silent, but not long enough to be gone */
	FAILURE_GONE,
};

struct failure_detector;

/** What this VM knows about a member. */
struct failure_member_status {
	enum failure_verdict verdict;
	/** Time of the last sign of life; 0: none. While the verdict is not
	 * FAILURE_GONE, the current time. */
	int64_t last_heard_us;
	struct message_member member;
};

/** Sends a message to a VM. The callback fills in the sender. */
typedef void (*failure_send)(
    void *context, const char *vm, struct message *message);

/** Creates a detector for the VM that self describes. self must have an
 * incarnation. */
struct failure_detector *failure_create(const struct message_member *self);
void failure_destroy(struct failure_detector *failure);
/** Sets the description of this VM that heartbeats and views carry. */
void failure_set_self(
    struct failure_detector *failure, const struct message_member *self);
/** Handles a VM that the platform lists. The time of the first call for a VM
 * starts FAILURE_FIRST_CONTACT_TIMEOUT_MS; later calls don't extend it, so
 * that an outdated list can't delay the verdict on a dead VM. */
void failure_handle_listed(struct failure_detector *failure,
    const struct message_member *member, int64_t now_us);
/** Handles a VM that the platform no longer lists. It is removed some time
 * after it is gone. */
void failure_handle_unlisted(struct failure_detector *failure, const char *vm);
/** Handles a message of any type. Each is a sign of life of its sender. */
void failure_handle_message(struct failure_detector *failure,
    const struct message *message, int64_t now_us);
/** Updates the verdicts and sends heartbeats and views if they are due. The
 * views take log_age_us, config_version and config_end from view_template. */
void failure_tick(struct failure_detector *failure, int64_t now_us,
    const struct message_view *view_template, failure_send send, void *context);
/** Returns the time at which failure_tick() is due. */
int64_t failure_next_us(const struct failure_detector *failure);
/** Returns the verdict on a VM; for this VM itself FAILURE_ALIVE. */
enum failure_verdict failure_verdict(
    const struct failure_detector *failure, const char *vm, int64_t now_us);
/** Fills in what is known about a member. Returns false if the VM is not a
 * member. */
bool failure_member_status(const struct failure_detector *failure,
    const char *vm, int64_t now_us, struct failure_member_status *status);
/** Copies the name of a failure domain's relay (choice 0) or standby (choice
 * 1). Returns false if the domain has fewer members. */
bool failure_relay(const struct failure_detector *failure, const char *domain,
    size_t choice, int64_t now_us, char vm[NAME_BYTES]);
/** Returns the number of failure domains that had a member that was not gone
 * at the last tick; at least 1. */
size_t failure_domain_count(const struct failure_detector *failure);
/** Calls each() for each member except this VM. */
void failure_for_each_member(const struct failure_detector *failure,
    void (*each)(void *context, const struct message_member *member),
    void *context);

#endif
