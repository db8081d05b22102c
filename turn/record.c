#include <string.h>

#include <msgpack.h>

#include "common/pack.h"
#include "common/wire.h"
#include "turn/record.h"

enum {
	FORMAT_VERSION = 1,
	ENVELOPE_ITEMS = 3, /* format, type, body */
};

_Static_assert(offsetof(struct turn_record, ancestor_count) ==
	offsetof(struct turn_record, ancestors) + sizeof(void *),
    "a list's count follows its items");
_Static_assert(offsetof(struct turn_record, part_count) ==
	offsetof(struct turn_record, parts) + sizeof(void *),
    "a list's count follows its items");

static const struct wire_field ref_fields[] = {
    WIRE_FIELD(struct turn_ref, 1, WIRE_TEXT, turn),
    WIRE_FIELD(struct turn_ref, 2, WIRE_UNSIGNED, partition),
    WIRE_FIELD(struct turn_ref, 3, WIRE_UNSIGNED, offset),
    WIRE_FIELD(struct turn_ref, 4, WIRE_UNSIGNED, bytes),
};
static const struct wire_layout ref_layout = {
    "turn_ref", ref_fields, sizeof(ref_fields) / sizeof(ref_fields[0]), true};

static const struct wire_field part_fields[] = {
    WIRE_FIELD(struct turn_part, 1, WIRE_UNSIGNED, offset),
    WIRE_FIELD(struct turn_part, 2, WIRE_UNSIGNED, bytes),
};
static const struct wire_layout part_layout = {"turn_part", part_fields,
    sizeof(part_fields) / sizeof(part_fields[0]), true};

#define F(key, kind, member) WIRE_FIELD(struct turn_record, key, kind, member)
static const struct wire_field fields[] = {
    F(1, WIRE_TEXT, turn),
    F(2, WIRE_TEXT, program),
    F(3, WIRE_UNSIGNED, epoch),
    F(4, WIRE_UNSIGNED, spent),
    F(5, WIRE_UNSIGNED, max_tokens),
    F(6, WIRE_UNSIGNED, budget),
    F(7, WIRE_TEXT, previous),
    F(8, WIRE_TEXT, vm),
    F(9, WIRE_TEXT, server),
    {10, WIRE_LIST, offsetof(struct turn_record, ancestors),
	sizeof(struct wire_list), &ref_layout, sizeof(struct turn_ref)},
    F(11, WIRE_BYTES, input),
    F(12, WIRE_BYTES, output),
    F(13, WIRE_UNSIGNED, offset),
    F(14, WIRE_UNSIGNED, bytes),
    F(15, WIRE_UNSIGNED, remaining_us),
    F(16, WIRE_BOOL, allows_unrecorded),
    F(17, WIRE_BOOL, end_timed_out),
    {18, WIRE_LIST, offsetof(struct turn_record, parts),
	sizeof(struct wire_list), &part_layout, sizeof(struct turn_part)},
    F(19, WIRE_UNSIGNED, input_bytes),
    F(20, WIRE_UNSIGNED, part_number),
    F(21, WIRE_BYTES, part),
};
static const struct wire_layout layout = {
    "turn", fields, sizeof(fields) / sizeof(fields[0]), true};

void
turn_record_encode(const struct turn_record *record, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, ENVELOPE_ITEMS);
	msgpack_pack_uint32(&packer, FORMAT_VERSION);
	msgpack_pack_uint32(&packer, (uint32_t)record->type);
	wire_pack(&packer, &layout, record);
}

static bool
unpack_envelope(
    const msgpack_object *root, struct turn_record *record, struct error *err)
{
	const msgpack_object *parts = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size < ENVELOPE_ITEMS ||
	    parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[1].via.u64 < TURN_RECORD_RETAINED ||
	    parts[1].via.u64 > TURN_RECORD_CONTENT)
		return error_set(err, ERROR_INVALID, "not a turn record");
	record->type = (enum turn_record_type)parts[1].via.u64;
	return wire_unpack(&parts[2], &layout, record, err);
}

bool
turn_record_decode(
    const void *data, size_t len, struct turn_record *record, struct error *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	memset(record, 0, sizeof(*record));
	ok = pack_unpack(data, len, &unpacked, err) &&
	    unpack_envelope(&unpacked.data, record, err);
	if (ok && record->type != TURN_RECORD_INDEX_CHECKPOINT &&
	    record->turn[0] == '\0')
		ok = error_set(
		    err, ERROR_INVALID, "turn record without turn id");
	if (!ok)
		turn_record_reset(record);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void
turn_record_reset(struct turn_record *record)
{
	wire_free(&layout, record);
	record->ancestors = NULL;
	record->ancestor_count = 0;
	record->parts = NULL;
	record->part_count = 0;
}
