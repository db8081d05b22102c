/** @file
 * Messages between the daemons of one deployment.
 *
 * The wire form is a MessagePack array [format, type, sender, body]; body is
 * a map with integer keys that leaves zero values out. Readers skip keys and
 * types that they do not know, so that two program versions can talk.
 */
#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/error.h"
#include "record/record.h"
#include "turn/record.h"

enum {
	MESSAGE_FORMAT = 1,
};

enum message_type {
	MESSAGE_NONE = 0,
	MESSAGE_HELLO = 1,    /**< heartbeat of a daemon */
	MESSAGE_VIEW = 2,     /**< members as a relay sees them */
	MESSAGE_CONFIG = 3,   /**< records of the configuration stream */
	MESSAGE_APPEND = 4,   /**< records for a relay to append */
	MESSAGE_APPENDED = 5, /**< how that append went */
	MESSAGE_LANE = 6,     /**< records of a lane */
	MESSAGE_WANT = 7,     /**< streams that a daemon follows */
	MESSAGE_DRAIN = 8,    /**< a VM is to leave, or stays after all */
	MESSAGE_STATUS = 9,   /**< state of a daemon, for operators */
	/* between gateways */
	MESSAGE_PULSE = 10,        /**< sign of life of a gateway */
	MESSAGE_TURN_BEGIN = 11,   /**< asks a program's owner for a turn */
	MESSAGE_TURN_GRANTED = 12, /**< its answer */
	MESSAGE_TURN_END = 13,     /**< tells the owner how a turn ended */
	MESSAGE_TURN_ENDED = 14,   /**< the owner has it */
	MESSAGE_TURN_FIND = 15,    /**< asks an owner for a kept turn */
	MESSAGE_TURN_FOUND = 16,   /**< its answer */
	MESSAGE_HISTORY_GET = 17,  /**< asks a gateway for a turn's chain */
	MESSAGE_HISTORY = 18,      /**< its answer */
	MESSAGE_CRASHED = 19,      /**< a server died while it ran a request */
	MESSAGE_DECLARED = 20,     /**< an encoded configuration */
	MESSAGE_STORE = 21,        /**< records for another gateway to append */
	MESSAGE_STORED = 22,       /**< how that append went */
	MESSAGE_DECLARED_GET = 23, /**< asks for the configuration in force */
	MESSAGE_SERVERS_GET = 24,  /**< asks for the list of backend servers */
	MESSAGE_SERVERS = 25,      /**< that list */
};

/** A daemon as it describes itself, or as a relay describes it. */
struct message_member {
	char vm[NAME_BYTES];
	char address[NAME_BYTES]; /**< IP address for callers */
	uint32_t port;
	char peer_address[NAME_BYTES]; /**< IP address for daemons */
	uint32_t peer_port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	uint64_t incarnation; /**< random; new at each start */
	uint64_t config_version;
	uint32_t owned_shards;
	bool draining;
	bool log_lost; /**< can't reach the platform's log */
	bool gone;     /**< in a VIEW: not heard of in time */
	bool brief;    /**< in a VIEW: only vm, config_version, owned_shards
			  and gone are filled in; the rest has not changed */
};

struct message_hello {
	struct message_member self;
	uint64_t view_incarnation; /**< sender of the last VIEW folded */
	uint64_t view_seen;        /**< number of that VIEW */
};

struct message_view {
	uint64_t incarnation;      /**< of the sender */
	uint64_t base;             /**< changes up to this view are left out */
	uint64_t number;           /**< rises with each change of the members */
	uint64_t view_incarnation; /**< as in HELLO */
	uint64_t view_seen;
	uint64_t config_version;
	uint64_t config_end;            /**< end of the configuration stream */
	int64_t log_age_us;             /**< since the sender last reached it */
	struct message_member *members; /**< changed since base */
	size_t member_count;
};

/** A record of a stream, as read from the log. */
struct message_record {
	uint64_t offset;
	struct wire_bytes data;
};

/** Body of CONFIG and LANE: what a stream holds from `from` on. */
struct message_stream {
	uint32_t lane;  /**< LANE only */
	uint64_t from;  /**< no record from here to the first is missing */
	uint64_t next;  /**< offset after the last record sent */
	uint64_t end;   /**< end of the stream when the sender last read it */
	int64_t age_us; /**< since then */
	struct message_record *records;
	size_t record_count;
};

struct message_append {
	uint32_t lane;
	uint64_t number; /**< given by the sender */
	bool priority;   /**< claims, intents, outcomes, configuration */
	struct message_record *records; /**< offsets unused */
	size_t record_count;
};

struct message_appended {
	uint64_t number;
	uint32_t result;       /**< enum append_result */
	uint64_t first_offset; /**< of the batch, if appended */
};

struct message_want_item {
	uint32_t lane;
	uint64_t from;
};

struct message_want {
	bool config;
	uint64_t config_from;
	struct message_want_item *lanes; /**< all that the sender follows */
	size_t lane_count;
};

struct message_drain {
	char vm[NAME_BYTES];
	bool draining;
};

struct message_status {
	uint64_t config_version;
	bool config_maybe_stale;
	bool draining;
	uint32_t owned_shards;
	uint32_t open_calls;
	uint64_t backlog_bytes; /**< waiting to be appended */
};

/** Requests that a gateway has running on a backend server. */
struct message_load {
	uint64_t server; /**< hash of its id */
	uint32_t running;
};

/** A part of prompts that a backend server's cache holds. */
struct message_part {
	uint64_t part;
	uint64_t server; /**< hash of its id */
	uint32_t tokens;
};

/** A gateway of another failure domain that the sender has heard from. */
struct message_heard {
	uint64_t vm; /**< hash of its name */
};

struct message_pulse {
	struct message_member self;
	uint64_t generation; /**< of the partitions' distribution */
	uint64_t owned;      /**< bit N: owns partition N */
	struct message_load *loads;
	size_t load_count;
	struct message_part *parts; /**< shared ones; now and then */
	size_t part_count;
	struct message_heard *heard; /**< now and then */
	size_t heard_count;
	bool reply_requested; /**< the sender has just started */
};

struct message_turn_begin {
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	char session[NAME_BYTES];
	char previous[NAME_BYTES];
	bool has_budget;
	uint64_t budget;
	uint64_t most;
	int64_t left_us;  /**< until the turn's deadline */
	bool needs_chain; /**< the sender lacks the previous turn */
};

/** How an owner answers. */
enum turn_answer {
	TURN_ANSWER_GRANTED = 1,
	TURN_ANSWER_EXHAUSTED = 2, /**< the budget does not hold the turn */
	TURN_ANSWER_BUSY = 3,      /**< until other turns have ended */
	TURN_ANSWER_NOT_OWNER = 4,
	TURN_ANSWER_UNSURE = 5, /**< it can't read the log now */
};

struct message_turn_granted {
	char turn[NAME_BYTES];
	uint32_t answer; /**< enum turn_answer */
	uint64_t epoch;
	bool previous_known;    /**< the previous turn is kept here */
	struct turn_ref *chain; /**< of the previous turn, oldest first */
	size_t chain_count;
	char vm[NAME_BYTES];     /**< that served the previous turn */
	char server[NAME_BYTES]; /**< that has the program's cache */
};

struct message_turn_end {
	uint32_t type; /**< enum turn_record_type */
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	uint64_t epoch;
	uint64_t spent;
	uint64_t most;
	uint64_t budget;
	char session[NAME_BYTES];
	char server[NAME_BYTES]; /**< that ran it; "": none */
	/* of kept ones */
	char previous[NAME_BYTES];
	uint64_t offset;
	uint32_t bytes;
	struct turn_ref *ancestors;
	size_t ancestor_count;
};

struct message_turn_ended {
	char turn[NAME_BYTES];
	bool owner; /**< false: the receiver does not own the program */
};

struct message_turn_find {
	char turn[NAME_BYTES];
	uint32_t part;
	bool certain; /**< look into the log before saying no */
};

struct message_turn_found {
	char turn[NAME_BYTES];
	uint32_t part;
	uint32_t answer; /**< enum turn_answer; granted: it was looked for */
	bool known;
	struct turn_ref *chain;
	size_t chain_count;
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
};

struct message_history_turn {
	char turn[NAME_BYTES];
	char previous[NAME_BYTES];
	uint32_t part;
	uint64_t offset;
	uint32_t bytes;
	struct wire_bytes input;
	struct wire_bytes output;
};

struct message_history_get {
	char turn[NAME_BYTES];
};

struct message_history {
	char turn[NAME_BYTES];
	struct message_history_turn *turns; /**< oldest first; none: unknown */
	size_t turn_count;
};

struct message_crashed {
	uint64_t fingerprint;
	char server[NAME_BYTES];
	int64_t born_wall_ms; /**< life of the server that ended */
};

struct message_declared {
	struct wire_bytes data;
};

/** A backend server as another gateway knows it. */
struct message_server {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	uint32_t slots;
	bool draining;
	int64_t cold_us;
	int64_t born_wall_ms;
};

struct message_servers {
	struct message_server *servers;
	size_t server_count;
};

struct message_store {
	uint64_t number; /**< given by the sender */
	uint32_t part;
	struct message_record *records; /**< offsets unused */
	size_t record_count;
};

struct message_stored {
	uint64_t number;
	bool ok;
	uint64_t first_offset;
};

struct message {
	enum message_type type;
	uint32_t format;
	char sender[NAME_BYTES]; /**< VM */
	union {
		struct message_hello hello;
		struct message_view view;
		struct message_stream stream; /**< CONFIG, LANE */
		struct message_append append;
		struct message_appended appended;
		struct message_want want;
		struct message_drain drain;
		struct message_status status;
		struct message_pulse pulse;
		struct message_turn_begin turn_begin;
		struct message_turn_granted turn_granted;
		struct message_turn_end turn_end;
		struct message_turn_ended turn_ended;
		struct message_turn_find turn_find;
		struct message_turn_found turn_found;
		struct message_history_get history_get;
		struct message_history history;
		struct message_crashed crashed;
		struct message_declared declared;
		struct message_servers servers;
		struct message_store store;
		struct message_stored stored;
	};
};

/** Appends the wire form. */
void message_encode(const struct message *message, struct buf *out);
/** Decodes a wire form, to be freed with message_reset() after success. Views
 * point into data. A type that this version does not know decodes with an
 * empty body.
 * Errors: ERROR_INVALID with what is wrong. */
bool message_decode(const uint8_t *data, size_t len, struct message *message,
    struct error *err);
/** Frees the lists of a decoded message. */
void message_reset(struct message *message);
/** Returns "hello", "view", ..., or "unknown". */
const char *message_type_name(enum message_type type);

#endif
