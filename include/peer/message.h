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
	MESSAGE_HEARTBEAT = 1,    /**< heartbeat of a daemon */
	MESSAGE_VIEW = 2,         /**< members as a relay sees them */
	MESSAGE_CONFIG = 3,       /**< records of the configuration stream */
	MESSAGE_APPEND = 4,       /**< records for a relay to append */
	MESSAGE_APPEND_REPLY = 5, /**< how that append went */
	MESSAGE_LANE = 6,         /**< records of a lane */
	MESSAGE_SUBSCRIBE = 7,    /**< streams that a daemon follows */
	MESSAGE_DRAIN = 8,        /**< a VM is to leave, or stays after all */
	MESSAGE_STATUS = 9,       /**< state of a daemon, for operators */
	/* between gateways */
	MESSAGE_GATEWAY_HEARTBEAT = 10, /**< sign of life of a gateway */
	MESSAGE_TURN_BEGIN = 11,       /**< asks a program's owner for a turn */
	MESSAGE_TURN_BEGIN_REPLY = 12, /**< its answer */
	MESSAGE_TURN_END = 13,         /**< tells the owner how a turn ended */
	MESSAGE_TURN_END_REPLY = 14,   /**< the owner has it */
	MESSAGE_TURN_FIND = 15,        /**< asks an owner for a kept turn */
	MESSAGE_TURN_FIND_REPLY = 16,  /**< its answer */
	MESSAGE_HISTORY_GET = 17,      /**< asks a gateway for a turn's chain */
	MESSAGE_HISTORY = 18,          /**< its answer */
	MESSAGE_SERVER_CRASHED =
	    19, /**< a server died while it ran a request */
	MESSAGE_GATEWAY_CONFIG = 20, /**< an encoded configuration */
	MESSAGE_STORE_APPEND = 21, /**< records for another gateway to append */
	MESSAGE_STORE_APPEND_REPLY = 22, /**< how that append went */
	MESSAGE_GATEWAY_CONFIG_GET =
	    23,                   /**< asks for the configuration in force */
	MESSAGE_SERVERS_GET = 24, /**< asks for the list of backend servers */
	MESSAGE_SERVERS = 25,     /**< that list */
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
	bool log_unreachable; /**< can't reach the platform's log */
	bool gone;            /**< in a VIEW: not heard of in time */
	bool partial; /**< in a VIEW: only vm, config_version, owned_shards
		       and gone are filled in; the rest has not changed */
};

struct message_heartbeat {
	struct message_member self;
	uint64_t acked_incarnation; /**< sender of the last VIEW folded */
	uint64_t acked_version;     /**< number of that VIEW */
};

struct message_view {
	uint64_t incarnation;  /**< of the sender */
	uint64_t base_version; /**< changes up to this view are left out */
	uint64_t version;      /**< rises with each change of the members */
	uint64_t acked_incarnation; /**< as in HELLO */
	uint64_t acked_version;
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

struct message_append_reply {
	uint64_t number;
	uint32_t result;       /**< enum append_result */
	uint64_t first_offset; /**< of the batch, if appended */
};

struct message_subscribe_lane {
	uint32_t lane;
	uint64_t from;
};

struct message_subscribe {
	bool config;
	uint64_t config_from;
	struct message_subscribe_lane
	    *lanes; /**< all that the sender follows */
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
	uint64_t server_hash; /**< hash of its id */
	uint32_t running;
};

/** A part of prompts that a backend server's cache holds. */
struct message_cached_prefix {
	uint64_t prefix_hash;
	uint64_t server_hash; /**< hash of its id */
	uint32_t tokens;
};

/** A gateway of another failure domain that the sender has heard from. */
struct message_reachable_gateway {
	uint64_t vm_hash; /**< hash of its name */
};

struct message_gateway_heartbeat {
	struct message_member self;
	uint64_t ownership_generation; /**< of the partitions' distribution */
	uint64_t owned_partitions;     /**< bit N: owns partition N */
	struct message_load *loads;
	size_t load_count;
	struct message_cached_prefix
	    *cached_prefixes; /**< shared ones; now and then */
	size_t cached_prefix_count;
	struct message_reachable_gateway
	    *reachable_gateways; /**< now and then */
	size_t reachable_gateway_count;
	bool reply_requested; /**< the sender has just started */
};

struct message_turn_begin {
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	char session[NAME_BYTES];
	char previous[NAME_BYTES];
	bool has_budget;
	uint64_t budget;
	uint64_t max_tokens;
	int64_t remaining_us; /**< until the turn's deadline */
	bool needs_chain;     /**< the sender lacks the previous turn */
};

/** How an owner answers. */
enum turn_answer {
	TURN_ANSWER_GRANTED = 1,
	TURN_ANSWER_BUDGET_EXHAUSTED =
	    2,                /**< the budget does not hold the turn */
	TURN_ANSWER_BUSY = 3, /**< until other turns have ended */
	TURN_ANSWER_NOT_OWNER = 4,
	TURN_ANSWER_LOG_UNAVAILABLE = 5, /**< it can't read the log now */
};

struct message_turn_begin_reply {
	char turn[NAME_BYTES];
	uint32_t answer; /**< enum turn_answer */
	uint64_t epoch;
	bool previous_known;    /**< the previous turn is kept here */
	struct turn_ref *chain; /**< of the previous turn, oldest first */
	size_t chain_count;
	char previous_vm[NAME_BYTES];  /**< that served the previous turn */
	char cache_server[NAME_BYTES]; /**< that has the program's cache */
};

struct message_turn_end {
	uint32_t type; /**< enum turn_record_type */
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	uint64_t epoch;
	uint64_t spent;
	uint64_t max_tokens;
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

struct message_turn_end_reply {
	char turn[NAME_BYTES];
	bool is_owner; /**< false: the receiver does not own the program */
};

struct message_turn_find {
	char turn[NAME_BYTES];
	uint32_t partition;
	bool read_log; /**< look into the log before saying no */
};

struct message_turn_find_reply {
	char turn[NAME_BYTES];
	uint32_t partition;
	uint32_t answer; /**< enum turn_answer; granted: it was looked for */
	bool known;
	struct turn_ref *chain;
	size_t chain_count;
	char previous_vm[NAME_BYTES];
	char cache_server[NAME_BYTES];
};

struct message_history_turn {
	char turn[NAME_BYTES];
	char previous[NAME_BYTES];
	uint32_t partition;
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

struct message_server_crashed {
	uint64_t fingerprint;
	char server[NAME_BYTES];
	int64_t started_wall_ms; /**< life of the server that ended */
};

struct message_gateway_config {
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
	int64_t warm_up_us;
	int64_t started_wall_ms;
};

struct message_servers {
	struct message_server *servers;
	size_t server_count;
};

struct message_store_append {
	uint64_t number; /**< given by the sender */
	uint32_t partition;
	struct message_record *records; /**< offsets unused */
	size_t record_count;
};

struct message_store_append_reply {
	uint64_t number;
	bool ok;
	uint64_t first_offset;
};

struct message {
	enum message_type type;
	uint32_t format;
	char sender[NAME_BYTES]; /**< VM */
	union {
		struct message_heartbeat heartbeat;
		struct message_view view;
		struct message_stream stream; /**< CONFIG, LANE */
		struct message_append append;
		struct message_append_reply append_reply;
		struct message_subscribe subscribe;
		struct message_drain drain;
		struct message_status status;
		struct message_gateway_heartbeat gateway_heartbeat;
		struct message_turn_begin turn_begin;
		struct message_turn_begin_reply turn_begin_reply;
		struct message_turn_end turn_end;
		struct message_turn_end_reply turn_end_reply;
		struct message_turn_find turn_find;
		struct message_turn_find_reply turn_find_reply;
		struct message_history_get history_get;
		struct message_history history;
		struct message_server_crashed server_crashed;
		struct message_gateway_config gateway_config;
		struct message_servers servers;
		struct message_store_append store_append;
		struct message_store_append_reply store_append_reply;
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
