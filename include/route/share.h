/** @file
 * Fair shares of workspaces: start-time fair queueing. Among calls of equal
 * priority, the one with the lowest tag goes first.
 */
#ifndef ROUTE_SHARE_H
#define ROUTE_SHARE_H

#include <uthash.h>

#include "config/config.h"

/** What a workspace has had, as a virtual time. */
struct share {
	char workspace[NAME_BYTES];
	double weight;
	double finish_tag; /**< tag at which its last call would be done */
	UT_hash_handle hh;
};

struct shares {
	struct share *by_workspace; /**< uthash */
	double virtual_time;        /**< highest tag that was sent */
};

void shares_reset(struct shares *shares);
/** Takes the weights of a configuration; workspaces not in it weigh 1. */
void shares_configure(struct shares *shares, const struct config *config);
/** Returns the tag of a call and charges its tokens to the workspace. */
double shares_assign_tag(
    struct shares *shares, const char *workspace, uint64_t tokens);
/** A call with this tag is being sent. */
void shares_advance(struct shares *shares, double tag);

#endif
