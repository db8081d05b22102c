#include <string.h>

#include <msgpack.h>

#include "common/pack.h"
#include "common/wire.h"
#include "record/record.h"

enum {
	ENVELOPE_ITEMS = 7,
};

#define F(key, kind, member) WIRE_FIELD(struct record, key, kind, member)

static const struct wire_field claim_fields[] = {
    F(1, WIRE_TEXT, claim.vm),
    F(2, WIRE_TEXT, claim.address),
};
static const struct wire_field release_fields[] = {
    F(1, WIRE_TEXT, release.next_vm),
};
static const struct wire_field program_begin_fields[] = {
    F(1, WIRE_TEXT, program_begin.program),
    F(2, WIRE_TEXT, program_begin.workspace),
    F(3, WIRE_TEXT, program_begin.parent),
    F(4, WIRE_TEXT, program_begin.key),
    F(5, WIRE_UNSIGNED, program_begin.budget_tokens),
    F(6, WIRE_UNSIGNED, program_begin.reserve_tokens),
    F(7, WIRE_SIGNED, program_begin.begun_wall_us),
    F(8, WIRE_BOOL, program_begin.urgent),
};
static const struct wire_field turn_fields[] = {
    F(1, WIRE_TEXT, turn.program),
    F(2, WIRE_TEXT, turn.key),
    F(3, WIRE_TEXT, turn.server),
    F(4, WIRE_UNSIGNED, turn.turn),
    F(5, WIRE_UNSIGNED, turn.spent_tokens),
    F(6, WIRE_UNSIGNED, turn.prompt_tokens),
    F(7, WIRE_DIGEST, turn.digest),
    F(8, WIRE_BYTES, turn.content),
    F(9, WIRE_DIGEST, turn.arguments),
    F(10, WIRE_BOOL, turn.tool),
};
static const struct wire_field reserve_fields[] = {
    F(1, WIRE_TEXT, reserve.program),
    F(2, WIRE_UNSIGNED, reserve.tokens),
    F(3, WIRE_UNSIGNED, reserve.spent_tokens),
    F(4, WIRE_TEXT, reserve.server),
};
static const struct wire_field intent_fields[] = {
    F(1, WIRE_TEXT, intent.program),
    F(2, WIRE_TEXT, intent.key),
    F(3, WIRE_TEXT, intent.tool),
    F(4, WIRE_UNSIGNED, intent.turn),
    F(5, WIRE_DIGEST, intent.arguments),
};
static const struct wire_field outcome_fields[] = {
    F(1, WIRE_TEXT, outcome.program),
    F(2, WIRE_TEXT, outcome.key),
    F(3, WIRE_UNSIGNED, outcome.outcome),
    F(4, WIRE_UNSIGNED, outcome.status),
    F(5, WIRE_TEXT, outcome.settled_by),
    F(6, WIRE_BYTES, outcome.response),
    F(7, WIRE_UNSIGNED, outcome.intent_id),
};
static const struct wire_field program_end_fields[] = {
    F(1, WIRE_TEXT, program_end.program),
    F(2, WIRE_TEXT, program_end.reason),
};
static const struct wire_field kv_released_fields[] = {
    F(1, WIRE_TEXT, kv_released.program),
    F(2, WIRE_TEXT, kv_released.server),
};
static const struct wire_field crash_fields[] = {
    F(1, WIRE_TEXT, crash.server),
    F(2, WIRE_TEXT, crash.workspace),
    F(3, WIRE_UNSIGNED, crash.fingerprint),
    F(4, WIRE_UNSIGNED, crash.incident),
    F(5, WIRE_UNSIGNED, crash.running),
    F(6, WIRE_SIGNED, crash.wall_us),
};
static const struct wire_field quarantine_lift_fields[] = {
    F(1, WIRE_UNSIGNED, quarantine_lift.fingerprint),
    F(2, WIRE_TEXT, quarantine_lift.operator_name),
};
static const struct wire_field snapshot_fields[] = {
    F(1, WIRE_UNSIGNED, snapshot.part),
    F(2, WIRE_UNSIGNED, snapshot.parts),
    F(3, WIRE_UNSIGNED, snapshot.end_offset),
    F(4, WIRE_BYTES, snapshot.state),
};
static const struct wire_field history_fields[] = {
    F(1, WIRE_TEXT, history.program),
    F(2, WIRE_UNSIGNED, history.turn),
    F(3, WIRE_BYTES, history.content),
};
static const struct wire_field index_fields[] = {
    F(1, WIRE_UNSIGNED, index.offset),
    F(2, WIRE_UNSIGNED, index.snapshot_id),
};
static const struct wire_field config_patch_fields[] = {
    F(1, WIRE_UNSIGNED, config_patch.base),
    F(2, WIRE_TEXT, config_patch.operator_name),
    F(3, WIRE_TEXT, config_patch.comment),
    F(4, WIRE_SIGNED, config_patch.wall_us),
    F(5, WIRE_BYTES, config_patch.patch),
};
static const struct wire_field config_snapshot_fields[] = {
    F(1, WIRE_UNSIGNED, config_snapshot.version),
    F(2, WIRE_BYTES, config_snapshot.state),
};

static const struct wire_layout layouts[] = {
    [RECORD_CLAIM] = WIRE_LAYOUT("claim", claim_fields),
    [RECORD_RELEASE] = WIRE_LAYOUT("release", release_fields),
    [RECORD_PROGRAM_BEGIN] = WIRE_LAYOUT("program_begin", program_begin_fields),
    [RECORD_TURN] = WIRE_LAYOUT("turn", turn_fields),
    [RECORD_RESERVE] = WIRE_LAYOUT("reserve", reserve_fields),
    [RECORD_INTENT] = WIRE_LAYOUT("intent", intent_fields),
    [RECORD_OUTCOME] = WIRE_LAYOUT("outcome", outcome_fields),
    [RECORD_PROGRAM_END] = WIRE_LAYOUT("program_end", program_end_fields),
    [RECORD_KV_RELEASED] = WIRE_LAYOUT("kv_released", kv_released_fields),
    [RECORD_CRASH] = WIRE_LAYOUT("crash", crash_fields),
    [RECORD_QUARANTINE_LIFT] =
	WIRE_LAYOUT("quarantine_lift", quarantine_lift_fields),
    [RECORD_SNAPSHOT] = WIRE_LAYOUT("snapshot", snapshot_fields),
    [RECORD_CONFIG_PATCH] = WIRE_LAYOUT("config_patch", config_patch_fields),
    [RECORD_CONFIG_SNAPSHOT] =
	WIRE_LAYOUT("config_snapshot", config_snapshot_fields),
    [RECORD_HISTORY] = WIRE_LAYOUT("history", history_fields),
    [RECORD_INDEX] = WIRE_LAYOUT("index", index_fields),
};

static const struct wire_layout *
layout_of(uint64_t type)
{
	if (type == RECORD_NONE || type >= sizeof(layouts) / sizeof(layouts[0]))
		return NULL;
	return &layouts[type];
}

const char *
record_type_name(enum record_type type)
{
	const struct wire_layout *layout = layout_of(type);

	return layout != NULL ? layout->name : "unknown";
}

void
record_encode(const struct record *record, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, ENVELOPE_ITEMS);
	msgpack_pack_uint32(&packer, RECORD_FORMAT);
	msgpack_pack_uint32(&packer, (uint32_t)record->type);
	msgpack_pack_uint64(&packer, record->id);
	msgpack_pack_uint32(&packer, record->shard);
	msgpack_pack_uint64(&packer, record->epoch);
	msgpack_pack_uint64(&packer, record->seq);
	wire_pack(&packer, layout_of(record->type), record);
}

static bool
unpack_envelope(
    const msgpack_object *root, struct record *record, struct error *err)
{
	const msgpack_object *parts = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size < ENVELOPE_ITEMS)
		return error_set(err, ERROR_INVALID,
		    "record envelope is not an array or too short");
	for (int i = 0; i < ENVELOPE_ITEMS - 1; i++) {
		if (parts[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return error_set(err, ERROR_INVALID,
			    "record envelope item %d is not an unsigned integer",
			    i);
	}
	if (parts[0].via.u64 == 0 || parts[0].via.u64 > UINT32_MAX ||
	    parts[1].via.u64 == 0 || parts[1].via.u64 > INT32_MAX ||
	    parts[3].via.u64 > UINT32_MAX)
		return error_set(
		    err, ERROR_INVALID, "record envelope item out of range");
	record->format = (uint32_t)parts[0].via.u64;
	record->type = (enum record_type)parts[1].via.u64;
	record->id = parts[2].via.u64;
	record->shard = (uint32_t)parts[3].via.u64;
	record->epoch = parts[4].via.u64;
	record->seq = parts[5].via.u64;
	return wire_unpack(&parts[6], layout_of(record->type), record, err);
}

bool
record_decode(
    const uint8_t *data, size_t len, struct record *record, struct error *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	memset(record, 0, sizeof(*record));
	ok = pack_unpack(data, len, &unpacked, err) &&
	    unpack_envelope(&unpacked.data, record, err);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
