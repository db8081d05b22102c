#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/memory.h"
#include "config/fold.h"
#include "config/merge.h"

void
config_fold_init(struct config_fold *fold)
{
	memset(fold, 0, sizeof(*fold));
	list_init(&fold->versions);
	fold->document = json_object();
	fold->complete = true;
}

void
config_fold_reset(struct config_fold *fold)
{
	HASH_CLEAR(hh, fold->by_id);
	list_for_each_safe (
	    version, tmp, &fold->versions, struct config_version, link) {
		list_remove(&version->link);
		free(version->patch);
		free(version);
	}
	json_decref(fold->document);
	memset(fold, 0, sizeof(*fold));
	list_init(&fold->versions);
}

const struct config_version *
config_fold_find_record(const struct config_fold *fold, uint64_t record_id)
{
	struct config_version *version;

	HASH_FIND(hh, fold->by_id, &record_id, sizeof(record_id), version);
	return version;
}

void
config_fold_add(struct config_fold *fold, struct config_version *version)
{
	list_append(&fold->versions, &version->link);
	HASH_ADD(
	    hh, fold->by_id, record_id, sizeof(version->record_id), version);
}

enum config_patch_outcome
config_fold_patch_outcome(
    const struct config_fold *fold, uint64_t record_id, uint64_t base)
{
	if (config_fold_find_record(fold, record_id) != NULL)
		return CONFIG_PATCH_ACCEPTED;
	if (fold->version != base)
		return CONFIG_PATCH_REJECTED;
	return CONFIG_PATCH_PENDING;
}

static bool
is_utf8(const char *text)
{
	json_t *string = json_string(text);

	json_decref(string);
	return string != NULL;
}

static void
append_version(
    struct config_fold *fold, uint64_t offset, const struct record *record)
{
	const struct record_config_patch *patch = &record->config_patch;
	struct config_version *version = xcalloc(1, sizeof(*version));

	version->number = ++fold->version;
	version->record_id = record->id;
	version->offset = offset;
	version->wall_us = patch->wall_us;
	memcpy(version->operator_name, patch->operator_name, NAME_BYTES);
	memcpy(version->comment, patch->comment, sizeof(version->comment));
	version->patch = xmemdup(patch->patch.data, patch->patch.len);
	config_fold_add(fold, version);
}

static enum config_verdict
apply_patch(
    struct config_fold *fold, uint64_t offset, const struct record *record)
{
	const struct record_config_patch *patch = &record->config_patch;
	json_t *object;

	if (!fold->complete)
		return CONFIG_IGNORED;
	if (config_fold_find_record(fold, record->id) != NULL)
		return CONFIG_DUPLICATE;
	if (patch->base != fold->version)
		return CONFIG_STALE_BASE;
	object = merge_parse(patch->patch.data, patch->patch.len, NULL);
	if (object == NULL || !is_utf8(patch->operator_name) ||
	    !is_utf8(patch->comment)) {
		json_decref(object);
		return CONFIG_MALFORMED;
	}
	merge_apply(fold->document, object);
	json_decref(object);
	append_version(fold, offset, record);
	return CONFIG_ACCEPTED;
}

/* Replaces the fold's state by that of a snapshot, whose versions it moves. The
 * reader continues at the first offset that the snapshot doesn't cover. */
static void
replace_state(struct config_fold *fold, struct config_fold *state)
{
	uint64_t next_offset = state->next_offset;
	int64_t wall_us = state->snapshot_wall_us;

	config_fold_reset(fold);
	fold->complete = true;
	fold->document = json_incref(state->document);
	fold->version = state->version;
	HASH_CLEAR(hh, state->by_id);
	list_for_each_safe (
	    version, tmp, &state->versions, struct config_version, link) {
		list_remove(&version->link);
		config_fold_add(fold, version);
	}
	fold->next_offset = next_offset;
	fold->contiguous_since_offset = next_offset;
	fold->snapshot_end_offset = next_offset;
	fold->snapshot_wall_us = wall_us;
}

static void
set_newest_snapshot(struct config_fold *fold, const struct config_fold *state)
{
	if (state->next_offset < fold->snapshot_end_offset)
		return;
	fold->snapshot_end_offset = state->next_offset;
	fold->snapshot_wall_us = state->snapshot_wall_us;
}

/* A snapshot that precedes all versions of the stream is an import from another
 * log: its offsets mean nothing here, so they are replaced by its own offset in
 * this stream. */
static enum config_verdict
apply_state(
    struct config_fold *fold, uint64_t offset, struct config_fold *state)
{
	if (state->version == 0)
		return CONFIG_IGNORED;
	if (fold->complete && fold->version == 0) {
		state->next_offset = offset + 1;
		replace_state(fold, state);
		fold->snapshot_end_offset = offset;
		return CONFIG_ADOPTED;
	}
	if (state->next_offset > offset)
		return CONFIG_IGNORED;
	if (fold->complete) {
		set_newest_snapshot(fold, state);
		return CONFIG_IGNORED;
	}
	if (state->next_offset < fold->contiguous_since_offset ||
	    state->version < fold->version)
		return CONFIG_IGNORED;
	replace_state(fold, state);
	return CONFIG_ADOPTED;
}

static enum config_verdict
apply_snapshot(
    struct config_fold *fold, uint64_t offset, const struct record *record)
{
	const struct record_config_snapshot *snapshot =
	    &record->config_snapshot;
	struct config_fold state;
	enum config_verdict verdict;

	config_fold_init(&state);
	if (config_fold_decode(
		&state, snapshot->state.data, snapshot->state.len, NULL))
		verdict = apply_state(fold, offset, &state);
	else
		verdict = CONFIG_MALFORMED;
	config_fold_reset(&state);
	return verdict;
}

void
config_fold_set_oldest_offset(struct config_fold *fold, uint64_t oldest_offset)
{
	if (oldest_offset <= fold->next_offset)
		return;
	fold->complete = false;
	fold->contiguous_since_offset = oldest_offset;
	fold->next_offset = oldest_offset;
}

enum config_verdict
config_fold_apply(
    struct config_fold *fold, uint64_t offset, const struct record *record)
{
	if (offset < fold->next_offset)
		return CONFIG_IGNORED;
	config_fold_set_oldest_offset(fold, offset);
	fold->next_offset = offset + 1;
	switch (record->type) {
	case RECORD_CONFIG_PATCH:
		return apply_patch(fold, offset, record);
	case RECORD_CONFIG_SNAPSHOT:
		return apply_snapshot(fold, offset, record);
	default:
		return CONFIG_IGNORED;
	}
}

enum config_verdict
config_fold_apply_encoded(
    struct config_fold *fold, uint64_t offset, const void *data, size_t len)
{
	struct record record;
	enum config_verdict verdict;

	if (record_decode(data, len, &record, NULL))
		return config_fold_apply(fold, offset, &record);
	memset(&record, 0, sizeof(record));
	verdict = config_fold_apply(fold, offset, &record);
	return verdict == CONFIG_IGNORED ? CONFIG_MALFORMED : verdict;
}

const char *
config_verdict_name(enum config_verdict verdict)
{
	static const char *const names[] = {
	    [CONFIG_ACCEPTED] = "accepted",
	    [CONFIG_DUPLICATE] = "duplicate",
	    [CONFIG_STALE_BASE] = "stale_base",
	    [CONFIG_MALFORMED] = "malformed",
	    [CONFIG_IGNORED] = "ignored",
	    [CONFIG_ADOPTED] = "adopted",
	};

	return names[verdict];
}
