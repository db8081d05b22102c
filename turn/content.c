#include <string.h>

#include "turn/content.h"

enum {
	/* Bound on what a record of a part has besides the part. */
	PART_OVERHEAD_BYTES = 512,
};

static size_t
part_max_bytes(size_t record_max)
{
	return record_max - PART_OVERHEAD_BYTES;
}

size_t
turn_content_part_count(const struct turn_content *content, size_t record_max)
{
	size_t len = content->input.len + content->output.len;
	size_t part_max = part_max_bytes(record_max);

	return (len + part_max - 1) / part_max;
}

/* Appends those of len bytes from an offset on that lie in `from`, whose first
 * byte has the offset `at`. */
static void
append_overlap(struct buf *out, const struct wire_bytes *from, size_t at,
    size_t offset, size_t len)
{
	size_t begin = offset > at ? offset - at : 0;
	size_t end = offset + len > at ? offset + len - at : 0;

	if (end > from->len)
		end = from->len;
	if (begin < end)
		buf_append(out, from->data + begin, end - begin);
}

void
turn_content_encode_part(const struct turn_content *content, const char *turn,
    uint32_t number, size_t record_max, struct buf *out)
{
	size_t part_max = part_max_bytes(record_max);
	size_t offset = number * part_max;
	struct turn_record record = {
	    .type = TURN_RECORD_CONTENT,
	    .part_number = number,
	};
	struct buf part = {0};

	append_overlap(&part, &content->input, 0, offset, part_max);
	append_overlap(
	    &part, &content->output, content->input.len, offset, part_max);
	record.part = (struct wire_bytes){.data = part.data, .len = part.len};
	memcpy(record.turn, turn, strnlen(turn, NAME_BYTES - 1));
	turn_record_encode(&record, out);
	buf_reset(&part);
}

bool
turn_content_decode_part(const struct wire_bytes *record, const char *turn,
    uint32_t number, struct buf *content)
{
	struct turn_record decoded;
	bool ok;

	if (!turn_record_decode(record->data, record->len, &decoded, NULL))
		return false;
	ok = decoded.type == TURN_RECORD_CONTENT &&
	    strcmp(decoded.turn, turn) == 0 && decoded.part_number == number;
	if (ok)
		buf_append(content, decoded.part.data, decoded.part.len);
	turn_record_reset(&decoded);
	return ok;
}
