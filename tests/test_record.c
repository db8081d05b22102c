#include <check.h>
#include <string.h>

#include <msgpack.h>

#include "common/rng.h"
#include "record/record.h"
#include "tests/runner.h"

static struct record
sample_turn(void)
{
	struct record record = {
	    .type = RECORD_TURN,
	    .id = 77,
	    .shard = 5,
	    .epoch = 9,
	    .seq = 3,
	    .turn =
		{
		    .program = "p-5-00aa",
		    .key = "k1",
		    .server = "runner-1",
		    .turn = 4,
		    .spent_tokens = 1000000007,
		    .prompt_tokens = 12,
		    .content = {(const uint8_t *)"[{\"role\"}]", 10},
		},
	};

	record.turn.digest = digest_chain(NULL, "x", 1);
	return record;
}

START_TEST(a_turn_decodes_as_encoded)
{
	struct record in = sample_turn();
	struct record out;
	struct buf wire = {0};
	struct error err = {0};

	record_encode(&in, &wire);
	ck_assert(record_decode(wire.data, wire.len, &out, &err));
	ck_assert_uint_eq(out.format, RECORD_FORMAT);
	ck_assert_int_eq(out.type, RECORD_TURN);
	ck_assert_uint_eq(out.id, 77);
	ck_assert_uint_eq(out.shard, 5);
	ck_assert_uint_eq(out.epoch, 9);
	ck_assert_uint_eq(out.seq, 3);
	ck_assert_str_eq(out.turn.program, "p-5-00aa");
	ck_assert_uint_eq(out.turn.spent_tokens, 1000000007);
	ck_assert(digest_equal(&out.turn.digest, &in.turn.digest));
	ck_assert_uint_eq(out.turn.content.len, 10);
	ck_assert_mem_eq(out.turn.content.data, in.turn.content.data, 10);
	buf_reset(&wire);
}
END_TEST

START_TEST(truncated_records_are_rejected)
{
	struct record in = sample_turn();
	struct record out;
	struct buf wire = {0};
	struct error err = {0};

	record_encode(&in, &wire);
	for (size_t len = 0; len < wire.len; len++) {
		ck_assert(!record_decode(wire.data, len, &out, &err));
		ck_assert_int_eq(err.code, ERROR_INVALID);
	}
	buf_reset(&wire);
}
END_TEST

START_TEST(flipped_bytes_never_crash)
{
	struct record in = sample_turn();
	struct record out;
	struct buf wire = {0};
	struct rng rng;

	rng_init(&rng, 1);
	record_encode(&in, &wire);
	for (int i = 0; i < 100000; i++) {
		size_t at = rng_below(&rng, wire.len);
		uint8_t old = wire.data[at];

		wire.data[at] = (uint8_t)rng_next(&rng);
		record_decode(wire.data, wire.len, &out, NULL);
		wire.data[at] = old;
	}
	buf_reset(&wire);
}
END_TEST

START_TEST(oversized_and_deeply_nested_arrays_are_rejected)
{
	static const uint8_t wire[] = {0xdd, 0xff, 0xff, 0xff, 0xff};
	static const uint8_t nested[] = {0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
	    0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
	    0x91, 0x01};
	struct record out;

	ck_assert(!record_decode(wire, sizeof(wire), &out, NULL));
	ck_assert(!record_decode(nested, sizeof(nested), &out, NULL));
}
END_TEST

START_TEST(records_of_newer_formats_are_read)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	struct record out;
	struct error err = {0};

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 8);
	msgpack_pack_int(&packer, RECORD_FORMAT + 1);
	msgpack_pack_int(&packer, RECORD_RESERVE);
	for (int i = 0; i < 4; i++)
		msgpack_pack_int(&packer, i + 1);
	msgpack_pack_map(&packer, 2);
	msgpack_pack_int(&packer, 2);
	msgpack_pack_int(&packer, 500);
	msgpack_pack_int(&packer, 900);
	msgpack_pack_nil(&packer);
	msgpack_pack_nil(&packer);
	ck_assert(record_decode(
	    (const uint8_t *)buffer.data, buffer.size, &out, &err));
	ck_assert_uint_eq(out.reserve.tokens, 500);
	ck_assert_str_eq(out.reserve.program, "");
	msgpack_sbuffer_destroy(&buffer);
}
END_TEST

START_TEST(each_type_has_a_name)
{
	for (int type = RECORD_CLAIM; type <= RECORD_INDEX; type++)
		ck_assert_str_ne(
		    record_type_name((enum record_type)type), "unknown");
	ck_assert_str_eq(record_type_name((enum record_type)9999), "unknown");
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    a_turn_decodes_as_encoded,
	    truncated_records_are_rejected,
	    flipped_bytes_never_crash,
	    oversized_and_deeply_nested_arrays_are_rejected,
	    records_of_newer_formats_are_read,
	    each_type_has_a_name,
	};

	return run_tests("record", tests, sizeof(tests) / sizeof(tests[0]));
}
