/** @file
 * Growing byte buffer with an upper bound.
 */
#ifndef COMMON_BUF_H
#define COMMON_BUF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A growing byte buffer; all zeros is an empty one without bound. */
struct buf {
	uint8_t *data;
	size_t len; /**< bytes in use */
	size_t cap; /**< bytes allocated */
	size_t max; /**< bound on len; 0: none */
};

/** Appends bytes. Returns false, with nothing changed, if that exceeds max. */
bool buf_append(struct buf *buf, const void *data, size_t len);
/** Appends text without its NUL, like buf_append(). */
bool buf_append_text(struct buf *buf, const char *text);
/** Appends formatted text, like buf_append(). */
bool buf_printf(struct buf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** Removes the first len bytes, or all if there are fewer. */
void buf_consume(struct buf *buf, size_t len);
/** Returns the content with a NUL after it, valid until the next change. */
const char *buf_text(struct buf *buf);
/** Frees the memory and leaves an empty buffer with the same bound. */
void buf_reset(struct buf *buf);

#endif
