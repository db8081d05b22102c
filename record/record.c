#include <string.h>

#include <msgpack.h>

#include "common/pack.h"
#include "record/record.h"

enum {
	ENVELOPE_ITEMS = 7,
};

enum field_kind {
	FIELD_UNSIGNED, /**< uint32_t or uint64_t, by size */
	FIELD_SIGNED,   /**< int64_t */
	FIELD_BOOL,
	FIELD_TEXT, /**< NUL-terminated array */
	FIELD_DIGEST,
	FIELD_BYTES, /**< struct record_bytes */
};

/** Where a member lives, and the key of its wire form. Keys are never reused
 * with another meaning. */
struct field {
	uint64_t key;
	enum field_kind kind;
	size_t offset;
	size_t size;
};

struct layout {
	const char *name;
	const struct field *fields;
	size_t count;
};

#define F(key, kind, member) \
	{ \
		key, kind, offsetof(struct record, member), \
		    sizeof(((struct record *)0)->member) \
	}

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
    F(9, FIELD_DIGEST, turn.arguments),
    F(10, FIELD_BOOL, turn.tool),
};
static const struct field reserve_fields[] = {
    F(1, FIELD_TEXT, reserve.program),
    F(2, FIELD_UNSIGNED, reserve.tokens),
    F(3, FIELD_UNSIGNED, reserve.spent_tokens),
    F(4, FIELD_TEXT, reserve.server),
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
    F(7, FIELD_UNSIGNED, outcome.intent),
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
static const struct field history_fields[] = {
    F(1, FIELD_TEXT, history.program),
    F(2, FIELD_UNSIGNED, history.turn),
    F(3, FIELD_BYTES, history.content),
};
static const struct field index_fields[] = {
    F(1, FIELD_UNSIGNED, index.offset),
    F(2, FIELD_UNSIGNED, index.snapshot),
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

#define LAYOUT(label, table) \
	{ \
		label, table, sizeof(table) / sizeof((table)[0]) \
	}

static const struct layout layouts[] = {
    [RECORD_CLAIM] = LAYOUT("claim", claim_fields),
    [RECORD_RELEASE] = LAYOUT("release", release_fields),
    [RECORD_PROGRAM_BEGIN] = LAYOUT("program_begin", program_begin_fields),
    [RECORD_TURN] = LAYOUT("turn", turn_fields),
    [RECORD_RESERVE] = LAYOUT("reserve", reserve_fields),
    [RECORD_INTENT] = LAYOUT("intent", intent_fields),
    [RECORD_OUTCOME] = LAYOUT("outcome", outcome_fields),
    [RECORD_PROGRAM_END] = LAYOUT("program_end", program_end_fields),
    [RECORD_KV_RELEASED] = LAYOUT("kv_released", kv_released_fields),
    [RECORD_CRASH] = LAYOUT("crash", crash_fields),
    [RECORD_QUARANTINE_LIFT] =
	LAYOUT("quarantine_lift", quarantine_lift_fields),
    [RECORD_SNAPSHOT] = LAYOUT("snapshot", snapshot_fields),
    [RECORD_CONFIG_PATCH] = LAYOUT("config_patch", config_patch_fields),
    [RECORD_CONFIG_SNAPSHOT] =
	LAYOUT("config_snapshot", config_snapshot_fields),
    [RECORD_HISTORY] = LAYOUT("history", history_fields),
    [RECORD_INDEX] = LAYOUT("index", index_fields),
};

static const struct layout *
layout_of(uint64_t type)
{
	if (type == RECORD_NONE || type >= sizeof(layouts) / sizeof(layouts[0]))
		return NULL;
	return &layouts[type];
}

const char *
record_type_name(enum record_type type)
{
	const struct layout *layout = layout_of(type);

	return layout != NULL ? layout->name : "unknown";
}

static void
pack_field(msgpack_packer *packer, const struct field *field,
    const struct record *record)
{
	const void *at = (const char *)record + field->offset;
	const struct record_bytes *bytes = at;

	msgpack_pack_uint64(packer, field->key);
	switch (field->kind) {
	case FIELD_UNSIGNED:
		if (field->size == sizeof(uint32_t))
			msgpack_pack_uint32(packer, *(const uint32_t *)at);
		else
			msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case FIELD_SIGNED:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_TEXT:
		msgpack_pack_str_with_body(packer, at, strlen(at));
		break;
	case FIELD_DIGEST:
		msgpack_pack_bin_with_body(packer, at, DIGEST_BYTES);
		break;
	case FIELD_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->len);
		break;
	}
}

void
record_encode(const struct record *record, struct buf *out)
{
	const struct layout *layout = layout_of(record->type);
	size_t count = layout != NULL ? layout->count : 0;
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, ENVELOPE_ITEMS);
	msgpack_pack_uint32(&packer, RECORD_FORMAT);
	msgpack_pack_uint32(&packer, (uint32_t)record->type);
	msgpack_pack_uint64(&packer, record->id);
	msgpack_pack_uint32(&packer, record->shard);
	msgpack_pack_uint64(&packer, record->epoch);
	msgpack_pack_uint64(&packer, record->seq);
	msgpack_pack_map(&packer, count);
	for (size_t i = 0; i < count; i++)
		pack_field(&packer, &layout->fields[i], record);
}

static bool
unpack_unsigned(
    const struct field *field, const msgpack_object *value, void *at)
{
	if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (field->size == sizeof(uint64_t)) {
		*(uint64_t *)at = value->via.u64;
		return true;
	}
	if (value->via.u64 > UINT32_MAX)
		return false;
	*(uint32_t *)at = (uint32_t)value->via.u64;
	return true;
}

static bool
unpack_signed(const msgpack_object *value, int64_t *at)
{
	if (value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		*at = value->via.i64;
	else if (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    value->via.u64 <= INT64_MAX)
		*at = (int64_t)value->via.u64;
	else
		return false;
	return true;
}

static bool
unpack_text(const struct field *field, const msgpack_object *value, char *at)
{
	if (value->type != MSGPACK_OBJECT_STR ||
	    value->via.str.size >= field->size ||
	    memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL)
		return false;
	memcpy(at, value->via.str.ptr, value->via.str.size);
	at[value->via.str.size] = '\0';
	return true;
}

static bool
unpack_field(const struct field *field, const msgpack_object *value,
    struct record *record)
{
	void *at = (char *)record + field->offset;
	struct record_bytes *bytes = at;

	switch (field->kind) {
	case FIELD_UNSIGNED:
		return unpack_unsigned(field, value, at);
	case FIELD_SIGNED:
		return unpack_signed(value, at);
	case FIELD_BOOL:
		if (value->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = value->via.boolean;
		return true;
	case FIELD_TEXT:
		return unpack_text(field, value, at);
	case FIELD_DIGEST:
		if (value->type != MSGPACK_OBJECT_BIN ||
		    value->via.bin.size != DIGEST_BYTES)
			return false;
		memcpy(at, value->via.bin.ptr, DIGEST_BYTES);
		return true;
	case FIELD_BYTES:
		if (value->type != MSGPACK_OBJECT_BIN)
			return false;
		bytes->data = (const uint8_t *)value->via.bin.ptr;
		bytes->len = value->via.bin.size;
		return true;
	}
	return false;
}

static bool
unpack_body(
    const msgpack_object *body, struct record *record, struct error *err)
{
	const struct layout *layout = layout_of(record->type);

	if (body->type != MSGPACK_OBJECT_MAP)
		return error_set(err, ERROR_INVALID, "body is not a map");
	if (layout == NULL)
		return true;
	for (uint32_t i = 0; i < body->via.map.size; i++) {
		const msgpack_object_kv *pair = &body->via.map.ptr[i];

		if (pair->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			continue;
		for (size_t f = 0; f < layout->count; f++) {
			if (layout->fields[f].key != pair->key.via.u64)
				continue;
			if (!unpack_field(
				&layout->fields[f], &pair->val, record))
				return error_set(err, ERROR_INVALID,
				    "%s: bad value of field %u", layout->name,
				    (unsigned)pair->key.via.u64);
		}
	}
	return true;
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
	return unpack_body(&parts[6], record, err);
}

bool
record_decode(
    const uint8_t *data, size_t len, struct record *record, struct error *err)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	memset(record, 0, sizeof(*record));
	msgpack_unpacked_init(&unpacked);
	ok = pack_sizes_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, (const char *)data, len, &offset) ==
		MSGPACK_UNPACK_SUCCESS;
	if (!ok)
		error_set(err, ERROR_INVALID, "not a MessagePack value");
	else
		ok = unpack_envelope(&unpacked.data, record, err);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
