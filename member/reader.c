#include "member/reader.h"

static bool
is_able(const struct reader_candidate *candidate)
{
	return candidate->live && candidate->reaches_store;
}

bool
reader_is_chosen(const struct reader_candidate *candidates, size_t count,
    size_t at, size_t readers)
{
	size_t ahead = 0;

	if (!is_able(&candidates[at]))
		return false;
	for (size_t i = 0; i < count; i++)
		ahead += is_able(&candidates[i]) &&
		    candidates[i].rank < candidates[at].rank;
	return ahead < readers;
}
