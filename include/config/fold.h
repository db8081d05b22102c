/** @file
 * Fold of the configuration stream: each node applies the same records in
 * the same order and so has the same versions.
 *
 * A patch is accepted if, and only if, it is well-formed JSON, its base is
 * the current version and its id is new. What the document means is checked
 * before publishing, not here, so that two program versions fold alike.
 */
#ifndef CONFIG_FOLD_H
#define CONFIG_FOLD_H

#include "common/list.h"
#include "config/config.h"

enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_DUPLICATE, /**< the id was folded before */
	CONFIG_STALE_BASE,
	CONFIG_MALFORMED,
	CONFIG_IGNORED, /**< not a configuration record, or an old snapshot */
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
};

struct config_fold {
	uint64_t version; /**< 0: nothing accepted yet */
	uint64_t next_offset;
	struct json_t *document;
	struct list versions; /**< of struct config_version, oldest first */
};

void config_fold_init(struct config_fold *fold);
void config_fold_reset(struct config_fold *fold);
enum config_verdict config_fold_apply(
    struct config_fold *fold, uint64_t offset, const struct record *record);
/** Writes the whole state (document and numbered history) as JSON, for a
 * snapshot record or an export. */
void config_fold_encode(const struct config_fold *fold, struct buf *out);
/** Replaces the state by an encoded one.
 * Errors: ERROR_INVALID. */
bool config_fold_decode(
    struct config_fold *fold, const void *data, size_t len, struct error *err);
const char *config_verdict_name(enum config_verdict verdict);

#endif
