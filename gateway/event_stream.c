#include <stdio.h>
#include <string.h>

#include "gateway/event_stream.h"

enum {
	KEPT_BYTES = 4 << 10,
};

/* Returns the value of a line "name: value"; NULL if it has another name. */
static const char *
field_value(const char *line, size_t len, const char *name, size_t *value_len)
{
	size_t name_len = strlen(name);

	if (len <= name_len || line[name_len] != ':' ||
	    memcmp(line, name, name_len) != 0)
		return NULL;
	line += name_len + 1;
	len -= name_len + 1;
	if (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	*value_len = len;
	return line;
}

static void
parse_data(struct event_stream *events, const char *value, size_t len)
{
	if (events->collect_data) {
		if (events->next_has_data)
			buf_append(&events->next_data, "\n", 1);
		buf_append(&events->next_data, value, len);
	}
	events->next_has_data = true;
}

static void
parse_line(struct event_stream *events, const char *line, size_t len)
{
	const char *value;
	size_t value_len;

	if (line[0] == ':') /* a comment */
		return;
	events->next_has_fields = true;
	value = field_value(line, len, "data", &value_len);
	if (value != NULL)
		parse_data(events, value, value_len);
	value = field_value(line, len, "id", &value_len);
	if (value != NULL && value_len < sizeof(events->next_id)) {
		memcpy(events->next_id, value, value_len);
		events->next_id[value_len] = '\0';
	}
}

/* Finishes the current event, which a blank line has ended. */
static void
end_event(struct event_stream *events)
{
	if (events->next_has_data) {
		events->event_count++;
		if (events->collect_data) {
			buf_append(&events->data, events->next_data.data,
			    events->next_data.len);
			buf_append(&events->data, "\n", 1);
		}
	}
	memcpy(events->last_id, events->next_id, sizeof(events->last_id));
	events->next_data.len = 0;
	events->next_has_data = false;
	events->next_has_fields = false;
}

/* Gives back what a long read took. Hundreds of streams would keep 64 KiB each.
 */
static void
shrink(struct buf *buf)
{
	struct buf rest = {.max = buf->max};

	if (buf->cap <= KEPT_BYTES || buf->len > KEPT_BYTES)
		return;
	buf_append(&rest, buf->data, buf->len);
	buf_reset(buf);
	*buf = rest;
}

size_t
event_stream_feed(struct event_stream *events, const void *data, size_t len)
{
	size_t complete_len = 0;

	buf_append(&events->pending, data, len);
	for (;;) {
		const char *line =
		    (const char *)events->pending.data + events->scanned_bytes;
		size_t remaining = events->pending.len - events->scanned_bytes;
		const char *newline =
		    remaining > 0 ? memchr(line, '\n', remaining) : NULL;
		size_t line_len;

		if (newline == NULL)
			return complete_len;
		line_len = (size_t)(newline - line);
		events->scanned_bytes += line_len + 1;
		if (line_len > 0 && line[line_len - 1] == '\r')
			line_len--;
		if (line_len > 0) {
			parse_line(events, line, line_len);
			continue;
		}
		end_event(events);
		complete_len = events->scanned_bytes;
	}
}

void
event_stream_consume(struct event_stream *events, size_t len)
{
	buf_consume(&events->pending, len);
	shrink(&events->pending);
	events->scanned_bytes -= len;
}

bool
event_stream_in_event(const struct event_stream *events)
{
	return events->next_has_fields ||
	    events->pending.len > events->scanned_bytes;
}

void
event_stream_drop_partial(struct event_stream *events)
{
	events->pending.len = 0;
	events->scanned_bytes = 0;
	events->next_data.len = 0;
	events->next_has_data = false;
	events->next_has_fields = false;
	memcpy(events->next_id, events->last_id, sizeof(events->next_id));
}

void
event_stream_reset(struct event_stream *events)
{
	buf_reset(&events->pending);
	buf_reset(&events->data);
	buf_reset(&events->next_data);
	*events = (struct event_stream){0};
}
