#include "dispatch/run_end.h"

enum run_end
run_end_of(const struct run_outcome *outcome)
{
	if (!outcome->whole)
		return RUN_END_UNFINISHED;
	if (outcome->not_executed)
		return RUN_END_NOT_RUN;
	if (!outcome->from_server || !outcome->delimited)
		return RUN_END_UNFINISHED;
	switch (outcome->status / 100) {
	case 2:
		return RUN_END_COMPLETED;
	case 5:
		/* A server that fails may respond and end right after. */
		return RUN_END_UNFINISHED;
	default:
		return RUN_END_REJECTED;
	}
}
