#include <check.h>
#include <string.h>

#include "common/rng.h"
#include "peer/message.h"
#include "tests/runner.h"

static const uint8_t record_content[] = "wire form";

static struct message
sample_view(struct message_member members[2])
{
	struct message message = {
	    .type = MESSAGE_VIEW,
	    .sender = "vm-1",
	    .view =
		{
		    .incarnation = 11,
		    .version = 4,
		    .config_end = 900,
		    .log_age_us = -3,
		    .members = members,
		    .member_count = 2,
		},
	};

	memset(members, 0, 2 * sizeof(*members));
	strcpy(members[0].vm, "vm-2");
	members[0].peer_port = 7001;
	members[0].draining = true;
	strcpy(members[1].vm, "vm-3");
	members[1].gone = true;
	return message;
}

static struct message
sample_append(struct message_record records[2])
{
	records[0] = (struct message_record){
	    7, {record_content, sizeof(record_content)}};
	records[1] = (struct message_record){8, {record_content, 1}};
	return (struct message){
	    .type = MESSAGE_APPEND,
	    .sender = "vm-1",
	    .append =
		{
		    .lane = 3,
		    .number = 12,
		    .priority = true,
		    .records = records,
		    .record_count = 2,
		},
	};
}

START_TEST(lists_survive_encoding)
{
	struct message_member members[2];
	struct message_record records[2];
	struct message view = sample_view(members);
	struct message append = sample_append(records);
	struct message out;
	struct buf wire = {0};

	message_encode(&view, &wire);
	ck_assert(message_decode(wire.data, wire.len, &out, NULL));
	ck_assert_str_eq(out.sender, "vm-1");
	ck_assert_int_eq(out.view.log_age_us, -3);
	ck_assert_uint_eq(out.view.member_count, 2);
	ck_assert_str_eq(out.view.members[0].vm, "vm-2");
	ck_assert_uint_eq(out.view.members[0].peer_port, 7001);
	ck_assert(out.view.members[0].draining);
	ck_assert(out.view.members[1].gone);
	message_reset(&out);
	buf_reset(&wire);

	message_encode(&append, &wire);
	ck_assert(message_decode(wire.data, wire.len, &out, NULL));
	ck_assert_uint_eq(out.append.record_count, 2);
	ck_assert_uint_eq(
	    out.append.records[0].data.len, sizeof(record_content));
	ck_assert_mem_eq(out.append.records[0].data.data, record_content,
	    sizeof(record_content));
	ck_assert_uint_eq(out.append.records[1].offset, 8);
	message_reset(&out);
	buf_reset(&wire);
}
END_TEST

START_TEST(every_truncation_is_an_error)
{
	struct message_member members[2];
	struct message in = sample_view(members);
	struct message out;
	struct buf wire = {0};
	struct error err = {0};

	message_encode(&in, &wire);
	for (size_t len = 0; len < wire.len; len++) {
		ck_assert(!message_decode(wire.data, len, &out, &err));
		ck_assert_int_eq(err.code, ERROR_INVALID);
	}
	buf_reset(&wire);
}
END_TEST

START_TEST(corrupted_bytes_never_crash)
{
	struct message_member members[2];
	struct message_record records[2];
	struct message samples[2];
	struct message out;
	struct rng rng;

	samples[0] = sample_view(members);
	samples[1] = sample_append(records);
	rng_init(&rng, 1);
	for (int i = 0; i < 50000; i++) {
		struct buf wire = {0};

		message_encode(&samples[i % 2], &wire);
		for (int corrupted = 0; corrupted < 1 + i % 3; corrupted++)
			wire.data[rng_below(&rng, wire.len)] =
			    (uint8_t)rng_next(&rng);
		if (message_decode(wire.data, wire.len, &out, NULL))
			message_reset(&out);
		buf_reset(&wire);
	}
}
END_TEST

/* Packs [format + 1, type, "vm", {1: value, 99: nil}, nil], a message with an
 * unknown key and an unknown further item. */
static void
pack_newer(struct buf *wire, unsigned type, unsigned value)
{
	const uint8_t bytes[] = {0x95, MESSAGE_FORMAT + 1, (uint8_t)type, 0xa2,
	    'v', 'm', 0x82, 0x01, (uint8_t)value, 0x63, 0xc0, 0xc0};

	buf_append(wire, bytes, sizeof(bytes));
}

START_TEST(messages_of_newer_formats_are_decoded)
{
	struct message out;
	struct buf wire = {0};

	pack_newer(&wire, MESSAGE_APPEND_REPLY, 42);
	ck_assert(message_decode(wire.data, wire.len, &out, NULL));
	ck_assert_uint_eq(out.format, MESSAGE_FORMAT + 1);
	ck_assert_uint_eq(out.append_reply.number, 42);
	buf_reset(&wire);

	pack_newer(&wire, 100, 42);
	ck_assert(message_decode(wire.data, wire.len, &out, NULL));
	ck_assert_str_eq(message_type_name(out.type), "unknown");
	message_reset(&out);
	buf_reset(&wire);
}
END_TEST

START_TEST(a_repeated_list_is_an_error)
{
	static const uint8_t wire[] = {0x94, 1, MESSAGE_SUBSCRIBE, 0xa1, 'v',
	    0x82, 3, 0x91, 0x80, 3, 0x91, 0x80};
	struct message out;

	ck_assert(!message_decode(wire, sizeof(wire), &out, NULL));
}
END_TEST

START_TEST(zero_values_are_not_encoded)
{
	struct message in = {.type = MESSAGE_VIEW, .sender = "v"};
	struct buf wire = {0};

	message_encode(&in, &wire);
	ck_assert_uint_eq(wire.len, 6);
	buf_reset(&wire);
}
END_TEST

START_TEST(each_type_has_a_name)
{
	for (int type = MESSAGE_HEARTBEAT; type <= MESSAGE_STATUS; type++)
		ck_assert_str_ne(
		    message_type_name((enum message_type)type), "unknown");
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    lists_survive_encoding,
	    every_truncation_is_an_error,
	    corrupted_bytes_never_crash,
	    messages_of_newer_formats_are_decoded,
	    a_repeated_list_is_an_error,
	    zero_values_are_not_encoded,
	    each_type_has_a_name,
	};

	return run_tests(
	    "peer_message", tests, sizeof(tests) / sizeof(tests[0]));
}
