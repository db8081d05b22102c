#include <check.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "peer/relay.h"
#include "tests/runner.h"

enum {
	VMS = 60,
	LANES = 4,
	STREAMS = LANES + 1, /* the last one is the configuration stream */
	STEP_MS = 100,
	MAX_LOG_RECORDS = 20000,
	APPENDS_PER_S = 20,
	SEEDS = 2,
};

/** Log record: the VM that submitted it, and the number that the VM gave it. */
struct entry {
	uint32_t vm;
	uint64_t number;
};

struct log_stream {
	struct entry entries[MAX_LOG_RECORDS];
	uint64_t end;
};

struct vm {
	struct failure_detector *failure;
	struct relay *relay;
	struct message_member self;
	bool up;
	bool log_unreachable;
	uint64_t position[STREAMS];
	uint64_t batch_number; /**< number of the current batch */
	bool waiting_for_result;
	uint64_t confirmed_count; /**< batches known to be appended */
	uint64_t bypassed_steps;
	uint64_t direct_appends;
};

struct message_in_flight {
	struct message_in_flight *next;
	int to;
	struct buf wire;
};

static struct {
	struct vm vms[VMS];
	struct log_stream streams[STREAMS];
	struct rng rng;
	double loss_probability; /**< for messages and log replies */
	bool log_is_down;
	int64_t now_us;
	uint64_t relay_appends;
	uint64_t reads;
	struct message_in_flight *messages_in_flight;
	struct message_in_flight **tail;
} sim;

static int
stream_index(uint32_t stream)
{
	return stream == RELAY_CONFIG_STREAM ? LANES : (int)stream;
}

static uint32_t
stream_number(int index)
{
	return index == LANES ? RELAY_CONFIG_STREAM : (uint32_t)index;
}

static bool
is_lost(void)
{
	return rng_real(&sim.rng) < sim.loss_probability;
}

static void
send_encoded(const char *to, const struct buf *wire)
{
	struct message_in_flight *in_flight;

	if (is_lost())
		return;
	in_flight = xcalloc(1, sizeof(*in_flight));
	in_flight->to = (int)strtol(to + 3, NULL, 10);
	buf_append(&in_flight->wire, wire->data, wire->len);
	*sim.tail = in_flight;
	sim.tail = &in_flight->next;
}

static void
send_failure_message(void *context, const char *to, struct message *message)
{
	struct vm *vm = context;
	struct buf wire = {0};

	memcpy(message->sender, vm->self.vm, NAME_BYTES);
	message_encode(message, &wire);
	send_encoded(to, &wire);
	buf_reset(&wire);
}

static void
deliver_all(void)
{
	struct message_in_flight *in_flight = sim.messages_in_flight;

	sim.messages_in_flight = NULL;
	sim.tail = &sim.messages_in_flight;
	while (in_flight != NULL) {
		struct message_in_flight *next = in_flight->next;
		struct vm *to = &sim.vms[in_flight->to];
		struct message message;

		ck_assert(message_decode(
		    in_flight->wire.data, in_flight->wire.len, &message, NULL));
		if (to->up) {
			failure_handle_message(
			    to->failure, &message, sim.now_us);
			relay_handle_message(to->relay, &message, sim.now_us);
		}
		message_reset(&message);
		buf_reset(&in_flight->wire);
		free(in_flight);
		in_flight = next;
	}
}

static uint64_t
log_append(int index, const struct plog_record *records, size_t count)
{
	struct log_stream *stream = &sim.streams[index];
	uint64_t first = stream->end;

	for (size_t i = 0; i < count; i++) {
		ck_assert_uint_lt(stream->end, MAX_LOG_RECORDS);
		ck_assert_uint_eq(records[i].len, sizeof(struct entry));
		memcpy(&stream->entries[stream->end++], records[i].data,
		    sizeof(struct entry));
	}
	return first;
}

static void
serve_reads(struct vm *vm)
{
	struct relay_read_request request;

	while (relay_next_read(vm->relay, sim.now_us, &request)) {
		struct log_stream *stream =
		    &sim.streams[stream_index(request.stream)];
		struct plog_record records[100];
		struct plog_read read = {
		    .status = vm->log_unreachable || sim.log_is_down
			? PLOG_NOT_SENT
			: PLOG_OK,
		    .end_offset = stream->end,
		    .records = records,
		};

		sim.reads++;
		while (request.from + read.count < stream->end &&
		    read.count < 100) {
			uint64_t offset = request.from + read.count;

			records[read.count++] = (struct plog_record){offset,
			    (const uint8_t *)&stream->entries[offset],
			    sizeof(struct entry)};
		}
		if (read.status != PLOG_OK)
			read.count = 0;
		relay_handle_read(vm->relay, request.stream, &read, sim.now_us);
	}
}

static void
serve_appends(struct vm *vm)
{
	struct relay_append_request append;

	while (relay_next_append(vm->relay, sim.now_us, &append)) {
		enum append_result result = APPEND_DONE;
		uint64_t first = 0;

		sim.relay_appends++;
		if (vm->log_unreachable || sim.log_is_down)
			result = APPEND_NOT_DONE;
		else
			first = log_append(
			    (int)append.lane, append.records, append.count);
		if (result == APPEND_DONE && is_lost())
			result = APPEND_UNKNOWN;
		relay_handle_appended(
		    vm->relay, append.number, result, first, sim.now_us);
	}
}

static void
submit(struct vm *vm, int index)
{
	struct entry entry = {(uint32_t)index, vm->batch_number};
	struct buf item = {0};
	struct owner_batch batch = {
	    .lane = (uint32_t)index % LANES,
	    .number = vm->batch_number,
	    .items = &item,
	    .count = 1,
	};
	struct plog_record record = {0, (const uint8_t *)&entry, sizeof(entry)};

	buf_append(&item, &entry, sizeof(entry));
	if (relay_submit(vm->relay, &batch, index % 3 == 0, sim.now_us)) {
		vm->waiting_for_result = true;
	} else if (!vm->log_unreachable && !sim.log_is_down) {
		log_append(index % LANES, &record, 1);
		vm->direct_appends++;
		vm->confirmed_count++;
		vm->batch_number++;
	}
	buf_reset(&item);
}

static void
handle_records(struct vm *vm, const struct relay_event *event)
{
	int index = stream_index(event->stream);
	uint64_t at = vm->position[index];

	ck_assert_uint_eq(event->from, at);
	for (size_t i = 0; i < event->record_count; i++) {
		ck_assert_uint_eq(event->records[i].offset, at);
		ck_assert_mem_eq(event->records[i].data.data,
		    &sim.streams[index].entries[at], sizeof(struct entry));
		at++;
	}
	ck_assert_uint_eq(event->next, at);
	vm->position[index] = at;
}

static void
handle_events(struct vm *vm)
{
	struct relay_event event;

	while (relay_next_event(vm->relay, &event)) {
		switch (event.type) {
		case RELAY_EVENT_RECORDS:
			handle_records(vm, &event);
			break;
		case RELAY_EVENT_GAP:
			vm->position[stream_index(event.stream)] = event.next;
			relay_subscribe(vm->relay, event.stream, event.next);
			break;
		case RELAY_EVENT_APPENDED:
			vm->waiting_for_result = false;
			if (event.result == APPEND_DONE) {
				vm->confirmed_count++;
				vm->batch_number++;
			}
			break;
		}
	}
}

static void
read_log_directly(struct vm *vm)
{
	vm->bypassed_steps++;
	if (vm->log_unreachable || sim.log_is_down)
		return;
	for (int i = 0; i < STREAMS; i++) {
		vm->position[i] = sim.streams[i].end;
		relay_subscribe(vm->relay, stream_number(i), vm->position[i]);
	}
}

static void
vm_step(struct vm *vm, int index, const struct message_view *view_template)
{
	struct relay_outgoing out;

	failure_tick(
	    vm->failure, sim.now_us, view_template, send_failure_message, vm);
	relay_tick(vm->relay, sim.now_us);
	if (relay_is_bypassed(vm->relay, sim.now_us))
		read_log_directly(vm);
	if (!vm->waiting_for_result && rng_below(&sim.rng, 10) == 0)
		submit(vm, index);
	serve_reads(vm);
	serve_appends(vm);
	while (relay_next_message(vm->relay, &out))
		send_encoded(out.vm, out.wire);
	handle_events(vm);
}

static void
vm_stop(struct vm *vm)
{
	relay_destroy(vm->relay);
	failure_destroy(vm->failure);
	vm->up = false;
}

static void
vm_start(struct vm *vm, int index)
{
	memset(vm, 0, sizeof(*vm));
	snprintf(vm->self.vm, NAME_BYTES, "vm-%d", index);
	snprintf(vm->self.failure_domain, NAME_BYTES, "domain-0");
	vm->self.incarnation = rng_next(&sim.rng);
	vm->failure = failure_create(&vm->self);
	vm->relay = relay_create(vm->self.vm, "domain-0", vm->failure);
	relay_set_limits(vm->relay, APPENDS_PER_S, (int64_t)100 * US_PER_MS);
	for (int i = 0; i < STREAMS; i++)
		relay_subscribe(vm->relay, stream_number(i), 0);
	vm->up = true;
}

static void
sim_start(uint64_t seed, double loss_probability)
{
	memset(&sim, 0, sizeof(sim));
	sim.loss_probability = loss_probability;
	sim.now_us = 1;
	sim.tail = &sim.messages_in_flight;
	rng_init(&sim.rng, seed);
	for (int i = 0; i < VMS; i++)
		vm_start(&sim.vms[i], i);
	for (int i = 0; i < VMS * VMS; i++)
		failure_handle_listed(sim.vms[i / VMS].failure,
		    &sim.vms[i % VMS].self, sim.now_us);
}

static void
sim_run(int total_ms)
{
	const struct message_view view_template = {0};

	for (int elapsed_ms = 0; elapsed_ms < total_ms; elapsed_ms += STEP_MS) {
		sim.now_us += (int64_t)STEP_MS * US_PER_MS;
		deliver_all();
		for (int i = 0; i < VMS; i++) {
			if (sim.vms[i].up)
				vm_step(&sim.vms[i], i, &view_template);
		}
	}
}

static void
sim_stop(void)
{
	for (int i = 0; i < VMS; i++) {
		if (sim.vms[i].up)
			vm_stop(&sim.vms[i]);
	}
	deliver_all();
}

static uint64_t
sum_bypassed_steps(void)
{
	uint64_t sum = 0;

	for (int i = 0; i < VMS; i++)
		sum += sim.vms[i].bypassed_steps;
	return sum;
}

/* Appends a configuration record and returns the time until all running VMs
 * except one (-1: none) have it. */
static int
measure_propagation_ms(int excluded)
{
	struct entry entry = {VMS, 0};
	struct plog_record record = {0, (const uint8_t *)&entry, sizeof(entry)};
	int elapsed_ms = 0;
	bool all = false;

	log_append(LANES, &record, 1);
	while (!all && elapsed_ms < 60000) {
		sim_run(STEP_MS);
		elapsed_ms += STEP_MS;
		all = true;
		for (int i = 0; i < VMS; i++)
			all &= !sim.vms[i].up || i == excluded ||
			    sim.vms[i].position[LANES] ==
				sim.streams[LANES].end;
	}
	return elapsed_ms;
}

static int
relay_index(void)
{
	char vm[NAME_BYTES];
	int at = 0;

	while (!sim.vms[at].up)
		at++;
	ck_assert(
	    failure_relay(sim.vms[at].failure, "domain-0", 0, sim.now_us, vm));
	return (int)strtol(vm + 3, NULL, 10);
}

/* Checks that each confirmed batch of each VM is in the log. */
static void
check_no_batch_lost(void)
{
	static uint8_t seen[VMS][MAX_LOG_RECORDS];

	memset(seen, 0, sizeof(seen));
	for (int s = 0; s < LANES; s++) {
		for (uint64_t i = 0; i < sim.streams[s].end; i++) {
			const struct entry *entry = &sim.streams[s].entries[i];

			seen[entry->vm][entry->number] = 1;
		}
	}
	for (int i = 0; i < VMS; i++) {
		for (uint64_t n = 0; n < sim.vms[i].confirmed_count; n++)
			ck_assert(seen[i][n]);
	}
}

START_TEST(one_relay_serves_sixty_vms_within_its_append_rate)
{
	uint64_t appends;

	sim_start(1, 0);
	sim_run(6000);
	appends = sim.relay_appends;
	for (int i = 0; i < VMS; i++)
		sim.vms[i].bypassed_steps = 0;
	sim_run(8000);
	ck_assert_uint_eq(sum_bypassed_steps(), 0);
	ck_assert_uint_le(sim.relay_appends - appends, 8 * APPENDS_PER_S + 6);
	for (int i = 0; i < VMS; i++)
		ck_assert_uint_gt(sim.vms[i].confirmed_count, 2);
	ck_assert_int_le(measure_propagation_ms(-1), 1000);
	check_no_batch_lost();
	sim_stop();
}
END_TEST

START_TEST(message_loss_and_dead_relays_lose_no_batch)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int relay;

		sim_start(seed, 0.03);
		sim_run(8000);
		relay = relay_index();
		vm_stop(&sim.vms[relay]);
		ck_assert_int_le(measure_propagation_ms(-1), 7000);
		sim_run(6000);
		ck_assert_int_ne(relay_index(), relay);
		vm_stop(&sim.vms[relay_index()]);
		ck_assert_int_le(measure_propagation_ms(-1), 7000);
		sim_run(5000);
		check_no_batch_lost();
		sim_stop();
	}
}
END_TEST

START_TEST(a_relay_that_cannot_reach_the_log_is_replaced)
{
	int relay;

	sim_start(1, 0);
	sim_run(8000);
	relay = relay_index();
	sim.vms[relay].log_unreachable = true;
	ck_assert_int_le(measure_propagation_ms(relay), 7000);
	sim.vms[relay].self.log_unreachable = true;
	failure_set_self(sim.vms[relay].failure, &sim.vms[relay].self);
	sim_run(5000);
	ck_assert_int_ne(relay_index(), relay);
	/* The VM now gets the configuration through the new relay. */
	ck_assert_int_le(measure_propagation_ms(-1), 1000);
	check_no_batch_lost();
	sim_stop();
}
END_TEST

START_TEST(the_backlog_is_bounded_and_refusals_are_reported)
{
	struct failure_detector *failure;
	struct relay *relay;
	struct message_member self = {.vm = "vm-0", .incarnation = 1};
	static uint8_t bytes[500 << 10];
	struct message_record record = {0, {bytes, sizeof(bytes)}};
	struct message message = {
	    .type = MESSAGE_APPEND,
	    .sender = "vm-1",
	    .append = {.records = &record, .record_count = 1},
	};
	struct relay_outgoing out;
	int refused_count = 0;

	failure = failure_create(&self);
	relay = relay_create("vm-0", "", failure);
	for (int i = 0; i < 20; i++) {
		message.append.number = (uint64_t)i;
		relay_handle_message(relay, &message, 1);
	}
	ck_assert_uint_le(relay_backlog_bytes(relay), RELAY_MAX_BACKLOG_BYTES);
	while (relay_next_message(relay, &out)) {
		struct message reply;

		ck_assert(message_decode(
		    out.wire->data, out.wire->len, &reply, NULL));
		ck_assert_uint_eq(reply.append_reply.result, APPEND_NOT_DONE);
		refused_count++;
	}
	ck_assert_int_eq(
	    refused_count, 20 - RELAY_MAX_BACKLOG_BYTES / (500 << 10));
	relay_destroy(relay);
	failure_destroy(failure);
}
END_TEST

START_TEST(priority_batches_are_appended_first)
{
	struct failure_detector *failure;
	struct relay *relay;
	struct message_member self = {.vm = "vm-0", .incarnation = 1};
	struct message_record record = {0, {(const uint8_t *)"x", 1}};
	struct message message = {
	    .type = MESSAGE_APPEND,
	    .sender = "vm-1",
	    .append = {.records = &record, .record_count = 1},
	};
	struct relay_append_request append;

	failure = failure_create(&self);
	relay = relay_create("vm-0", "", failure);
	relay_set_limits(relay, 1, 0);
	for (uint32_t lane = 0; lane < 3; lane++) {
		message.append.number = lane;
		message.append.lane = lane;
		message.append.priority = lane == 2;
		relay_handle_message(relay, &message, 1);
	}
	ck_assert(relay_next_append(relay, (int64_t)10 * US_PER_S, &append));
	ck_assert_uint_eq(append.lane, 2);
	ck_assert(!relay_next_append(relay, (int64_t)10 * US_PER_S, &append));
	ck_assert(relay_next_append(relay, (int64_t)12 * US_PER_S, &append));
	ck_assert_uint_eq(append.lane, 0);
	relay_destroy(relay);
	failure_destroy(failure);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    one_relay_serves_sixty_vms_within_its_append_rate,
	    message_loss_and_dead_relays_lose_no_batch,
	    a_relay_that_cannot_reach_the_log_is_replaced,
	    the_backlog_is_bounded_and_refusals_are_reported,
	    priority_batches_are_appended_first,
	};

	return run_tests("peer_relay", tests, sizeof(tests) / sizeof(tests[0]));
}
