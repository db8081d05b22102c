/** @file
 * Records of the topic in which turns are kept, one kind of turn's end or
 * beginning each. Each is a fact that any VM may append; readers fold copies
 * of one to nothing by the turn's name.
 */
#ifndef TURN_RECORD_H
#define TURN_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/error.h"
#include "record/record.h"

enum turn_record_type {
	TURN_RECORD_RETAINED =
	    1, /**< ended whole; later turns may continue from it */
	TURN_RECORD_ENDED = 2, /**< ended; only what it spent is of interest */
	TURN_RECORD_STARTED =
	    3, /**< may run; counts at its most until it ends */
	TURN_RECORD_INDEX_CHECKPOINT =
	    4, /**< in the index: see turn_record.offset */
};

/** Where a kept turn's record is. */
struct turn_ref {
	char turn[NAME_BYTES];
	uint32_t part;
	uint64_t offset;
	uint32_t bytes; /**< of the record */
};

struct turn_record {
	enum turn_record_type type;
	char turn[NAME_BYTES]; /**< request that carried it */
	char program[NAME_BYTES];
	uint64_t epoch;  /**< ownership under which it was granted */
	uint64_t spent;  /**< tokens handed to the caller */
	uint64_t most;   /**< tokens that it might have generated */
	uint64_t budget; /**< of the program */
	/** TURN_RECORD_STARTED: time to its deadline when it was granted; 0:
	 * not known.
	 */
	uint64_t left_us;
	/** Its owner may grant the program turns without a record; not told in
	 * a TURN_RECORD_RETAINED that the VM which served it has written. */
	bool allows_unrecorded;
	bool guessed; /**< TURN_RECORD_ENDED: its end was not told; it counts at
			 most */
	/* TURN_RECORD_RETAINED only */
	char previous[NAME_BYTES];  /**< turn that it continues; "": none */
	char vm[NAME_BYTES];        /**< that served it */
	char server[NAME_BYTES];    /**< backend server that has its cache */
	struct turn_ref *ancestors; /**< oldest first, previous last */
	size_t ancestor_count;
	struct wire_bytes input;
	struct wire_bytes output; /**< data of its events */
	/** In the index, which has no content: where the turn's record is.
	 * TURN_RECORD_INDEX_CHECKPOINT: the facts of all records before it are
	 * in the index. */
	uint64_t offset;
	uint32_t bytes; /**< of the turn's record */
};

void turn_record_encode(const struct turn_record *record, struct buf *out);
/** Decodes a record, to be freed with turn_record_reset() after success. Views
 * point into data.
 * Errors: ERROR_INVALID with what is wrong. */
bool turn_record_decode(const void *data, size_t len,
    struct turn_record *record, struct error *err);
void turn_record_reset(struct turn_record *record);

#endif
