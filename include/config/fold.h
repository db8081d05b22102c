/** @file
 * Fold of the configuration stream: each node applies the same records in
 * the same order and so has the same versions.
 *
 * A patch is accepted if, and only if, it is a well-formed JSON object, its
 * base is the current version and its id is new. What the document means is
 * checked before publishing, not here, so that two program versions fold
 * alike.
 *
 * The log drops old records. A fold that missed some is incomplete: it keeps
 * its last state, judges nothing, and waits for a snapshot whose first
 * uncovered offset it can still read. config_fold_apply() then moves
 * next_offset back; a reader always goes on at next_offset.
 */
#ifndef CONFIG_FOLD_H
#define CONFIG_FOLD_H

#include <uthash.h>

#include "common/list.h"
#include "config/config.h"

#define CONFIG_STREAM "config"

enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_DUPLICATE, /**< the id was folded before */
	CONFIG_STALE_BASE,
	CONFIG_MALFORMED,
	CONFIG_IGNORED, /**< not a configuration record, or an old snapshot */
	CONFIG_ADOPTED, /**< a snapshot replaced the state */
};

/** One accepted version. */
struct config_version {
	struct list link;
	uint64_t number; /**< 1, 2, ... */
	uint64_t record_id;
	uint64_t offset;
	int64_t wall_us;
	char operator_name[NAME_BYTES];
	char comment[4 * NAME_BYTES];
	char *patch; /**< JSON text */
	UT_hash_handle hh;
};

struct config_fold {
	uint64_t version; /**< 0: nothing accepted yet */
	uint64_t next_offset;
	struct json_t *document;
	struct list versions; /**< of struct config_version, oldest first */
	struct config_version *by_id; /**< hash table of the same */
	bool complete; /**< false: records are missing, state may be old */
	uint64_t contiguous_since_offset; /**< first offset read since records
					     were missed */
	uint64_t snapshot_end_offset; /**< that the newest snapshot covers */
	int64_t snapshot_wall_us;     /**< when it was written; 0: none */
};

void config_fold_init(struct config_fold *fold);
/** Frees everything; config_fold_init() makes it usable again. */
void config_fold_reset(struct config_fold *fold);
enum config_verdict config_fold_apply(
    struct config_fold *fold, uint64_t offset, const struct record *record);
/** Decodes and applies a record as read; an undecodable one is malformed. */
enum config_verdict config_fold_apply_encoded(
    struct config_fold *fold, uint64_t offset, const void *data, size_t len);
/** Notes the oldest offset that the log keeps, as each read tells it. */
void config_fold_set_oldest_offset(struct config_fold *fold, uint64_t first);
/** Writes the whole state (document and numbered history) as JSON, for a
 * snapshot record or an export. */
void config_fold_encode(
    const struct config_fold *fold, int64_t wall_us, struct buf *out);
/** Digest of the document and the whole numbered history: equal on all nodes
 * that have the same version. */
struct digest config_fold_digest(const struct config_fold *fold);
/** Writes the wire form of a snapshot record, its state compressed. */
void config_snapshot_encode(const struct config_fold *fold, uint64_t id,
    int64_t wall_us, struct buf *out);
/** Replaces the state by an encoded one, compressed or not; with an error it
 * is empty.
 * Errors: ERROR_INVALID. */
bool config_fold_decode(
    struct config_fold *fold, const void *data, size_t len, struct error *err);
/** Returns the document of a version of the history, or NULL; to be freed with
 * json_decref(). */
struct json_t *
config_fold_document_at(const struct config_fold *fold, uint64_t version);
/** Appends a version to the history, which then owns it. */
void config_fold_add(struct config_fold *fold, struct config_version *version);
const struct config_version *
config_fold_find_record(const struct config_fold *fold, uint64_t record_id);
/** What became of a published patch, as far as a fold tells. */
enum config_patch_outcome {
	CONFIG_PATCH_PENDING, /**< may be appended, or appended again */
	CONFIG_PATCH_ACCEPTED,
	CONFIG_PATCH_REJECTED, /**< for good, even if a copy arrives late */
};

enum config_patch_outcome config_fold_patch_outcome(
    const struct config_fold *fold, uint64_t record_id, uint64_t base);
const char *config_verdict_name(enum config_verdict verdict);

/** When a snapshot has to be written. */
struct config_snapshot_policy {
	int64_t retention_us; /**< of the log; 0: not known */
	uint64_t max_records; /**< records that a new node reads at most */
};

/** Returns whether a snapshot is due: the newest one has lived half of the
 * log's retention, or too many records stand behind it, or only nodes that
 * are up still hold the history. rank is this node's place (0, 1, ...) among
 * those that may write it; each place waits a tenth of the period more. */
bool config_snapshot_due(const struct config_fold *fold,
    const struct config_snapshot_policy *policy, uint64_t first,
    int64_t wall_us, uint32_t rank);

#endif
