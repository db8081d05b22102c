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
	struct record_bytes data;
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
