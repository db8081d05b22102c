/** @file
 * The object of a request, for the choice of a server that has handled it.
 */
#ifndef GATEWAY_OBJECT_AFFINITY_H
#define GATEWAY_OBJECT_AFFINITY_H

#include "dispatch/backends.h"

struct request;

/** Sets the object of a request and its homes, if its route uses affinity. */
void object_affinity_set(
    const struct request *request, struct backend_request *criteria);

#endif
