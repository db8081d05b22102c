/** @file
 * Records of guavakeel's streams in the platform log.
 *
 * A record is encoded as a MessagePack array [format, type, id, shard, epoch,
 * seq, body]; body is a map with integer keys. Readers skip keys and types that
 * they do not know, so that two versions of the software can share a stream.
 */
#ifndef RECORD_RECORD_H
#define RECORD_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/wire.h"

enum {
	RECORD_FORMAT = 1,
	NAME_BYTES = 64, /**< VM, workspace, server, tool, model, key */
	PROGRAM_ID_BYTES = 40,
};

enum record_type {
	RECORD_NONE = 0,
	RECORD_CLAIM = 1,   /**< a VM claims the ownership of a shard */
	RECORD_RELEASE = 2, /**< the owner gives up a shard */
	RECORD_PROGRAM_BEGIN = 3,
	RECORD_TURN = 4,    /**< result of a model or repeatable call */
	RECORD_RESERVE = 5, /**< budget that the owner may spend from now on */
	RECORD_INTENT = 6,  /**< a non-idempotent call is about to be sent */
	RECORD_OUTCOME = 7, /**< outcome of an intent's call */
	RECORD_PROGRAM_END = 8,
	RECORD_KV_RELEASED = 9, /**< a server released a program's KV cache */
	RECORD_CRASH = 10,      /**< a server crashed while it ran a request */
	RECORD_QUARANTINE_LIFT = 11,
	RECORD_SNAPSHOT = 12, /**< part of a shard's state */
	RECORD_CONFIG_PATCH = 13,
	RECORD_CONFIG_SNAPSHOT = 14,
	RECORD_HISTORY = 15, /**< content of an old turn, appended again before
			      * its record expires */
	RECORD_INDEX = 16,   /**< place of a shard's newest snapshot */
};

struct record_claim {
	char vm[NAME_BYTES];
	char address[NAME_BYTES]; /**< "IP:port" for callers */
};

struct record_release {
	char next_vm[NAME_BYTES]; /**< VM that should claim next, or "" */
};

struct record_program_begin {
	char program[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char parent[PROGRAM_ID_BYTES]; /**< "" for a top-level program */
	char key[NAME_BYTES]; /**< idempotency key of the request, or "" */
	uint64_t budget_tokens;
	uint64_t reserve_tokens; /**< part of the budget that is reserved */
	int64_t begun_wall_us;
	bool urgent;
};

struct record_turn {
	char program[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	char server[NAME_BYTES]; /**< server that ran the call and may hold its
				  * KV cache; "" for tools */
	uint64_t turn;           /**< 1, 2, ... */
	uint64_t spent_tokens;
	uint64_t prompt_tokens;    /**< length of the history after the turn */
	struct digest digest;      /**< of the history after the turn */
	struct wire_bytes content; /**< JSON array of new messages */
	struct digest arguments;   /**< digest of the request body */
	bool tool; /**< a tool's response, which is not part of the history */
};

struct record_reserve {
	char program[PROGRAM_ID_BYTES];
	uint64_t tokens;         /**< added to the reserved tokens */
	uint64_t spent_tokens;   /**< spent outside of a recorded turn */
	char server[NAME_BYTES]; /**< server of an abandoned call, or "" */
};

struct record_intent {
	char program[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	char tool[NAME_BYTES];
	uint64_t turn;
	struct digest arguments; /**< digest of the request body */
};

enum outcome {
	OUTCOME_OPEN = 0,    /**< no outcome yet */
	OUTCOME_DONE = 1,    /**< ran; the response is recorded */
	OUTCOME_NOT_RUN = 2, /**< certainly never sent */
	OUTCOME_UNKNOWN = 3, /**< sent, but there was no response */
};

struct record_outcome {
	char program[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	uint32_t outcome;            /**< enum outcome */
	uint32_t status;             /**< HTTP status of the response */
	char settled_by[NAME_BYTES]; /**< operator who stated the outcome; "":
				      * reported by the sender of the call */
	struct wire_bytes response;
	uint64_t intent_id; /**< id of the intent's record */
};

struct record_program_end {
	char program[PROGRAM_ID_BYTES];
	char reason[NAME_BYTES];
};

struct record_kv_released {
	char program[PROGRAM_ID_BYTES];
	char server[NAME_BYTES];
};

struct record_crash {
	char server[NAME_BYTES];
	char workspace[NAME_BYTES];
	uint64_t fingerprint; /**< hash of the request's content */
	uint64_t incident;    /**< identifies one crash of one server */
	uint32_t running;     /**< requests in flight on the server */
	int64_t wall_us;
};

struct record_quarantine_lift {
	uint64_t fingerprint;
	char operator_name[NAME_BYTES];
};

struct record_snapshot {
	uint64_t part; /**< 0, 1, ... */
	uint64_t parts;
	uint64_t end_offset; /**< first offset that is not covered */
	struct wire_bytes state;
};

struct record_history {
	char program[PROGRAM_ID_BYTES];
	uint64_t turn;
	struct wire_bytes content;
};

struct record_index {
	uint64_t offset; /**< end_offset of the snapshot in the shard's lane */
	uint64_t snapshot_id; /**< id of its first part's record */
};

struct record_config_patch {
	uint64_t base; /**< version that the patch applies to */
	char operator_name[NAME_BYTES];
	char comment[4 * NAME_BYTES];
	int64_t wall_us;
	struct wire_bytes patch; /**< JSON merge patch (RFC 7396) */
};

struct record_config_snapshot {
	uint64_t version;
	struct wire_bytes state; /**< JSON, see config/fold.h */
};

struct record {
	enum record_type type;
	uint32_t format;
	uint64_t id; /**< random; the same for each copy of a record */
	uint32_t shard;
	uint64_t epoch;
	uint64_t seq; /**< 1, 2, ... within an epoch of a shard */
	union {
		struct record_claim claim;
		struct record_release release;
		struct record_program_begin program_begin;
		struct record_turn turn;
		struct record_reserve reserve;
		struct record_intent intent;
		struct record_outcome outcome;
		struct record_program_end program_end;
		struct record_kv_released kv_released;
		struct record_crash crash;
		struct record_quarantine_lift quarantine_lift;
		struct record_snapshot snapshot;
		struct record_history history;
		struct record_index index;
		struct record_config_patch config_patch;
		struct record_config_snapshot config_snapshot;
	};
};

/** Appends the encoded record. */
void record_encode(const struct record *record, struct buf *out);
/** Decodes a record. Its wire_bytes members point into data. A record of an
 * unknown type is decoded with an empty body.
 * Errors: ERROR_INVALID, with a text that names the fault. */
bool record_decode(
    const uint8_t *data, size_t len, struct record *record, struct error *err);
/** Returns "claim", "turn", ..., or "unknown". */
const char *record_type_name(enum record_type type);

#endif
