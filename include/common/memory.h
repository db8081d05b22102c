/** @file
 * Allocation functions that abort the process when memory is exhausted. A
 * daemon loses nothing by that, as all its state is in the platform's log.
 */
#ifndef COMMON_MEMORY_H
#define COMMON_MEMORY_H

#include <stddef.h>

/** Allocates zeroed memory. */
void *xcalloc(size_t count, size_t size);
/** Resizes an allocation; old may be NULL. */
void *xrealloc(void *old, size_t size);
char *xstrdup(const char *text);
/** Returns a copy of size bytes with a NUL after it. */
char *xmemdup(const void *data, size_t size);
/** Gives freed memory back to the system, if there is more than a little of it.
 * The C library keeps it otherwise, also far more than will be needed again,
 * for example after a large configuration was decoded. */
void memory_trim(void);
/** Reports the failure on stderr and aborts. */
void memory_exhausted(void) __attribute__((noreturn));

#endif
