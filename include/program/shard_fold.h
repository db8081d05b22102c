/** @file
 * Pure fold of a shard's records: each reader that applies the same records
 * in the same order has the same state. Members under "local" belong to the
 * owner alone and are no part of the folded state.
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
	PROGRAM_SERVERS = 16,  /**< servers remembered by name */
	SHARD_ENDED_KEPT = 64, /**< ended programs kept for replays */
	SNAPSHOT_PART_BYTES = 512 << 10,
};

/** Stands for every server: some attempt may have left KV cache anywhere. */
#define PROGRAM_ANY_SERVER "*"

enum fold_verdict {
	FOLD_APPLIED,
	FOLD_DUPLICATE, /**< was applied before */
	FOLD_GAP,       /**< an earlier record of the epoch is missing */
	FOLD_OLD_EPOCH, /**< its writer no longer owns the shard */
	FOLD_REJECTED,  /**< counted in the sequence, without effect */
	FOLD_SKIPPED,   /**< of a type without meaning here, or not yet based */
};

/** One turn: where its content is. Once-calls have no content. */
struct turn {
	uint64_t offset; /**< of its record in the lane */
	uint64_t key_hash;
	uint64_t arguments_hash;
	uint8_t *content; /**< local: cached copy, or NULL */
	uint32_t len;     /**< bytes of the content */
	bool in_history;
	bool reappending; /**< local: being appended again */
};

/** A non-idempotent call. */
struct once_call {
	struct list link; /**< of program.onces */
	char key[NAME_BYTES];
	char tool[NAME_BYTES];
	char settled_by[NAME_BYTES];
	uint64_t turn;
	uint64_t intent_id; /**< id of the intent's record */
	struct digest arguments;
	enum outcome outcome;
	uint32_t status;
	struct buf answer;
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
	uint64_t end_order; /**< counts ends within the shard */
	int64_t begun_wall_us;
	uint64_t budget;
	uint64_t reserved;  /**< may be spent by its owner */
	uint64_t spent;     /**< reported, or stranded by a takeover */
	uint64_t delegated; /**< held by sub-agents, or spent by them */
	uint64_t stranded;  /**< share of spent that nobody reported */
	uint64_t prompt_tokens;
	struct digest digest;
	struct turn *turns;
	size_t turn_count; /**< durable ones, then local ones */
	size_t turn_cap;
	size_t durable_turns;
	struct list once_calls;
	char servers[PROGRAM_SERVERS][NAME_BYTES]; /**< hold KV cache */
	size_t server_count;

	/* local */
	struct digest tip_digest; /**< after the last local turn */
	uint64_t tip_prompt_tokens;
	uint64_t local_spent;    /**< not yet folded */
	uint64_t local_reserve;  /**< asked for, not yet folded */
	uint64_t local_delegate; /**< children begun, not yet folded */
	bool ending;
	uint64_t call; /**< call under way; 0: none */
	int64_t first_seen_us;
	int64_t kv_release_due_us;
	uint64_t fetch_call;
	struct list cache_link; /**< by last use of its history */
};

struct shard {
	uint32_t number;
	uint64_t epoch;
	uint64_t seq; /**< last applied in the epoch */
	uint64_t claim_id;
	char vm[NAME_BYTES];
	char address[NAME_BYTES];
	char next_vm[NAME_BYTES];
	bool released;
	bool state_known; /**< whether the state is known from its start */
	uint64_t ends;
	uint64_t stranded; /**< tokens, over all takeovers */
	struct program *programs;
	size_t
	    dropped_bytes; /**< local: cached content of forgotten programs */
	uint64_t snapshot_offset;   /**< where to start for the newest complete
				     * one; UINT64_MAX: none */
	uint64_t valid_snapshot_id; /**< not based: first part of the snapshot
				     * that is known to be valid; 0: none */
	uint64_t max_epoch; /**< not based: greatest seen, void or not */
	bool epoch_known;   /**< not based: epoch and seq are known */
	uint64_t
	    late_outcome_end; /**< behind the last outcome out of sequence */
	struct buf snapshot;  /**< parts collected so far */
	uint64_t snapshot_parts;
	uint64_t snapshot_end_offset;
	uint64_t snapshot_id; /**< of the first part */
};

void shard_init(struct shard *shard, uint32_t number);
void shard_reset(struct shard *shard);
/** Forgets the state: it will come from a snapshot (0: from none). */
void shard_discard_state(struct shard *shard, uint64_t anchor_id);
/** Takes the state for known: the lane was read to its end. */
void shard_set_state_known(struct shard *shard);
/** Applies one record of the shard's lane. */
enum fold_verdict
shard_apply(struct shard *shard, uint64_t offset, const struct record *record);
struct program *shard_find(const struct shard *shard, const char *program);
/** Writes the folded state of a shard. */
void shard_encode(const struct shard *shard, struct buf *out);
/** Replaces the programs by an encoded state. Errors: ERROR_INVALID. */
bool shard_decode(
    struct shard *shard, const void *data, size_t len, struct error *err);
const char *fold_verdict_name(enum fold_verdict verdict);

/* ---- a program's part of the fold; see program_state.c ---- */

struct program *
program_create(struct shard *shard, const struct record_program_begin *begin);
void program_destroy(struct shard *shard, struct program *program);
/** Returns FOLD_APPLIED or FOLD_REJECTED. */
enum fold_verdict program_apply(
    struct shard *shard, uint64_t offset, const struct record *record);
struct once_call *
program_find_once(const struct program *program, const char *key);
/** Adds a turn behind the last. */
struct turn *program_add_turn(struct program *program);
/** Drops local turns and amounts: only what was folded remains. */
void program_reset_local(struct program *program);
/** Counts what was reserved and not reported as spent. */
uint64_t program_charge_unreported(struct program *program);
void program_add_server(struct program *program, const char *server);
uint64_t program_key_hash(const char *key);
uint64_t program_digest_hash(const struct digest *digest);
struct once_call *once_create(struct program *program);
/** What is neither reserved nor delegated, after local records. */
uint64_t program_free_budget(const struct program *program);

#endif
