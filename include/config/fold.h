/** @file
 * Folds the records of the configuration stream into versions. Each node
 * applies the same records in the same order and so has the same versions.
 *
 * A patch is accepted if, and only if, it is a well-formed JSON object, its
 * base is the current version and its id is new. The meaning of the document
 * is checked before publishing, not here, so that nodes with different
 * releases of this program accept the same patches.
 *
 * The log drops old records. A fold that missed records is incomplete: it
 * keeps its last state, ignores patches, and waits for a snapshot that covers
 * all records before some offset from which the log can still be read.
 * config_fold_apply() then moves next_offset back to that offset, so a reader
 * must always continue at next_offset.
 */
#ifndef CONFIG_FOLD_H
#define CONFIG_FOLD_H

#include <uthash.h>

#include "common/list.h"
#include "config/config.h"

#define CONFIG_STREAM "config"

/** Result of applying one record. */
enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_DUPLICATE,  /**< a patch with this id was accepted before */
	CONFIG_STALE_BASE, /**< the base is not the current version */
	CONFIG_MALFORMED,
	CONFIG_IGNORED, /**< no effect: see config_fold_apply() */
	CONFIG_ADOPTED, /**< a snapshot replaced the fold's state */
};

/** One accepted version. */
struct config_version {
	struct list link;
	uint64_t number; /**< 1, 2, ... */
	uint64_t record_id;
	uint64_t offset; /**< log offset of its record */
	int64_t wall_us; /**< time of publication */
	char operator_name[NAME_BYTES];
	char comment[4 * NAME_BYTES];
	char *patch; /**< JSON text */
	UT_hash_handle hh;
};

/** State of the configuration at one offset of the stream. */
struct config_fold {
	uint64_t version;        /**< 0: nothing accepted yet */
	uint64_t next_offset;    /**< offset of the next record to apply */
	struct json_t *document; /**< document of the current version */
	struct list versions;    /**< struct config_version, oldest first */
	struct config_version *by_id; /**< the versions, hashed by record_id */
	bool complete; /**< false: records were missed, the state may be old */
	uint64_t contiguous_since_offset; /**< first offset read without gap */
	uint64_t snapshot_end_offset; /**< first offset after newest snapshot */
	int64_t snapshot_wall_us; /**< time of the newest snapshot; 0: none */
};

/** Makes an empty, complete fold at offset 0. */
void config_fold_init(struct config_fold *fold);
/** Frees the fold's content. config_fold_init() must follow before the fold is
 * used again. */
void config_fold_reset(struct config_fold *fold);
/** Applies the record at an offset. A record after next_offset makes the fold
 * incomplete. Ignored are records before next_offset, of other types, snapshots
 * that aren't needed, and patches while the fold is incomplete. */
enum config_verdict config_fold_apply(
    struct config_fold *fold, uint64_t offset, const struct record *record);
/** Decodes and applies a record. One that can't be decoded takes its offset and
 * is CONFIG_MALFORMED. */
enum config_verdict config_fold_apply_encoded(
    struct config_fold *fold, uint64_t offset, const void *data, size_t len);
/** Sets the oldest offset that the log keeps, which every read returns. The
 * fold becomes incomplete if that is greater than next_offset. */
void
config_fold_set_oldest_offset(struct config_fold *fold, uint64_t oldest_offset);
/** Appends the whole state (document and all versions) as JSON, for a snapshot
 * record or an export. */
void config_fold_encode(
    const struct config_fold *fold, int64_t wall_us, struct buf *out);
/** Returns a digest of the document and all versions. It is equal on all nodes
 * that have the same version. */
struct digest config_fold_digest(const struct config_fold *fold);
/** Appends an encoded snapshot record with compressed state. */
void config_snapshot_encode(const struct config_fold *fold, uint64_t id,
    int64_t wall_us, struct buf *out);
/** Replaces the fold's state by an encoded one, compressed or not. After an
 * error the fold is empty.
 * Errors: ERROR_INVALID. */
bool config_fold_decode(
    struct config_fold *fold, const void *data, size_t len, struct error *err);
/** Returns the document as of a version, or NULL if that version doesn't exist.
 * The caller frees it with json_decref(). */
struct json_t *
config_fold_document_at(const struct config_fold *fold, uint64_t version);
/** Appends a version to the fold, which takes ownership. */
void config_fold_add(struct config_fold *fold, struct config_version *version);
/** Returns the version that a record made, or NULL. */
const struct config_version *
config_fold_find_record(const struct config_fold *fold, uint64_t record_id);
/** State of a published patch. */
enum config_patch_outcome {
	CONFIG_PATCH_PENDING, /**< may be appended, or appended again */
	CONFIG_PATCH_ACCEPTED,
	CONFIG_PATCH_REJECTED, /**< permanently, also if a copy arrives late */
};

/** Returns the state of a patch in a fold that has read the whole stream. */
enum config_patch_outcome config_fold_patch_outcome(
    const struct config_fold *fold, uint64_t record_id, uint64_t base);
/** Returns the name in lower case, e.g. "stale_base". */
const char *config_verdict_name(enum config_verdict verdict);

/** When a snapshot has to be written. */
struct config_snapshot_policy {
	int64_t retention_us; /**< the log's retention; 0: unknown */
	uint64_t max_records; /**< most records after the newest snapshot */
};

/** Returns whether a snapshot is due: the newest one is older than half of the
 * log's retention, or more than max_records follow it, or the log has dropped
 * records that no snapshot covers, so that only running nodes know the
 * versions. oldest_offset is the oldest offset that the log keeps. rank is the
 * rank of this node (0, 1, ...) among those that may write snapshots: each rank
 * raises the limits of age and records by a tenth, so that nodes don't all
 * write one at the same time. */
bool config_snapshot_due(const struct config_fold *fold,
    const struct config_snapshot_policy *policy, uint64_t oldest_offset,
    int64_t wall_us, uint32_t rank);

#endif
