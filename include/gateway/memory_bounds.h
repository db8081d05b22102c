/** @file
 * Bounds on what this gateway holds of responses for callers that read slowly,
 * see dispatch/backlog.h.
 */
#ifndef GATEWAY_MEMORY_BOUNDS_H
#define GATEWAY_MEMORY_BOUNDS_H

struct gateway;
struct memory_bounds;
struct request;

struct memory_bounds *memory_bounds_create(struct gateway *gateway);
void memory_bounds_destroy(struct memory_bounds *bounds);
/** Stops reading the response of a request whose caller has read too little of
 * it, and disconnects the slowest callers if the bound is exceeded. To be
 * called after each piece that was sent to the caller. May free the request. */
void memory_bounds_handle_sent(struct request *request);
/** Counts what is held, and disconnects the slowest callers if the bound is
 * exceeded. To be called every 100 ms. May free requests. */
void memory_bounds_tick(struct memory_bounds *bounds);

#endif
