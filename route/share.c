#include "route/share.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/memory.h"

enum {
	SHARES_MAX = 4096, /**< workspaces in the table */
};

void
shares_reset(struct shares *shares)
{
	struct share *next, *share = shares->by_workspace;

	HASH_CLEAR(hh, shares->by_workspace);
	for (; share != NULL; share = next) {
		next = share->hh.next;
		free(share);
	}
}

/* Returns the share of a workspace, added with weight 1 if missing; NULL when
 * the table is full. */
static struct share *
share_find_or_add(struct shares *shares, const char *workspace)
{
	struct share *share;

	HASH_FIND_STR(shares->by_workspace, workspace, share);
	if (share != NULL || HASH_COUNT(shares->by_workspace) >= SHARES_MAX)
		return share;
	share = xcalloc(1, sizeof(*share));
	snprintf(share->workspace, sizeof(share->workspace), "%s", workspace);
	share->weight = 1;
	HASH_ADD_STR(shares->by_workspace, workspace, share);
	return share;
}

void
shares_configure(struct shares *shares, const struct config *config)
{
	struct share *share, *tmp;

	HASH_ITER (hh, shares->by_workspace, share, tmp)
		share->weight = 1;
	for (size_t i = 0; i < config->workspace_count; i++) {
		share = share_find_or_add(shares, config->workspaces[i].name);
		if (share != NULL && config->workspaces[i].share > 0)
			share->weight = config->workspaces[i].share;
	}
}

double
shares_assign_tag(struct shares *shares, const char *workspace, uint64_t tokens)
{
	struct share *share = share_find_or_add(shares, workspace);
	double start = shares->virtual_time;

	if (share == NULL)
		return start;
	if (share->finish_tag > start)
		start = share->finish_tag;
	share->finish_tag = start + (double)tokens / share->weight;
	return start;
}

void
shares_advance(struct shares *shares, double tag)
{
	if (tag > shares->virtual_time)
		shares->virtual_time = tag;
}
