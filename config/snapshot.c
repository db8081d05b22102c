#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/memory.h"
#include "config/compress.h"
#include "config/fold.h"
#include "config/merge.h"

enum {
	STATE_FORMAT = 1,
	STATE_MAX_BYTES = 64 << 20, /* uncompressed */
	SNAPSHOTS_PER_RETENTION = 2,
	RANKS_PER_PERIOD = 10, /* each rank waits 1/10 of the period longer */
};

/* The id is a hexadecimal string: it uses all 64 bits, and jansson's integers
 * are signed. */
static json_t *
encode_version(const struct config_version *version)
{
	return json_pack("{s:I, s:o, s:I, s:I, s:s, s:s, s:s}", "number",
	    (json_int_t)version->number, "id",
	    json_sprintf("%016" PRIx64, version->record_id), "offset",
	    (json_int_t)version->offset, "wall_us",
	    (json_int_t)version->wall_us, "operator", version->operator_name,
	    "comment", version->comment, "patch", version->patch);
}

struct digest
config_fold_digest(const struct config_fold *fold)
{
	char *document =
	    json_dumps(fold->document, JSON_COMPACT | JSON_SORT_KEYS);
	struct digest digest = digest_chain(NULL, document, strlen(document));

	free(document);
	list_for_each (version, &fold->versions, struct config_version, link) {
		json_t *entry = encode_version(version);
		char *text = json_dumps(entry, JSON_COMPACT | JSON_SORT_KEYS);

		digest = digest_chain(&digest, text, strlen(text));
		free(text);
		json_decref(entry);
	}
	return digest;
}

void
config_fold_encode(
    const struct config_fold *fold, int64_t wall_us, struct buf *out)
{
	json_t *versions = json_array();
	json_t *root;
	char *text;

	list_for_each (version, &fold->versions, struct config_version, link)
		json_array_append_new(versions, encode_version(version));
	root = json_pack("{s:i, s:I, s:I, s:I, s:O, s:o}", "format",
	    STATE_FORMAT, "version", (json_int_t)fold->version, "next_offset",
	    (json_int_t)fold->next_offset, "wall_us", (json_int_t)wall_us,
	    "document", fold->document, "versions", versions);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	if (text == NULL)
		memory_exhausted();
	buf_append_text(out, text);
	free(text);
	json_decref(root);
}

void
config_snapshot_encode(const struct config_fold *fold, uint64_t id,
    int64_t wall_us, struct buf *out)
{
	struct record record = {.type = RECORD_CONFIG_SNAPSHOT, .id = id};
	struct buf text = {0};
	struct buf state = {0};

	config_fold_encode(fold, wall_us, &text);
	compress_append(text.data, text.len, &state);
	buf_reset(&text);
	record.config_snapshot.version = fold->version;
	record.config_snapshot.state.data = state.data;
	record.config_snapshot.state.len = state.len;
	record_encode(&record, out);
	buf_reset(&state);
}

static bool
copy_text(char *to, size_t size, const char *from)
{
	size_t len = strlen(from);

	if (len >= size)
		return false;
	memcpy(to, from, len + 1);
	return true;
}

static bool
decode_version(struct config_fold *fold, json_t *entry)
{
	struct config_version *version = xcalloc(1, sizeof(*version));
	json_int_t number = 0;
	json_int_t offset = 0;
	json_int_t wall_us = 0;
	const char *id = "";
	const char *operator_name = "";
	const char *comment = "";
	const char *patch = "";
	char *end = NULL;
	bool ok;

	ok = json_unpack(entry, "{s:I, s:s, s:I, s:I, s:s, s:s, s:s}", "number",
		 &number, "id", &id, "offset", &offset, "wall_us", &wall_us,
		 "operator", &operator_name, "comment", &comment, "patch",
		 &patch) == 0 &&
	    copy_text(version->operator_name, NAME_BYTES, operator_name) &&
	    copy_text(version->comment, sizeof(version->comment), comment);
	version->record_id = strtoull(id, &end, 16);
	version->number = (uint64_t)number;
	version->offset = (uint64_t)offset;
	version->wall_us = wall_us;
	version->patch = xstrdup(patch);
	config_fold_add(fold, version);
	return ok && end != id && *end == '\0';
}

/* Returns false unless the versions are 1, 2, ... up to the current one. */
static bool
decode_versions(struct config_fold *fold, const json_t *versions)
{
	size_t index;
	json_t *entry;

	json_array_foreach ((json_t *)versions, index, entry) {
		if (!decode_version(fold, entry))
			return false;
		if (list_entry(fold->versions.prev, struct config_version, link)
			->number != index + 1)
			return false;
	}
	return fold->version == json_array_size(versions);
}

static bool
decode_state(struct config_fold *fold, json_t *root)
{
	json_int_t format = 0;
	json_int_t version = -1;
	json_int_t next_offset = -1;
	json_int_t wall_us = 0;
	json_t *document = NULL;
	json_t *versions = NULL;

	if (json_unpack(root, "{s:I, s:I, s:I, s:I, s:o, s:o}", "format",
		&format, "version", &version, "next_offset", &next_offset,
		"wall_us", &wall_us, "document", &document, "versions",
		&versions) != 0)
		return false;
	if (format < STATE_FORMAT || version < 0 || next_offset < 0 ||
	    !json_is_object(document) || !json_is_array(versions))
		return false;
	json_decref(fold->document);
	fold->document = json_deep_copy(document);
	fold->version = (uint64_t)version;
	fold->next_offset = (uint64_t)next_offset;
	fold->contiguous_since_offset = fold->next_offset;
	fold->snapshot_end_offset = fold->next_offset;
	fold->snapshot_wall_us = wall_us;
	return decode_versions(fold, versions);
}

static bool
decode_text(
    struct config_fold *fold, const void *data, size_t len, struct error *err)
{
	json_error_t json_err;
	json_t *root = merge_parse(data, len, &json_err);
	bool ok;

	config_fold_reset(fold);
	config_fold_init(fold);
	if (root == NULL)
		return error_set(err, ERROR_INVALID, "line %d: %s",
		    json_err.line, json_err.text);
	ok = decode_state(fold, root);
	json_decref(root);
	if (ok)
		return true;
	config_fold_reset(fold);
	config_fold_init(fold);
	return error_set(
	    err, ERROR_INVALID, "incomplete configuration history");
}

bool
config_fold_decode(
    struct config_fold *fold, const void *data, size_t len, struct error *err)
{
	struct buf text = {0};
	bool ok;

	if (!compress_is_compressed(data, len))
		return decode_text(fold, data, len, err);
	if (!compress_expand(data, len, STATE_MAX_BYTES, &text)) {
		config_fold_reset(fold);
		config_fold_init(fold);
		buf_reset(&text);
		return error_set(err, ERROR_INVALID, "damaged compressed data");
	}
	ok = decode_text(fold, text.data, text.len, err);
	buf_reset(&text);
	return ok;
}

json_t *
config_fold_document_at(const struct config_fold *fold, uint64_t version)
{
	json_t *document;

	if (version > fold->version)
		return NULL;
	document = json_object();
	list_for_each (item, &fold->versions, struct config_version, link) {
		json_t *patch;

		if (item->number > version)
			break;
		patch = merge_parse(item->patch, strlen(item->patch), NULL);
		if (patch != NULL)
			merge_apply(document, patch);
		json_decref(patch);
	}
	return document;
}

bool
config_snapshot_due(const struct config_fold *fold,
    const struct config_snapshot_policy *policy, uint64_t oldest_offset,
    int64_t wall_us, uint32_t rank)
{
	int64_t period_us = policy->retention_us / SNAPSHOTS_PER_RETENTION;
	uint64_t tail_records = fold->next_offset - fold->snapshot_end_offset;
	int64_t last_us = fold->snapshot_wall_us;

	if (!fold->complete || fold->version == 0)
		return false;
	if (fold->snapshot_end_offset < oldest_offset)
		return true;
	if (tail_records >
	    policy->max_records + rank * policy->max_records / RANKS_PER_PERIOD)
		return true;
	if (period_us == 0)
		return false;
	if (last_us == 0)
		last_us =
		    list_entry(fold->versions.next, struct config_version, link)
			->wall_us;
	return wall_us - last_us >
	    period_us / RANKS_PER_PERIOD * (RANKS_PER_PERIOD + rank);
}
