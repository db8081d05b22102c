#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/buf.h"
#include "common/memory.h"

enum {
	BUF_MIN_BYTES = 256,
};

/* Allocates room for len more bytes and a NUL. */
static void
buf_reserve(struct buf *buf, size_t len)
{
	size_t need = buf->len + len + 1;
	size_t cap = buf->cap > 0 ? buf->cap : BUF_MIN_BYTES;

	if (need <= buf->cap)
		return;
	while (cap < need)
		cap *= 2;
	buf->data = xrealloc(buf->data, cap);
	buf->cap = cap;
}

bool
buf_append(struct buf *buf, const void *data, size_t len)
{
	if (buf->max > 0 && len > buf->max - buf->len)
		return false;
	buf_reserve(buf, len);
	if (len > 0)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	return true;
}

bool
buf_append_text(struct buf *buf, const char *text)
{
	return buf_append(buf, text, strlen(text));
}

bool
buf_printf(struct buf *buf, const char *fmt, ...)
{
	char *text = NULL;
	va_list args;
	int len;
	bool ok;

	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	if (len < 0)
		memory_exhausted();
	ok = buf_append(buf, text, (size_t)len);
	free(text);
	return ok;
}

void
buf_consume(struct buf *buf, size_t len)
{
	if (len > buf->len)
		len = buf->len;
	if (len == 0)
		return;
	memmove(buf->data, buf->data + len, buf->len - len);
	buf->len -= len;
}

const char *
buf_text(struct buf *buf)
{
	buf_reserve(buf, 0);
	buf->data[buf->len] = '\0';
	return (const char *)buf->data;
}

void
buf_reset(struct buf *buf)
{
	free(buf->data);
	buf->data = NULL;
	buf->len = 0;
	buf->cap = 0;
}
