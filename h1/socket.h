/** @file
 * Socket helpers that the HTTP server and client share.
 */
#ifndef H1_SOCKET_H
#define H1_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/** Sets no-delay, keep-alive probes, and a bound on how long sent bytes may
 * stay unacknowledged. */
void h1_socket_tune(uv_tcp_t *tcp, int64_t silence_us);
/** Writes, and queues a copy of what the kernel does not take at once. Returns
 * false when the connection is broken; its reader will see the end. */
bool h1_socket_write(uv_tcp_t *tcp, const void *data, size_t len);

/** Returns whether a connection that has ended was closed in order. The loop
 * reports a reset as an end when bytes came with it. */
bool h1_socket_closed_in_order(uv_tcp_t *tcp);

#endif
