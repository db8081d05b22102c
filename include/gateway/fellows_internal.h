/** @file
 * What the parts of the fellows share; see gateway/fellows.h for the whole.
 */
#ifndef GATEWAY_FELLOWS_INTERNAL_H
#define GATEWAY_FELLOWS_INTERNAL_H

#include <uv.h>

#include "gateway/fellows.h"
#include "member/member.h"
#include "peer/peer.h"

enum {
	SEEDS_MAX = 8, /**< gateways that the settings may name */
};

/** What a gateway tells of itself, besides what struct member holds. */
struct fellow {
	char vm[NAME_BYTES];
	uint64_t hash;               /**< of vm */
	char callers[SETTING_BYTES]; /**< "IP:port" */
	uint64_t incarnation;
	bool store_lost;
	bool reported_live; /**< in the log */
	struct message_load *loads;
	size_t load_count;
};

struct partition_owner {
	char vm[NAME_BYTES]; /**< "": not known */
	uint64_t generation;
};

/** A gateway of which only the address is known. */
struct seed {
	char name[NAME_BYTES]; /**< "": it is known by its VM */
	char address[SETTING_BYTES];
	int port;
};

struct fellows {
	struct gateway *gateway;
	struct peer *peer;
	struct list letters;
	uv_idle_t *deliver; /**< runs while there are letters */
	struct members members;
	struct fellow *items; /**< in the order of members */
	uint64_t incarnation;
	uint64_t pulses;
	size_t relay_turn;
	struct partition_owner owners[SETTINGS_PARTITIONS_MAX];
	struct seed seeds[SEEDS_MAX];
	size_t seed_count;
	uv_timer_t *timer;
	uv_timer_t *enrol_timer;
	struct store_call *enrol;
	bool enrolled; /**< this VM is in the store's list */
};

/* fellows.c */
const char *fellows_own_vm(const struct fellows *fellows);
/** Returns a gateway, which is added if it is not known. */
struct fellow *
fellow_add(struct fellows *fellows, const char *vm, int64_t now_us);
struct member *
fellow_member(struct fellows *fellows, const struct fellow *fellow);
/** Takes over what a gateway says of itself. */
void fellow_describe(struct fellows *fellows, struct fellow *fellow,
    const struct message_member *self);
bool fellow_is_live(const struct member *member);
/** Returns whether it is in this failure domain. */
bool fellow_is_near(const struct fellows *fellows, const struct member *member);
/** Notes which partitions a gateway says that it owns. */
void fellows_take_owned(struct fellows *fellows, const char *vm,
    uint64_t generation, uint64_t owned);

/* fellows_pulse.c */
/** Fills a message with what this gateway says of itself. */
void fellows_describe_self(struct fellows *fellows, struct message *message);
/** Sends signs of life to this failure domain, and, if far is set, to a few
 * gateways of each other one. */
void fellows_send_pulses(struct fellows *fellows, bool far);
void fellows_start_pulses(struct fellows *fellows);
void
fellows_handle_pulse(struct fellows *fellows, const struct message *message);

/* fellows_enrol.c */
/** Writes this VM into the list in the store, and reads who else is there. */
void fellows_enrol(struct fellows *fellows);
/** Two connections to one gateway would take this VM's name from each other
 * there: the one made for a seed ends when its VM is known. */
void
fellows_forget_seed(struct fellows *fellows, const char *address, int port);

#endif
