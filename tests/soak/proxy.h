/** @file
 * TCP proxy on loopback between a gateway and the store, with injected network
 * faults.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <uv.h>

struct proxy;

enum proxy_mode {
	PROXY_PASS,          /**< no fault */
	PROXY_DELAY,         /**< bytes are delayed in both directions */
	PROXY_RESET,         /**< connections are reset, open and new ones */
	PROXY_BLACKHOLE,     /**< both directions are dropped, none is closed */
	PROXY_DROP_REQUESTS, /**< bytes to the store are dropped */
	PROXY_DROP_REPLIES,  /**< bytes from the store are dropped */
	PROXY_MODE_COUNT,
};

/** Creates a proxy on a free port to a local port. Returns NULL on failure. */
struct proxy *proxy_create(uv_loop_t *loop, int target_port);
/** Closes the listener and all connections. The loop must run until their
 * handles are closed, which frees the proxy. */
void proxy_destroy(struct proxy *proxy);
/** Returns the port that the proxy listens on. */
int proxy_port(const struct proxy *proxy);
/** Sets the mode for all bytes from now on. Open connections are reset if the
 * new mode is PROXY_RESET, or if the old one dropped bytes. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
/** Returns the mode's name for log lines. */
const char *proxy_mode_name(enum proxy_mode mode);

#endif
