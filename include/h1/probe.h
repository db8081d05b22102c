/** @file
 * Checks whether a TCP connection to an address can be opened and stays open
 * for a moment, and closes it.
 */
#ifndef H1_PROBE_H
#define H1_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct h1_probe;

enum h1_probe_result {
	H1_PROBE_OPEN,
	H1_PROBE_REFUSED, /**< or closed at once */
	H1_PROBE_TIMED_OUT,
};

/** Starts a probe. on_done reports once, never within this call, unless the
 * probe is cancelled. Returns NULL if the address is malformed or no socket can
 * be had. */
struct h1_probe *
h1_probe_start(uv_loop_t *loop, const char *address, int64_t timeout_us,
    void (*on_done)(void *context, enum h1_probe_result result), void *context);
/** Cancels a probe that has not reported. */
void h1_probe_cancel(struct h1_probe *probe);

#endif
