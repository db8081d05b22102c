#include <string.h>

#include "program/internal.h"

uint64_t
budget_left(const struct program *program)
{
	uint64_t used =
	    program->spent + program->local_spent + program->delegated;

	return used < program->budget ? program->budget - used : 0;
}

static void
reserve_queue(struct owner *owner, struct program *program, uint64_t tokens,
    uint64_t spent, const char *server, call_id call, int64_t now_us)
{
	struct shard_slot *slot = owner_slot(owner, program->id);
	struct pending *pending;
	struct record record = {
	    .type = RECORD_RESERVE,
	    .reserve = {.tokens = tokens, .spent_tokens = spent},
	};

	memcpy(record.reserve.program, program->id, PROGRAM_ID_BYTES);
	strncpy(record.reserve.server, server, NAME_BYTES - 1);
	pending = pending_add(owner, slot, &record, now_us);
	memcpy(pending->program, program->id, PROGRAM_ID_BYTES);
	pending->call = call;
	memcpy(pending->server, record.reserve.server, NAME_BYTES);
	pending->spent = spent;
	pending->reserve = tokens;
	pending->urgent = tokens > 0;
	program->local_reserve += tokens;
	program->local_spent += spent;
}

void
budget_charge(struct owner *owner, struct program *program, const char *server,
    uint64_t spent, int64_t now_us)
{
	reserve_queue(owner, program, 0, spent, server, 0, now_us);
}

/* A call may spend only tokens whose reservation is durable, because a new
 * owner counts everything reserved as spent. Each reservation is for at least
 * limits.reserve_tokens if the budget allows it. */
enum owner_decision
budget_admit(struct owner *owner, struct program *program, struct call *call,
    int64_t now_us, struct owner_result *result)
{
	uint64_t need = program->spent + program->local_spent + call->cost;
	uint64_t missing;
	uint64_t reserve_tokens = owner->limits.reserve_tokens;

	if (need <= program->reserved || mutation_on(MUTATION_NO_RESERVE))
		return OWNER_OK;
	missing = need - program->reserved;
	if (program->local_reserve > 0 && missing <= program->local_reserve)
		return OWNER_WAIT;
	if (missing > program_free_budget(program) + program->local_reserve) {
		result->budget_left_tokens = budget_left(program);
		return owner_refuse(owner, result, REFUSAL_BUDGET_EXCEEDED);
	}
	missing -= program->local_reserve;
	if (reserve_tokens < missing)
		reserve_tokens = missing;
	if (reserve_tokens > program_free_budget(program))
		reserve_tokens = program_free_budget(program);
	reserve_queue(owner, program, reserve_tokens, 0, "", call->id, now_us);
	return OWNER_WAIT;
}
