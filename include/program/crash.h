/** @file
 * Finds requests that crash the backend servers that run them.
 *
 * An incident is one crash of one server. Its suspects are the requests that
 * were in flight on the server. An incident is attributed to the suspect with
 * the most incidents; suspects with equally many share it. A request is
 * quarantined once `max_crashes` incidents are attributed to it, or once it is
 * a suspect of twice as many.
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
	CRASH_INCIDENTS_MAX = 512, /**< the oldest are dropped */
	CRASH_SUSPECTS_MAX = 1024, /**< suspects of one incident */
	/** A request is quarantined at this many times `max_crashes` incidents,
	 * whatever is attributed to it. */
	CRASH_HARD_LIMIT_FACTOR = 2,
};

/** One crash of one server and the requests that may have caused it. */
struct crash_incident {
	uint64_t id;
	char server[NAME_BYTES];
	uint32_t running; /**< greatest number of requests reported in flight */
	uint64_t *suspects; /**< fingerprints of the requests in flight */
	size_t suspect_count;
};

/** A request fingerprint and the number of incidents it is a suspect of. */
struct crash_suspect {
	UT_hash_handle hh;
	uint64_t fingerprint;
	uint32_t incidents;
	char workspace[NAME_BYTES];
};

/** All known incidents and their suspects. */
struct crash_evidence {
	struct crash_incident *incidents; /**< oldest first */
	size_t count;
	struct crash_suspect *suspects;
};

void crash_reset(struct crash_evidence *evidence);
/** Adds one report. A report that was added before changes nothing. */
void
crash_add(struct crash_evidence *evidence, const struct record_crash *report);
/** Removes a fingerprint from the suspects of all incidents. */
void crash_lift(struct crash_evidence *evidence, uint64_t fingerprint);
/** Returns whether a request must not be sent to servers any more. */
bool crash_quarantined(const struct crash_evidence *evidence,
    uint64_t fingerprint, uint32_t max_crashes);
/** Appends a JSON array of the suspects with two or more incidents. */
void crash_describe(const struct crash_evidence *evidence, uint32_t max_crashes,
    struct buf *out);

#endif
