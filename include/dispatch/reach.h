/** @file
 * Whether this VM has lost its paths to all backend servers, as opposed to
 * single servers that are dead or silent for a moment. No I/O; callers pass the
 * time.
 *
 * The evidence is new connections: they fail at three servers in a row, with
 * none opened in between. A dead server is one of them at most, because the
 * first failure makes the next requests open connections to other servers. So
 * does silence of all servers that have requests, which alone proves nothing.
 */
#ifndef DISPATCH_REACH_H
#define DISPATCH_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	REACH_EVIDENCE = 3, /**< servers whose connections failed */
};

/** Zero-initialized: nothing has failed. */
struct reach {
	/** Hashes of the ids of servers whose connections failed since one
	 * responded on a new connection. */
	uint64_t failed[REACH_EVIDENCE];
	size_t failed_count;
	int64_t last_failure_us;
	int64_t last_byte_us; /**< last byte of any server */
	bool silent;          /**< suspected because of silence */
	bool lost;            /**< paths to all servers are lost */
	int64_t next_probe_us;
};

/** Records that a new connection to a server failed, or that an open one was
 * lost. server_count: servers that are known. Returns whether this shows that
 * the paths to all servers are lost. */
bool reach_handle_failure(
    struct reach *reach, uint64_t server, size_t server_count, int64_t now_us);
/** Records a response on a new connection to a server. Returns whether this
 * ends the loss of all paths. */
bool reach_handle_reached(struct reach *reach, int64_t now_us);
/** Records that a server has sent something. */
void reach_handle_bytes(struct reach *reach, int64_t now_us);
/** Checks for silence. waiting_servers: servers that have had a request for
 * the time of reach_silence_start_us() or longer. */
void reach_check_silence(
    struct reach *reach, size_t waiting_servers, int64_t now_us);
/** Returns since when a request must wait to count for reach_check_silence().
 */
int64_t reach_silence_start_us(int64_t now_us);
/** Returns whether requests should open new connections, which shows whether
 * the paths are lost: nothing is sent on a connection that fails. */
bool reach_needs_new_connection(const struct reach *reach, int64_t now_us);
/** Returns whether to try a connection to a server, to notice the end of the
 * loss. */
bool reach_probe_is_due(struct reach *reach, int64_t now_us);

/** VMs at one distance from a caller or from this VM. */
struct reach_group {
	size_t live;
	size_t reaching; /**< those that reach servers */
};

/** Returns the nearest distance up to which at least a third of the VMs reach
 * servers, so that they can take the requests of the others; the farthest one
 * if it is less everywhere, or -1 if no VM reaches servers. */
int reach_choose_distance(const struct reach_group *groups, size_t count);

/** A VM that may take the request of another one. */
struct reach_candidate {
	size_t at;        /**< where the caller finds the VM */
	uint64_t running; /**< its requests, as far as known */
};

/** Returns the member at of the less loaded one of two candidates, which are
 * chosen at random so that not all VMs in need choose the same. count: 1 at
 * least. */
size_t reach_choose_candidate(
    const struct reach_candidate *candidates, size_t count, struct rng *rng);

#endif
