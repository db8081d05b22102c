#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "program/mutation.h"
#include "program/shard_fold.h"

void
shard_init(struct shard *shard, uint32_t number)
{
	memset(shard, 0, sizeof(*shard));
	shard->number = number;
	shard->state_known = true;
	shard->snapshot_offset = UINT64_MAX;
}

void
shard_reset(struct shard *shard)
{
	struct program *program = NULL;
	struct program *tmp = NULL;

	HASH_ITER (hh, shard->programs, program, tmp)
		program_destroy(shard, program);
	buf_reset(&shard->snapshot);
	shard_init(shard, shard->number);
}

void
shard_discard_state(struct shard *shard, uint64_t snapshot_id)
{
	shard_reset(shard);
	shard->state_known = false;
	shard->valid_snapshot_id = snapshot_id;
}

void
shard_set_state_known(struct shard *shard)
{
	if (!shard->state_known && !shard->epoch_known)
		shard->epoch = shard->max_epoch;
	shard->state_known = true;
}

struct program *
shard_find(const struct shard *shard, const char *program)
{
	struct program *found;

	HASH_FIND_STR(shard->programs, program, found);
	return found;
}

const char *
fold_verdict_name(enum fold_verdict verdict)
{
	static const char *const names[] = {
	    [FOLD_APPLIED] = "applied",
	    [FOLD_DUPLICATE] = "duplicate",
	    [FOLD_GAP] = "gap",
	    [FOLD_OLD_EPOCH] = "old_epoch",
	    [FOLD_REJECTED] = "rejected",
	    [FOLD_SKIPPED] = "skipped",
	};

	return names[verdict];
}

/* Charges the reservations of an owner that was lost, as it may have spent them
 * without reporting it. Not needed after a release, which comes only when all
 * spent tokens are reported. */
static void
shard_charge_unreported(struct shard *shard)
{
	struct program *program = NULL;
	struct program *tmp = NULL;

	HASH_ITER (hh, shard->programs, program, tmp) {
		if (program->ended)
			continue;
		shard->stranded += program_charge_unreported(program);
		program_add_server(program, PROGRAM_ANY_SERVER);
	}
}

static enum fold_verdict
apply_claim(struct shard *shard, const struct record *record)
{
	if (record->epoch <= shard->epoch)
		return record->id == shard->claim_id ? FOLD_DUPLICATE
						     : FOLD_OLD_EPOCH;
	if (record->epoch != shard->epoch + 1)
		return FOLD_GAP;
	if (!shard->released)
		shard_charge_unreported(shard);
	shard->epoch = record->epoch;
	shard->seq = 0;
	shard->claim_id = record->id;
	shard->released = false;
	shard->next_vm[0] = '\0';
	buf_reset(&shard->snapshot);
	shard->snapshot_parts = 0;
	memcpy(shard->vm, record->claim.vm, NAME_BYTES);
	memcpy(shard->address, record->claim.address, NAME_BYTES);
	return FOLD_APPLIED;
}

static void
apply_release(struct shard *shard, const struct record *record)
{
	shard->released = true;
	memcpy(shard->next_vm, record->release.next_vm, NAME_BYTES);
}

/* Collects the parts of a snapshot. A reader that knows the state already only
 * notes where the snapshot is. A snapshot is rejected if an outcome of an old
 * epoch was appended after the offset that it covers, since it lacks that
 * outcome. */
static enum fold_verdict
apply_snapshot(struct shard *shard, const struct record *record)
{
	const struct record_snapshot *snapshot = &record->snapshot;

	if (snapshot->part == 0) {
		buf_reset(&shard->snapshot);
		shard->snapshot_parts = 0;
		shard->snapshot_end_offset = snapshot->end_offset;
		shard->snapshot_id = record->id;
	}
	if (snapshot->part != shard->snapshot_parts)
		return FOLD_REJECTED;
	shard->snapshot_parts++;
	if (!shard->state_known)
		buf_append(&shard->snapshot, snapshot->state.data,
		    snapshot->state.len);
	if (shard->snapshot_parts < snapshot->parts)
		return FOLD_APPLIED;
	if (shard->late_outcome_end > shard->snapshot_end_offset) {
		buf_reset(&shard->snapshot);
		return FOLD_REJECTED;
	}
	shard->snapshot_offset = shard->snapshot_end_offset;
	if (!shard->state_known)
		shard->state_known = shard_decode(
		    shard, shard->snapshot.data, shard->snapshot.len, NULL);
	buf_reset(&shard->snapshot);
	return FOLD_APPLIED;
}

/* Applies an outcome of an old epoch. It is valid although its writer no longer
 * owns the shard, because only the VM that sent the call knows its outcome. */
static enum fold_verdict
apply_late_outcome(
    struct shard *shard, uint64_t offset, const struct record *record)
{
	enum fold_verdict verdict;

	shard->late_outcome_end = offset + 1;
	if (!shard->state_known)
		return FOLD_OLD_EPOCH;
	verdict = program_apply(shard, offset, record);
	return verdict == FOLD_REJECTED ? FOLD_OLD_EPOCH : verdict;
}

/* Returns whether the epoch is known, so that records can be checked. A reader
 * that starts in the middle of a lane cannot tell valid records from invalid
 * ones before the snapshot that the index lane names. The writer of the index
 * entry has read that snapshot back as valid, so its epoch and sequence number
 * are valid too. */
static bool
shard_sync_epoch(struct shard *shard, const struct record *record)
{
	if (shard->state_known || shard->epoch_known)
		return true;
	if (record->epoch > shard->max_epoch)
		shard->max_epoch = record->epoch;
	if (record->type != RECORD_SNAPSHOT || record->snapshot.part != 0 ||
	    record->id != shard->valid_snapshot_id)
		return false;
	shard->epoch_known = true;
	shard->epoch = record->epoch;
	shard->seq = record->seq - 1;
	return true;
}

enum fold_verdict
shard_apply(struct shard *shard, uint64_t offset, const struct record *record)
{
	if (!shard_sync_epoch(shard, record))
		return FOLD_SKIPPED;
	if (record->type == RECORD_CLAIM)
		return apply_claim(shard, record);
	if (record->epoch != shard->epoch && !mutation_on(MUTATION_NO_EPOCH)) {
		if (record->type == RECORD_OUTCOME &&
		    record->epoch < shard->epoch)
			return apply_late_outcome(shard, offset, record);
		return FOLD_OLD_EPOCH;
	}
	if (mutation_on(MUTATION_NO_EPOCH) && record->epoch < shard->epoch)
		return program_apply(shard, offset, record);
	if (record->seq <= shard->seq)
		return FOLD_DUPLICATE;
	if (shard->released)
		return FOLD_OLD_EPOCH;
	if (record->seq != shard->seq + 1)
		return FOLD_GAP;
	shard->seq = record->seq;
	if (record->type == RECORD_SNAPSHOT)
		return apply_snapshot(shard, record);
	if (record->type == RECORD_RELEASE) {
		apply_release(shard, record);
		return FOLD_APPLIED;
	}
	if (!shard->state_known)
		return FOLD_SKIPPED;
	return program_apply(shard, offset, record);
}
