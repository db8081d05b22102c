/** @file
 * Fair shares of workspaces by start-time fair queueing. Among calls of equal
 * priority, the one with the lowest start tag runs first.
 */
#ifndef ROUTE_SHARE_H
#define ROUTE_SHARE_H

#include <uthash.h>

#include "config/config.h"

/** Weight and finish tag of a workspace. */
struct share {
	char workspace[NAME_BYTES];
	double weight;     /**< share relative to other workspaces */
	double finish_tag; /**< virtual time at which its last call ends */
	UT_hash_handle hh;
};

/** Fair shares of all workspaces. */
struct shares {
	struct share *by_workspace; /**< uthash by workspace name */
	double virtual_time;        /**< highest start tag dispatched so far */
};

/** Frees all shares. */
void shares_reset(struct shares *shares);
/** Sets the weights from a configuration. Workspaces without a weight in it
 * have weight 1. */
void shares_configure(struct shares *shares, const struct config *config);
/** Returns the start tag of a new call and charges its tokens to the
 * workspace. */
double shares_assign_tag(
    struct shares *shares, const char *workspace, uint64_t tokens);
/** Advances virtual time to the start tag of a call being dispatched. */
void shares_advance(struct shares *shares, double tag);

#endif
