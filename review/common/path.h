/** @file
 * A path between two processes: a proxy on loopback that can be partitioned.
 * While it is, bytes of both directions wait, also those of new connections,
 * and nothing is answered; when the partition ends they go on.
 */
#ifndef REVIEW_COMMON_PATH_H
#define REVIEW_COMMON_PATH_H

#include <stdbool.h>

/** Starts a path to a port on loopback, served by threads of this process.
 * Returns its port, or 0 on failure. */
int path_start(int target_port, volatile bool *partitioned);

#endif
