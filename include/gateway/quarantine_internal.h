/** @file
 * Declarations shared by quarantine.c, quarantine_probe.c, quarantine_runs.c
 * and quarantine_store.c; gateway/quarantine.h is the public interface.
 */
#ifndef GATEWAY_QUARANTINE_INTERNAL_H
#define GATEWAY_QUARANTINE_INTERNAL_H

#include "common/list.h"
#include "dispatch/run_watch.h"
#include "dispatch/suspects.h"
#include "dispatch/unfinished.h"
#include "gateway/quarantine.h"

struct quarantine_runs;
struct quarantine_store;
struct quarantine_watch;

struct quarantine {
	struct gateway *gateway;
	struct suspects suspects;
	struct unfinished unfinished;
	struct list probes; /**< of quarantine_probe.c */
	int64_t next_probes_us;
	/** Since when the list of servers has been known without a gap;
	 * INT64_MAX: it isn't. */
	int64_t listed_since_us;
	struct quarantine_store *store;
	struct quarantine_runs *runs;
	struct quarantine_watch *watch;
	bool loaded; /**< the store or another gateway told what it knows */
	bool asked;  /**< another gateway was asked since the start */
};

/* quarantine.c */
/** Joins what the store or another gateway knows of a request. source: of the
 * trace event. */
void quarantine_join(struct quarantine *quarantine,
    const struct suspect_crash *crash, const char *source);

/** Counts the end of a server against the requests that it had not finished.
 * server: its id or NULL. sign: for the log. */
void quarantine_note_crashes(struct quarantine *quarantine,
    const struct server_start *start, const char *server, const char *sign);
/** Returns whether this gateway tells of the end of a run's server, and removes
 * its record: of the gateways that know of a run, one or two do. */
bool quarantine_counts_here(
    const struct quarantine *quarantine, const struct unfinished_run *run);

/** Adds a run of which nothing shows that it came to its end, and tells other
 * gateways. */
void quarantine_add_open(
    struct quarantine *quarantine, const struct unfinished_run *run);

/* quarantine_watch.c */
/** Tells other gateways of the runs of this one before they can end, so that
 * they are known if this process ends first; holds what others tell. */
struct quarantine_watch *quarantine_watch_create(struct quarantine *quarantine);
void quarantine_watch_destroy(struct quarantine_watch *watch);
void quarantine_watch_tick(struct quarantine_watch *watch);
void quarantine_handle_runs(
    struct quarantine *quarantine, const struct message *message);
/** Tells the gateways that answer for an open run if this one is gone. */
void quarantine_tell_open(
    struct quarantine *quarantine, const struct unfinished_run *run);
/** Tells all gateways of the open runs of a request if they must know. */
void quarantine_spread(struct quarantine *quarantine, uint64_t fingerprint);
/** Tells a gateway of the open runs that all should know. */
void quarantine_send_spread(struct quarantine *quarantine, const char *vm);

/* quarantine_probe.c */
/** Finds out whether a server lives, by a connection, unless that is under way.
 */
void quarantine_probe(
    struct quarantine *quarantine, const struct server_start *start);
/** Probes the servers at which connections broke lately, if it is time to. */
void quarantine_probe_all(struct quarantine *quarantine);
void quarantine_probe_cancel_all(struct quarantine *quarantine);

/* quarantine_runs.c */
/** Keeps unfinished runs in the store while it is not known whether their
 * servers have ended, so that they outlive this gateway, and adopts those of
 * gateways that are gone. */
struct quarantine_runs *quarantine_runs_create(struct quarantine *quarantine);
void quarantine_runs_destroy(struct quarantine_runs *runs);
void quarantine_runs_tick(struct quarantine_runs *runs);
/** Removes the record of a run. */
void quarantine_runs_remove(
    struct quarantine_runs *runs, const struct unfinished_run *run);

/* quarantine_store.c */
struct quarantine_store *quarantine_store_create(struct quarantine *quarantine);
void quarantine_store_destroy(struct quarantine_store *store);
/** Writes a crash, or the start of an epoch without any, to the store, as soon
 * as it is there. */
void quarantine_store_add(
    struct quarantine_store *store, const struct suspect_crash *crash);
/** Removes a crash from the store. */
void quarantine_store_remove(
    struct quarantine_store *store, const struct suspect_crash *crash);

#endif
