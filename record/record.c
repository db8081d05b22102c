#include <string.h>

#include <msgpack.h>

#include "common/field.h"
#include "common/pack.h"
#include "record/record.h"

enum {
	ENVELOPE_ITEMS = 7,
};

#define F(key, kind, member) FIELD(struct record, key, kind, member)

static const struct field claim_fields[] = {
    F(1, FIELD_TEXT, claim.vm),
    F(2, FIELD_TEXT, claim.address),
};
static const struct field release_fields[] = {
    F(1, FIELD_TEXT, release.next_vm),
};
static const struct field program_begin_fields[] = {
    F(1, FIELD_TEXT, program_begin.program),
    F(2, FIELD_TEXT, program_begin.workspace),
    F(3, FIELD_TEXT, program_begin.parent),
    F(4, FIELD_TEXT, program_begin.key),
    F(5, FIELD_UNSIGNED, program_begin.budget_tokens),
    F(6, FIELD_UNSIGNED, program_begin.reserve_tokens),
    F(7, FIELD_SIGNED, program_begin.begun_wall_us),
    F(8, FIELD_BOOL, program_begin.urgent),
};
static const struct field turn_fields[] = {
    F(1, FIELD_TEXT, turn.program),
    F(2, FIELD_TEXT, turn.key),
    F(3, FIELD_TEXT, turn.server),
    F(4, FIELD_UNSIGNED, turn.turn),
    F(5, FIELD_UNSIGNED, turn.spent_tokens),
    F(6, FIELD_UNSIGNED, turn.prompt_tokens),
    F(7, FIELD_DIGEST, turn.digest),
    F(8, FIELD_BYTES, turn.content),
};
static const struct field reserve_fields[] = {
    F(1, FIELD_TEXT, reserve.program),
    F(2, FIELD_UNSIGNED, reserve.tokens),
};
static const struct field intent_fields[] = {
    F(1, FIELD_TEXT, intent.program),
    F(2, FIELD_TEXT, intent.key),
    F(3, FIELD_TEXT, intent.tool),
    F(4, FIELD_UNSIGNED, intent.turn),
    F(5, FIELD_DIGEST, intent.arguments),
};
static const struct field outcome_fields[] = {
    F(1, FIELD_TEXT, outcome.program),
    F(2, FIELD_TEXT, outcome.key),
    F(3, FIELD_UNSIGNED, outcome.outcome),
    F(4, FIELD_UNSIGNED, outcome.status),
    F(5, FIELD_TEXT, outcome.settled_by),
    F(6, FIELD_BYTES, outcome.answer),
};
static const struct field program_end_fields[] = {
    F(1, FIELD_TEXT, program_end.program),
    F(2, FIELD_TEXT, program_end.reason),
};
static const struct field kv_released_fields[] = {
    F(1, FIELD_TEXT, kv_released.program),
    F(2, FIELD_TEXT, kv_released.server),
};
static const struct field crash_fields[] = {
    F(1, FIELD_TEXT, crash.server),
    F(2, FIELD_TEXT, crash.workspace),
    F(3, FIELD_UNSIGNED, crash.fingerprint),
    F(4, FIELD_UNSIGNED, crash.incident),
    F(5, FIELD_UNSIGNED, crash.running),
    F(6, FIELD_SIGNED, crash.wall_us),
};
static const struct field quarantine_lift_fields[] = {
    F(1, FIELD_UNSIGNED, quarantine_lift.fingerprint),
    F(2, FIELD_TEXT, quarantine_lift.operator_name),
};
static const struct field snapshot_fields[] = {
    F(1, FIELD_UNSIGNED, snapshot.part),
    F(2, FIELD_UNSIGNED, snapshot.parts),
    F(3, FIELD_UNSIGNED, snapshot.upto),
    F(4, FIELD_BYTES, snapshot.state),
};
static const struct field config_patch_fields[] = {
    F(1, FIELD_UNSIGNED, config_patch.base),
    F(2, FIELD_TEXT, config_patch.operator_name),
    F(3, FIELD_TEXT, config_patch.comment),
    F(4, FIELD_SIGNED, config_patch.wall_us),
    F(5, FIELD_BYTES, config_patch.patch),
};
static const struct field config_snapshot_fields[] = {
    F(1, FIELD_UNSIGNED, config_snapshot.version),
    F(2, FIELD_BYTES, config_snapshot.state),
};

static const struct field_layout layouts[] = {
    [RECORD_CLAIM] = FIELD_LAYOUT("claim", claim_fields),
    [RECORD_RELEASE] = FIELD_LAYOUT("release", release_fields),
    [RECORD_PROGRAM_BEGIN] =
	FIELD_LAYOUT("program_begin", program_begin_fields),
    [RECORD_TURN] = FIELD_LAYOUT("turn", turn_fields),
    [RECORD_RESERVE] = FIELD_LAYOUT("reserve", reserve_fields),
    [RECORD_INTENT] = FIELD_LAYOUT("intent", intent_fields),
    [RECORD_OUTCOME] = FIELD_LAYOUT("outcome", outcome_fields),
    [RECORD_PROGRAM_END] = FIELD_LAYOUT("program_end", program_end_fields),
    [RECORD_KV_RELEASED] = FIELD_LAYOUT("kv_released", kv_released_fields),
    [RECORD_CRASH] = FIELD_LAYOUT("crash", crash_fields),
    [RECORD_QUARANTINE_LIFT] =
	FIELD_LAYOUT("quarantine_lift", quarantine_lift_fields),
    [RECORD_SNAPSHOT] = FIELD_LAYOUT("snapshot", snapshot_fields),
    [RECORD_CONFIG_PATCH] = FIELD_LAYOUT("config_patch", config_patch_fields),
    [RECORD_CONFIG_SNAPSHOT] =
	FIELD_LAYOUT("config_snapshot", config_snapshot_fields),
};

static const struct field_layout *
layout_of(uint64_t type)
{
	if (type == RECORD_NONE || type >= sizeof(layouts) / sizeof(layouts[0]))
		return NULL;
	return &layouts[type];
}

const char *
record_type_name(enum record_type type)
{
	const struct field_layout *layout = layout_of(type);

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
	fields_pack(&packer, layout_of(record->type), record);
}

static bool
unpack_envelope(
    const msgpack_object *root, struct record *record, struct error *err)
{
	const msgpack_object *parts = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size < ENVELOPE_ITEMS)
		return error_set(err, ERROR_INVALID, "not a record envelope");
	for (int i = 0; i < ENVELOPE_ITEMS - 1; i++) {
		if (parts[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return error_set(
			    err, ERROR_INVALID, "envelope item %d", i);
	}
	if (parts[0].via.u64 == 0 || parts[0].via.u64 > UINT32_MAX ||
	    parts[1].via.u64 == 0 || parts[1].via.u64 > INT32_MAX ||
	    parts[3].via.u64 > UINT32_MAX)
		return error_set(err, ERROR_INVALID, "envelope out of range");
	record->format = (uint32_t)parts[0].via.u64;
	record->type = (enum record_type)parts[1].via.u64;
	record->id = parts[2].via.u64;
	record->shard = (uint32_t)parts[3].via.u64;
	record->epoch = parts[4].via.u64;
	record->seq = parts[5].via.u64;
	return fields_unpack(&parts[6], layout_of(record->type), record, err);
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
