/** @file
 * Allocation that ends the process when memory is exhausted. A daemon whose
 * state is all in the platform's log loses nothing by that.
 */
#ifndef COMMON_MEMORY_H
#define COMMON_MEMORY_H

#include <stddef.h>

void *xcalloc(size_t count, size_t size);
void *xrealloc(void *old, size_t size);
char *xstrdup(const char *text);
/** Copies size bytes and appends a NUL. */
char *xmemdup(const void *data, size_t size);
/** Reports the failure on stderr and aborts. */
void memory_exhausted(void) __attribute__((noreturn));

#endif
