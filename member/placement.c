#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/memory.h"
#include "member/member.h"

/** A live member and the keys that it is sorted by. */
struct candidate {
	const struct member *member;
	uint64_t score;    /**< hash of its name and the seed */
	bool other_region; /**< in another region than the caller */
	size_t rank;       /**< position among those of its failure domain */
};

static int
compare_score(const struct candidate *a, const struct candidate *b)
{
	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return strcmp(a->member->vm, b->member->vm);
}

/* Returns whether a comes before b: by higher score, then by name. */
static bool
is_before(uint64_t score_a, const struct member *a, uint64_t score_b,
    const struct member *b)
{
	return score_a != score_b ? score_a > score_b
				  : strcmp(a->vm, b->vm) < 0;
}

/* Returns the first live member after `last` (NULL: of all) in the shard's
 * order of preference, or NULL. */
static const struct member *
next_choice(const struct members *members, uint32_t shard,
    const struct member *last, int64_t now_us)
{
	const struct member *best = NULL;
	uint64_t best_score = 0;
	uint64_t last_score = last != NULL ? hash_text(last->vm, shard) : 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];
		uint64_t score = hash_text(member->vm, shard);

		if (last != NULL && !is_before(last_score, last, score, member))
			continue;
		if (best != NULL && !is_before(score, member, best_score, best))
			continue;
		if (member_state(member, now_us) != MEMBER_LIVE)
			continue;
		best = member;
		best_score = score;
	}
	return best;
}

const struct member *
members_shard_choice(const struct members *members, uint32_t shard,
    size_t choice, int64_t now_us)
{
	const struct member *member = next_choice(members, shard, NULL, now_us);

	while (choice-- > 0 && member != NULL)
		member = next_choice(members, shard, member, now_us);
	return member;
}

const struct member *
members_shard_owner(
    const struct members *members, uint32_t shard, int64_t now_us)
{
	return members_shard_choice(members, shard, 0, now_us);
}

uint32_t
members_rank(const struct members *members, const char *vm, int64_t now_us)
{
	uint32_t rank = 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (member_state(member, now_us) == MEMBER_LIVE &&
		    strcmp(member->vm, vm) < 0)
			rank++;
	}
	return rank;
}

static int
compare_candidates(const void *left, const void *right)
{
	const struct candidate *a = left;
	const struct candidate *b = right;

	if (a->other_region != b->other_region)
		return a->other_region ? 1 : -1;
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return compare_score(a, b);
}

/* Sets the candidates' ranks within their failure domains. */
static void
rank_candidates(struct candidate *candidates, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		for (size_t j = 0; j < count; j++) {
			if (strcmp(candidates[i].member->failure_domain,
				candidates[j].member->failure_domain) == 0 &&
			    compare_score(&candidates[j], &candidates[i]) < 0)
				candidates[i].rank++;
		}
	}
}

static size_t
collect_live(const struct members *members, const char *region, uint64_t seed,
    int64_t now_us, struct candidate *candidates)
{
	size_t count = 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (member_state(member, now_us) != MEMBER_LIVE)
			continue;
		candidates[count++] = (struct candidate){
		    .member = member,
		    .score = hash_text(member->vm, seed),
		    .other_region = strcmp(member->region, region) != 0,
		};
	}
	return count;
}

size_t
members_order(const struct members *members, const char *region, uint64_t seed,
    int64_t now_us, const struct member **order, size_t max)
{
	struct candidate *candidates =
	    xcalloc(members->count + 1, sizeof(*candidates));
	size_t count = collect_live(members, region, seed, now_us, candidates);

	rank_candidates(candidates, count);
	qsort(candidates, count, sizeof(*candidates), compare_candidates);
	if (count > max)
		count = max;
	for (size_t i = 0; i < count; i++)
		order[i] = candidates[i].member;
	free(candidates);
	return count;
}
