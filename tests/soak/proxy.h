/** @file
 * A TCP proxy on loopback between a gateway and the store, that harms what
 * passes through it.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <uv.h>

struct proxy;

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,         /**< all bytes come late */
	PROXY_RESET,         /**< connections are reset as they come */
	PROXY_BLACKHOLE,     /**< nothing passes, nothing is closed */
	PROXY_DROP_REQUESTS, /**< what is sent does not arrive, answers do */
	PROXY_DROP_REPLIES,  /**< requests arrive, answers do not */
	PROXY_MODE_COUNT,
};

/** Listens on a free port; returns NULL on failure. */
struct proxy *proxy_create(uv_loop_t *loop, int target_port);
/** Closes all; the loop has to run until handles are closed. */
void proxy_destroy(struct proxy *proxy);
int proxy_port(const struct proxy *proxy);
/** Holds for what passes from now on; PROXY_RESET also ends what is open. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
