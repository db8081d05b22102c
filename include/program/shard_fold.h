/** @file
 * State of a shard, computed from its records alone: readers that apply the
 * same records in the same order get the same state. Members marked "local"
 * are kept by the owner and are not part of this state.
 */
#ifndef PROGRAM_SHARD_FOLD_H
#define PROGRAM_SHARD_FOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "common/list.h"
#include "record/record.h"

enum {
	PROGRAM_SERVERS = 16,  /**< servers recorded by name for a program */
	SHARD_ENDED_KEPT = 64, /**< ended programs kept for replays */
	SNAPSHOT_PART_BYTES = 512 << 10,
};

/** Stands for every server: it is not known which ones hold KV cache of the
 * program. */
#define PROGRAM_ANY_SERVER "*"

/** Result of applying a record. */
enum fold_verdict {
	FOLD_APPLIED,
	FOLD_DUPLICATE, /**< was applied before */
	FOLD_GAP,       /**< an earlier record of the epoch is missing */
	FOLD_OLD_EPOCH, /**< its writer no longer owned the shard */
	FOLD_REJECTED,  /**< valid in the sequence, but had no effect */
	FOLD_SKIPPED,   /**< of a type without effect on a shard, or the
			 * shard's state is not known yet */
};

/** One turn and the place of its content in the log. Non-idempotent calls have
 * no content here; see struct once_call. */
struct turn {
	uint64_t offset; /**< of its record in the lane */
	uint64_t key_hash;
	uint64_t arguments_hash;
	uint8_t *content; /**< local: cached copy, or NULL */
	uint32_t len;     /**< bytes of the content */
	bool in_history;  /**< part of the prompt of later turns */
	bool reappending; /**< local: being appended again */
};

/** A non-idempotent call, which is sent at most once. */
struct once_call {
	struct list link; /**< of program.once_calls */
	char key[NAME_BYTES];
	char tool[NAME_BYTES];
	/** Operator who stated the outcome, or "". */
	char settled_by[NAME_BYTES];
	uint64_t turn;
	uint64_t intent_id; /**< id of the intent's record */
	struct digest arguments;
	enum outcome outcome;
	uint32_t status;
	struct buf response;
};

struct program {
	UT_hash_handle hh;
	char id[PROGRAM_ID_BYTES];
	char workspace[NAME_BYTES];
	char parent[PROGRAM_ID_BYTES];
	char key[NAME_BYTES];
	char end_reason[NAME_BYTES];
	uint32_t shard;
	bool urgent;
	bool ended;
	uint64_t end_order; /**< position among the shard's ended programs,
			     * from 1 */
	int64_t begun_wall_us;
	/* tokens */
	uint64_t budget;
	uint64_t reserved;  /**< may be spent by its owner */
	uint64_t spent;     /**< reported, or stranded by a takeover */
	uint64_t delegated; /**< held or spent by sub-agents */
	uint64_t stranded;  /**< part of spent that was reserved by a lost owner
			     * and never reported */
	uint64_t prompt_tokens;
	struct digest digest;
	struct turn *turns;
	size_t turn_count; /**< durable turns, followed by local ones */
	size_t turn_cap;
	size_t durable_turns;
	struct list once_calls;
	char servers[PROGRAM_SERVERS][NAME_BYTES]; /**< may hold KV cache */
	size_t server_count;

	/* local */
	/** Of the history after the last local turn. */
	struct digest tip_digest;
	/** History length after the last local turn. */
	uint64_t tip_prompt_tokens;
	uint64_t local_spent;   /**< tokens spent in records still pending */
	uint64_t local_reserve; /**< tokens reserved in records still pending */
	uint64_t local_delegate; /**< budget of sub-agents whose BEGIN records
				  * are still pending */
	bool ending;             /**< the END record is pending */
	uint64_t call;           /**< call in progress; 0: none */
	int64_t first_seen_us;
	int64_t kv_release_due_us;
	uint64_t fetch_call;    /**< call that waits for the history; 0: none */
	struct list cache_link; /**< of owner.cache */
};

/** The state of a shard. */
struct shard {
	uint32_t number;
	uint64_t epoch;
	uint64_t seq; /**< of the last record applied in the epoch */
	uint64_t claim_id;
	char vm[NAME_BYTES];
	char address[NAME_BYTES];
	char next_vm[NAME_BYTES]; /**< should claim after the release, or "" */
	bool released;
	bool state_known; /**< false: reading started in the middle of the lane
			   * and has not met a valid snapshot yet */
	uint64_t end_count; /**< programs ended so far */
	uint64_t stranded;  /**< tokens, over all takeovers */
	struct program *programs;
	size_t dropped_bytes; /**< local: bytes of cached content freed with
			       * programs, not yet subtracted from the cache */
	/** Offset from which a reader finds the newest complete snapshot and
	 * all records that it does not cover; UINT64_MAX: none. */
	uint64_t snapshot_offset;
	/** While !state_known: id of the first part of the snapshot to start
	 * from; 0: none. */
	uint64_t valid_snapshot_id;
	uint64_t max_epoch; /**< while !state_known: greatest epoch seen, also
			     * in records that may be invalid */
	bool epoch_known;   /**< while !state_known: epoch and seq are known */
	uint64_t late_outcome_end;    /**< offset after the last outcome of an
				       * old epoch */
	struct buf snapshot;          /**< parts collected so far */
	uint64_t snapshot_parts;      /**< number of parts collected so far */
	uint64_t snapshot_end_offset; /**< first offset that the snapshot
				       * being collected does not cover */
	uint64_t snapshot_id; /**< record id of that snapshot's first part */
};

void shard_init(struct shard *shard, uint32_t number);
void shard_reset(struct shard *shard);
/** Discards the state, to be replaced by the snapshot with this id (0: there is
 * none). */
void shard_discard_state(struct shard *shard, uint64_t snapshot_id);
/** Marks the state as known, after the lane was read to its end: the log holds
 * nothing more about the shard. If its epoch is unknown, the greatest one seen
 * becomes its epoch. */
void shard_set_state_known(struct shard *shard);
/** Applies one record of the shard's lane. */
enum fold_verdict
shard_apply(struct shard *shard, uint64_t offset, const struct record *record);
struct program *shard_find(const struct shard *shard, const char *program);
/** Appends the encoded state of a shard, without local members. */
void shard_encode(const struct shard *shard, struct buf *out);
/** Sets the state of an empty shard from an encoded state.
 * Errors: ERROR_INVALID. */
bool shard_decode(
    struct shard *shard, const void *data, size_t len, struct error *err);
const char *fold_verdict_name(enum fold_verdict verdict);

/* program_state.c */
struct program *
program_create(struct shard *shard, const struct record_program_begin *begin);
void program_destroy(struct shard *shard, struct program *program);
/** Returns FOLD_APPLIED or FOLD_REJECTED. */
enum fold_verdict program_apply(
    struct shard *shard, uint64_t offset, const struct record *record);
struct once_call *
program_find_once(const struct program *program, const char *key);
/** Appends a zeroed turn. The pointer is valid until the next turn is added. */
struct turn *program_add_turn(struct program *program);
/** Resets the local members: only the state from records read back remains. */
void program_reset_local(struct program *program);
/** Charges the tokens that were reserved but not reported as spent. Returns
 * their number. */
uint64_t program_charge_unreported(struct program *program);
/** Notes that a server ("": none) may hold KV cache of the program. */
void program_add_server(struct program *program, const char *server);
/** Returns a hash that is not 0, or 0 for an empty key. */
uint64_t program_key_hash(const char *key);
uint64_t program_digest_hash(const struct digest *digest);
struct once_call *once_create(struct program *program);
/** Returns the tokens that are neither reserved nor delegated, nor will be by
 * pending records. */
uint64_t program_free_budget(const struct program *program);

#endif
