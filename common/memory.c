#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"

enum {
	/* Free memory that is kept; giving back less is not worth the page
	 * faults of using it again. */
	KEPT_FREE_BYTES = 512 << 10,
};

void
memory_exhausted(void)
{
	fputs("{\"level\":\"err\",\"message\":\"out of memory\"}\n", stderr);
	abort();
}

void *
xcalloc(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (memory == NULL && count != 0 && size != 0)
		memory_exhausted();
	return memory;
}

void *
xrealloc(void *old, size_t size)
{
	void *memory = realloc(old, size);

	if (memory == NULL && size != 0)
		memory_exhausted();
	return memory;
}

char *
xstrdup(const char *text)
{
	return xmemdup(text, strlen(text));
}

char *
xmemdup(const void *data, size_t size)
{
	char *copy = xcalloc(1, size + 1);

	if (size > 0)
		memcpy(copy, data, size);
	return copy;
}

void
memory_trim(void)
{
	if (mallinfo2().fordblks > KEPT_FREE_BYTES)
		malloc_trim(0);
}
