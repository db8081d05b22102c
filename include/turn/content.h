/** @file
 * Content of a turn, its input followed by its output, in several records: the
 * log takes records of a limited size only. No I/O.
 */
#ifndef TURN_CONTENT_H
#define TURN_CONTENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "turn/record.h"

/** Content of a turn; the bytes belong to the caller. */
struct turn_content {
	struct wire_bytes input;
	struct wire_bytes output;
};

/** Returns the number of parts for records of at most record_max bytes. */
size_t
turn_content_part_count(const struct turn_content *content, size_t record_max);
/** Appends the encoded record of a part, which has at most record_max bytes.
 * turn: id of the turn; number: of the part, from 0. */
void turn_content_encode_part(const struct turn_content *content,
    const char *turn, uint32_t number, size_t record_max, struct buf *out);
/** Appends the bytes of an encoded part to content. Returns false if the record
 * is another one than part `number` of the turn. */
bool turn_content_decode_part(const struct wire_bytes *record, const char *turn,
    uint32_t number, struct buf *content);

#endif
