#include <stdio.h>
#include <string.h>

#include "common/hash.h"
#include "turn/ledger_internal.h"

void
ledger_set_session_server(struct ledger *ledger, const char *id,
    const char *session, const char *server)
{
	struct ledger_program *program = ledger_find_program(ledger, id);
	uint64_t hash = hash_text(session, 0);
	size_t at = 0;

	if (program == NULL || server[0] == '\0')
		return;
	while (at < program->session_count && program->sessions[at].id != hash)
		at++;
	if (at == program->session_count) {
		if (program->session_count < PROGRAM_SESSIONS_MAX)
			program->session_count++;
		at = program->session_count - 1;
	}
	memmove(&program->sessions[1], &program->sessions[0],
	    at * sizeof(program->sessions[0]));
	program->sessions[0].id = hash;
	snprintf(program->sessions[0].server, NAME_BYTES, "%s", server);
}

const char *
ledger_session_server(
    const struct ledger *ledger, const char *id, const char *session)
{
	const struct ledger_program *program = ledger_find_program(ledger, id);
	uint64_t hash = hash_text(session, 0);

	if (program == NULL || program->session_count == 0)
		return "";
	for (size_t i = 0; i < program->session_count; i++) {
		if (program->sessions[i].id == hash)
			return program->sessions[i].server;
	}
	return program->sessions[0].server;
}

bool
ledger_find_retained_turn(const struct ledger *ledger, const char *id,
    struct ledger_retained_turn *retained)
{
	const struct ledger_turn *turn = ledger_find_turn(ledger, id);

	if (turn == NULL || !turn->retained)
		return false;
	*retained = (struct ledger_retained_turn){
	    .ref =
		{
		    .partition = ledger->partition,
		    .offset = turn->offset,
		    .bytes = turn->bytes,
		},
	    .previous = turn->previous,
	    .vm = turn->vm,
	    .server = turn->server,
	};
	memcpy(retained->ref.turn, turn->id, sizeof(retained->ref.turn));
	return true;
}

size_t
ledger_chain(const struct ledger *ledger, const char *id, struct turn_ref *refs,
    size_t max)
{
	const struct ledger_turn *turn = ledger_find_turn(ledger, id);
	size_t at = max; /* refs is filled from its end */
	size_t count;

	while (turn != NULL && turn->retained && at > 0) {
		struct turn_ref *ref = &refs[--at];

		*ref = (struct turn_ref){
		    .partition = ledger->partition,
		    .offset = turn->offset,
		    .bytes = turn->bytes,
		};
		memcpy(ref->turn, turn->id, sizeof(ref->turn));
		if (turn->ancestor_count > at)
			return 0;
		if (turn->ancestor_count > 0) {
			at -= turn->ancestor_count;
			memcpy(&refs[at], turn->ancestors,
			    turn->ancestor_count * sizeof(*refs));
			break;
		}
		if (turn->previous[0] == '\0')
			break;
		turn = ledger_find_turn(ledger, turn->previous);
		if (turn == NULL || !turn->retained || at == 0)
			return 0;
	}
	count = max - at;
	memmove(refs, &refs[at], count * sizeof(*refs));
	return count;
}
