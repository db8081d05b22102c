/** @file
 * Programs that had a request lately. No I/O; callers pass the time.
 */
#ifndef DISPATCH_PROGRAM_SET_H
#define DISPATCH_PROGRAM_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct seen_program;

struct program_set {
	/** uthash, the longest without a request first. */
	struct seen_program *programs;
	size_t max;      /**< beyond it, the first is forgotten */
	int64_t kept_us; /**< time without a request */
};

void program_set_reset(struct program_set *set);
/** Adds a program, given by a hash, or notes a further request of it. */
void program_set_add(struct program_set *set, uint64_t program, int64_t now_us);
bool program_set_has(
    const struct program_set *set, uint64_t program, int64_t now_us);
void program_set_remove(struct program_set *set, uint64_t program);
/** Forgets the programs without a request for kept_us. */
void program_set_expire(struct program_set *set, int64_t now_us);

#endif
