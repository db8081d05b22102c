/** @file
 * Socket helpers that the HTTP server and client share.
 */
#ifndef H1_SOCKET_H
#define H1_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/** Sets TCP_NODELAY, keep-alive probes, and the longest time that sent bytes
 * may stay unacknowledged before the connection is closed. */
void h1_socket_tune(uv_tcp_t *tcp, int64_t ack_timeout_us);
/** Bounds what the kernel holds of sent data that the peer has no room for. */
void h1_socket_bound_unsent(uv_tcp_t *tcp, int bytes);
/** Writes data, and queues a copy of what the kernel does not accept at once.
 * Sets *failed, at once or later, when the connection is broken; its read
 * callback then reports the end, but may report it as an orderly one, as a
 * write takes the socket's error. *failed must live until the handle is closed.
 */
void h1_socket_write(uv_tcp_t *tcp, const void *data, size_t len, bool *failed);
/** The same. Returns false when the connection is already broken. Adds the
 * memory that the copy takes to *held_bytes for as long as it is queued;
 * *held_bytes must live until the handle is closed. */
bool h1_socket_write_counted(
    uv_tcp_t *tcp, const void *data, size_t len, size_t *held_bytes);
/** Returns whether the peer has not acknowledged all that was written. */
bool h1_socket_has_unacknowledged(const uv_tcp_t *tcp);

/** Parses "IP:port". */
bool h1_socket_parse_address(const char *text, struct sockaddr_in *address);
/** Returns whether the peer closed an ended connection in order rather than by
 * a reset, as far as no write has failed. The loop reports a reset as UV_EOF
 * too when data arrived with it. */
bool h1_socket_closed_in_order(uv_tcp_t *tcp);

#endif
