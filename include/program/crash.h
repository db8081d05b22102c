/** @file
 * Evidence on requests that crash the servers that run them.
 *
 * An incident is one crash of one server. Its suspects are the requests that
 * were in flight there. Each incident is attributed to the suspect that has
 * the most incidents; suspects that tie share it. A request is condemned at
 * `max_crashes` attributed incidents, or at twice as many in all.
 */
#ifndef PROGRAM_CRASH_H
#define PROGRAM_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "common/buf.h"
#include "record/record.h"

enum {
	CRASH_INCIDENTS_MAX = 512, /**< kept, newest */
	CRASH_SUSPECTS_MAX = 1024, /**< of one incident */
	CRASH_HARD_LIMIT_FACTOR = 2,
};

struct crash_incident {
	uint64_t id;
	char server[NAME_BYTES];
	uint32_t running;   /**< greatest number reported */
	uint64_t *suspects; /**< fingerprints */
	size_t suspect_count;
};

/** Incidents of one fingerprint. */
struct crash_suspect {
	UT_hash_handle hh;
	uint64_t fingerprint;
	uint32_t incidents;
	char workspace[NAME_BYTES];
};

struct crash_evidence {
	struct crash_incident *incidents; /**< oldest first */
	size_t count;
	struct crash_suspect *suspects;
};

void crash_reset(struct crash_evidence *evidence);
/** Adds one report; the same one again changes nothing. */
void
crash_add(struct crash_evidence *evidence, const struct record_crash *report);
/** Takes a fingerprint off all incidents. */
void crash_lift(struct crash_evidence *evidence, uint64_t fingerprint);
bool crash_quarantined(const struct crash_evidence *evidence,
    uint64_t fingerprint, uint32_t max_crashes);
/** Appends a JSON array of all suspects with two or more incidents. */
void crash_describe(const struct crash_evidence *evidence, uint32_t max_crashes,
    struct buf *out);

#endif
