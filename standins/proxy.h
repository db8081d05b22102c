/** @file
 * TCP proxy on loopback between a gateway and the store or a backend server,
 * with injected network faults.
 */
#ifndef STANDINS_PROXY_H
#define STANDINS_PROXY_H

#include <stddef.h>

#include <uv.h>

struct proxy;

enum proxy_mode {
	PROXY_PASS,          /**< no fault */
	PROXY_DELAY,         /**< bytes are delayed in both directions */
	PROXY_RESET,         /**< connections are reset, open and new ones */
	PROXY_BLACKHOLE,     /**< both directions are dropped, none is closed */
	PROXY_DROP_REQUESTS, /**< bytes to the store are dropped */
	PROXY_DROP_REPLIES,  /**< bytes from the store are dropped */
	PROXY_REFUSE, /**< new connections are refused, open ones go on */
	PROXY_DARK,   /**< as PROXY_BLACKHOLE, and new connections hang */
	PROXY_MODE_COUNT,
};

struct proxy_options {
	const char *address; /**< IP address to listen on */
	int port;            /**< 0: any free port */
	int target_port;     /**< on 127.0.0.1 */
	/** May change bytes of a reply before they are passed on. May be NULL.
	 */
	void (*on_reply)(void *context, char *data, size_t len);
	void *context;
};

/** Returns NULL when the address can't be bound. */
struct proxy *
proxy_create(uv_loop_t *loop, const struct proxy_options *options);
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
