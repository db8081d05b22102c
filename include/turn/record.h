/** @file
 * Records of the log topic for turns. Each record states the start or the end
 * of one turn, or a checkpoint of the index. Any VM may append a record, and
 * more than once: readers recognise copies by the turn's id and ignore them.
 */
#ifndef TURN_RECORD_H
#define TURN_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/error.h"
#include "record/record.h"

enum {
	TURN_CHAIN_MAX = 512, /**< turns in a chain */
};

enum turn_record_type {
	/** The turn completed; later turns may continue it. */
	TURN_RECORD_RETAINED = 1,
	/** The turn ended; the record holds the tokens that it spent. */
	TURN_RECORD_ENDED = 2,
	/** The turn was granted and may run; its max_tokens count against the
	 * budget until it ends. */
	TURN_RECORD_STARTED = 3,
	/** Checkpoint, in the index only; see turn_record.offset. */
	TURN_RECORD_INDEX_CHECKPOINT = 4,
	/** As TURN_RECORD_RETAINED, but the content is in other records, which
	 * are durable before this one. Versions that can't read those ignore
	 * it. */
	TURN_RECORD_RETAINED_IN_PARTS = 5,
	/** Part of the content of a turn; in the topic of contents only. */
	TURN_RECORD_CONTENT = 6,
};

/** Location of a record with a part of a turn's content. */
struct turn_part {
	uint64_t offset; /**< in the topic of contents */
	uint32_t bytes;  /**< size of the record */
};

/** Location of a retained turn's record in the log. */
struct turn_ref {
	char turn[NAME_BYTES];
	uint32_t partition;
	uint64_t offset;
	uint32_t bytes; /**< size of the record */
};

/** Start or end of a turn. */
struct turn_record {
	enum turn_record_type type;
	char turn[NAME_BYTES]; /**< id of the request that carried the turn */
	char program[NAME_BYTES];
	uint64_t epoch;      /**< ownership under which it was granted */
	uint64_t spent;      /**< tokens delivered to the caller */
	uint64_t max_tokens; /**< limit on the tokens that the turn generates */
	uint64_t budget;     /**< budget of the program, in tokens */
	/** TURN_RECORD_STARTED: time from grant to deadline; 0 if unknown. */
	uint64_t remaining_us;
	/** Whether the turn's owner may grant later turns of the program
	 * without a record. Not set in a TURN_RECORD_RETAINED that the serving
	 * VM wrote, since that VM does not know it. */
	bool allows_unrecorded;
	/** TURN_RECORD_ENDED: the end was not reported in time, and spent is
	 * the limit on the turn's tokens. */
	bool end_timed_out;
	/* From previous to output: set in a TURN_RECORD_RETAINED only. One in
	 * parts has no input and output. */
	char previous[NAME_BYTES];  /**< turn that it continues, or "" */
	char vm[NAME_BYTES];        /**< VM that served the turn */
	char server[NAME_BYTES];    /**< backend server whose KV cache has it */
	struct turn_ref *ancestors; /**< oldest first, previous last */
	size_t ancestor_count;
	struct wire_bytes input;
	struct wire_bytes output; /**< data of the response's events */
	/** In the index, whose records have no content: log offset of the
	 * turn's record. In a TURN_RECORD_INDEX_CHECKPOINT: the index covers
	 * all records of the log before this offset. */
	uint64_t offset;
	uint32_t bytes; /**< in the index: size of the turn's record */
	/** TURN_RECORD_RETAINED_IN_PARTS: where the input is, followed by the
	 * output. */
	struct turn_part *parts;
	size_t part_count;
	uint64_t input_bytes; /**< the same: length of the input */
	/** TURN_RECORD_CONTENT: number of the part, from 0. */
	uint32_t part_number;
	struct wire_bytes part; /**< the same: its bytes */
};

/** Appends the encoded form of a record. */
void turn_record_encode(const struct turn_record *record, struct buf *out);
/** Decodes a record. input and output point into data. After success, the
 * caller frees the record with turn_record_reset().
 * Errors: ERROR_INVALID if data is not a valid turn record. */
bool turn_record_decode(const void *data, size_t len,
    struct turn_record *record, struct error *err);
void turn_record_reset(struct turn_record *record);

#endif
