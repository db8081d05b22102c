#include <string.h>

#include "common/hash.h"
#include "member/coordinator.h"

/** The best choice so far. */
struct choice {
	const char *vm; /**< NULL: none yet */
	bool in_domain;
	uint64_t score;
};

static void
consider(struct choice *choice, const char *vm, bool in_domain, uint64_t matter)
{
	uint64_t score = hash_text(vm, matter);

	if (choice->vm != NULL &&
	    (choice->in_domain != in_domain ? choice->in_domain
					    : choice->score >= score))
		return;
	*choice =
	    (struct choice){.vm = vm, .in_domain = in_domain, .score = score};
}

const char *
coordinator_choose(const struct members *members,
    const struct coordinator_self *self, uint64_t matter,
    const char *failure_domain, int64_t now_us)
{
	struct choice choice = {0};

	if (!self->leaving)
		consider(&choice, self->vm,
		    strcmp(self->failure_domain, failure_domain) == 0, matter);
	for (size_t i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (member_may_coordinate(member, now_us))
			consider(&choice, member->vm,
			    strcmp(member->failure_domain, failure_domain) == 0,
			    matter);
	}
	return choice.vm != NULL ? choice.vm : self->vm;
}
