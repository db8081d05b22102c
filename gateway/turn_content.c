#include <stdlib.h>

#include "common/memory.h"
#include "gateway/recorder.h"
#include "gateway/turn_internal.h"

enum {
	/* Parts of a turn that are encoded at a time, which bounds the memory
	 * that they take beside the content. */
	PARTS_IN_FLIGHT_MAX = 4,
};

static void append_next_parts(struct turn *turn);

static void
handle_part_appended(void *context, bool ok, uint64_t offset)
{
	struct content_part *part = context;
	struct turn *turn = part->turn;

	part->pending_record = NULL;
	if (!ok) {
		request_fail(turn->request, REFUSAL_LOG_UNAVAILABLE,
		    "turn can't be kept");
		return;
	}
	part->location.offset = offset;
	turn->parts_durable++;
	if (turn->parts_durable == turn->part_count)
		turn_append_record_in_parts(turn);
	else
		append_next_parts(turn);
}

static void
append_next_parts(struct turn *turn)
{
	const struct turn_content content = turn_content_of(turn);

	while (turn->parts_begun < turn->part_count &&
	    turn->parts_begun - turn->parts_durable < PARTS_IN_FLIGHT_MAX) {
		struct content_part *part = &turn->parts[turn->parts_begun];
		struct buf encoded = {0};

		turn_content_encode_part(&content, turn->id,
		    (uint32_t)turn->parts_begun, turn->part_record_max,
		    &encoded);
		part->turn = turn;
		part->location.bytes = (uint32_t)encoded.len;
		turn->parts_begun++;
		part->pending_record = recorder_append(
		    turn->request->gateway->recorder, RECORDER_CONTENTS,
		    turn->partition, &encoded, handle_part_appended, part);
	}
}

void
turn_append_content(struct turn *turn)
{
	struct gateway *gateway = turn->request->gateway;
	const struct turn_content content = turn_content_of(turn);

	turn->part_record_max = gateway->settings.gateway_record_max_bytes;
	turn->part_count =
	    turn_content_part_count(&content, turn->part_record_max);
	turn->parts = xcalloc(turn->part_count, sizeof(*turn->parts));
	append_next_parts(turn);
}

void
turn_drop_parts(struct turn *turn)
{
	for (size_t i = 0; i < turn->parts_begun; i++) {
		if (turn->parts[i].pending_record != NULL)
			recorder_detach(turn->parts[i].pending_record);
	}
	free(turn->parts);
	turn->parts = NULL;
}
