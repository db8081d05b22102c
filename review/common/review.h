/** @file
 * What the scripts of the review share: a record of what was sent, answered
 * and run, and callers that read a stream while it arrives.
 */
#ifndef REVIEW_COMMON_REVIEW_H
#define REVIEW_COMMON_REVIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "standins/cluster.h"

/** What the program exits with. */
enum verdict {
	VERDICT_HELD = 0,
	VERDICT_BROKEN = 1,
	VERDICT_NOT_RUN = 2,
};

/** Opens the record, in the folder that the environment names in CASE_DIR. */
void review_begin(void);
/** Adds a line to the record, with the time since review_begin(). */
void review_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Returns whether the disruption is to be made: TROUBLE=0 leaves it out. */
bool review_has_trouble(void);
/** Returns the seconds since review_begin(). */
double review_seconds(void);
void review_sleep_ms(int ms);
/** Stops the cluster and ends the process. */
void review_end(struct cluster *cluster, enum verdict verdict)
    __attribute__((noreturn));
/** Ends the process because the case can't be run. */
void review_give_up(struct cluster *cluster, const char *why)
    __attribute__((noreturn));

/** Adds to the record which requests the servers have run. */
void review_note_runs(const struct cluster *cluster);

/** Returns how many whole events of a stream a text has. */
int review_count_events(const char *text);

#endif
