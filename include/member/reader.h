/** @file
 * Which VMs of a failure domain read the platform's store for all of them. All
 * VMs decide alike from what they know of each other, without an agreement.
 * While they disagree, more or fewer VMs read; one that hears of no recent
 * reading reads itself. No I/O.
 */
#ifndef MEMBER_READER_H
#define MEMBER_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A VM of the failure domain. */
struct reader_candidate {
	uint64_t rank;      /**< hash of its name; distinct */
	bool live;          /**< not stopping, and heard lately */
	bool reaches_store; /**< as it reports itself */
};

/** Returns whether the VM at an index is one of the readers, of which there are
 * to be so many. Two are one more than needed, so that the end of one delays
 * nothing. */
bool reader_is_chosen(const struct reader_candidate *candidates, size_t count,
    size_t at, size_t readers);

#endif
