#include <check.h>
#include <stdio.h>
#include <string.h>

#include "common/buf.h"
#include "common/clock.h"
#include "common/memory.h"
#include "common/rng.h"
#include "peer/failure.h"
#include "tests/runner.h"

enum {
	MAX_VMS = 56,
	STEP_MS = 250,
	CHECK_MS = 1000,
	SEEDS = 2,
};

/** A message under way. */
struct flight {
	struct flight *next;
	int to;
	struct buf wire;
};

struct vm {
	struct failure_detector *failure;
	struct message_member self;
	bool up;
};

static struct {
	struct vm vms[MAX_VMS];
	int count;
	int domains;
	double loss;
	int cut_domain; /* unreachable from the others; -1: none */
	struct rng rng;
	int64_t now_us;
	struct flight *flights;
	struct flight **tail;
} sim;

static int
domain_of(int vm)
{
	return vm % sim.domains;
}

static int
find_vm(const char *name)
{
	return (int)strtol(name + 3, NULL, 10);
}

static bool
is_cut(int from, int to)
{
	return sim.cut_domain >= 0 && domain_of(from) != domain_of(to) &&
	    (domain_of(from) == sim.cut_domain ||
		domain_of(to) == sim.cut_domain);
}

static void
sim_send(void *context, const char *to, struct message *message)
{
	const struct vm *from = context;
	struct flight *flight;

	if (rng_real(&sim.rng) < sim.loss ||
	    is_cut((int)(from - sim.vms), find_vm(to)))
		return;
	flight = xcalloc(1, sizeof(*flight));
	flight->to = find_vm(to);
	memcpy(message->sender, from->self.vm, NAME_BYTES);
	message_encode(message, &flight->wire);
	*sim.tail = flight;
	sim.tail = &flight->next;
}

static void
deliver(struct flight *flight)
{
	struct vm *to = &sim.vms[flight->to];
	struct message message;

	if (to->up) {
		ck_assert(message_decode(
		    flight->wire.data, flight->wire.len, &message, NULL));
		failure_handle_message(to->failure, &message, sim.now_us);
		message_reset(&message);
	}
	buf_reset(&flight->wire);
	free(flight);
}

static void
deliver_all(void)
{
	struct flight *flight = sim.flights;

	sim.flights = NULL;
	sim.tail = &sim.flights;
	while (flight != NULL) {
		struct flight *next = flight->next;

		deliver(flight);
		flight = next;
	}
}

static void
list_all(struct vm *vm)
{
	for (int i = 0; i < sim.count; i++)
		failure_handle_listed(
		    vm->failure, &sim.vms[i].self, sim.now_us);
}

static void
vm_start(int i)
{
	struct vm *vm = &sim.vms[i];

	vm->self.incarnation = rng_next(&sim.rng);
	vm->failure = failure_create(&vm->self);
	vm->up = true;
	list_all(vm);
}

static void
vm_stop(int i)
{
	sim.vms[i].up = false;
	failure_destroy(sim.vms[i].failure);
	sim.vms[i].failure = NULL;
}

static void
sim_start(int count, int domains, double loss, uint64_t seed)
{
	memset(&sim, 0, sizeof(sim));
	sim.count = count;
	sim.domains = domains;
	sim.loss = loss;
	sim.cut_domain = -1;
	sim.now_us = 1;
	sim.tail = &sim.flights;
	rng_init(&sim.rng, seed);
	for (int i = 0; i < count; i++) {
		struct message_member *self = &sim.vms[i].self;

		snprintf(self->vm, NAME_BYTES, "vm-%d", i);
		snprintf(self->failure_domain, NAME_BYTES, "domain-%d",
		    domain_of(i));
	}
	for (int i = 0; i < count; i++)
		vm_start(i);
}

static void
sim_stop(void)
{
	for (int i = 0; i < sim.count; i++) {
		if (sim.vms[i].up)
			vm_stop(i);
	}
	deliver_all();
}

static enum failure_verdict
verdict(int at, int of)
{
	return failure_verdict(
	    sim.vms[at].failure, sim.vms[of].self.vm, sim.now_us);
}

/* Returns how many pairs of running VMs hold each other gone. */
static int
false_verdicts(void)
{
	int count = 0;

	for (int at = 0; at < sim.count; at++) {
		for (int of = 0; of < sim.count; of++) {
			count += sim.vms[at].up && sim.vms[of].up &&
			    verdict(at, of) == FAILURE_GONE;
		}
	}
	return count;
}

static int
sim_run(int total_ms)
{
	const struct message_view news = {0};
	int wrong = 0;

	for (int past_ms = 0; past_ms < total_ms; past_ms += STEP_MS) {
		sim.now_us += (int64_t)STEP_MS * US_PER_MS;
		deliver_all();
		for (int i = 0; i < sim.count; i++) {
			if (sim.vms[i].up)
				failure_tick(sim.vms[i].failure, sim.now_us,
				    &news, sim_send, &sim.vms[i]);
		}
		if (past_ms % CHECK_MS == 0)
			wrong += false_verdicts();
	}
	return wrong;
}

/* Returns whether all running VMs hold a VM gone. */
static bool
all_hold_gone(int of)
{
	for (int at = 0; at < sim.count; at++) {
		if (sim.vms[at].up && verdict(at, of) != FAILURE_GONE)
			return false;
	}
	return true;
}

static int
relay_of(int domain)
{
	char name[NAME_BYTES];
	char vm[NAME_BYTES];
	int at = domain;

	while (!sim.vms[at].up)
		at += sim.domains;
	snprintf(name, sizeof(name), "domain-%d", domain);
	ck_assert(failure_relay(sim.vms[at].failure, name, 0, sim.now_us, vm));
	return find_vm(vm);
}

START_TEST(all_agree_on_one_relay)
{
	sim_start(MAX_VMS, 7, 0, 1);
	ck_assert_int_eq(sim_run(20000), 0);
	for (int i = 0; i < sim.count; i++) {
		char name[NAME_BYTES];
		char vm[NAME_BYTES];

		snprintf(name, sizeof(name), "domain-%d", domain_of(i));
		ck_assert(
		    failure_relay(sim.vms[i].failure, name, 0, sim.now_us, vm));
		ck_assert_int_eq(find_vm(vm), relay_of(domain_of(i)));
		ck_assert_uint_eq(failure_domain_count(sim.vms[i].failure), 7);
	}
	sim_stop();
}
END_TEST

START_TEST(a_dead_vm_is_gone_everywhere_in_time)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int victim;

		sim_start(42, 7, 0.05, seed);
		ck_assert_int_eq(sim_run(20000), 0);
		victim = (int)rng_below(&sim.rng, 42);
		vm_stop(victim);
		/* Silence at the relay, then at those behind two relays. */
		sim_run(3 * FAILURE_GONE_TIMEOUT_MS);
		ck_assert_msg(all_hold_gone(victim), "seed %d", (int)seed);
		sim_stop();
	}
}
END_TEST

START_TEST(a_dead_relay_makes_nobody_else_look_gone)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int relay;

		sim_start(36, 3, 0.05, seed);
		ck_assert_int_eq(sim_run(20000), 0);
		relay = relay_of(1);
		vm_stop(relay);
		ck_assert_int_eq(sim_run(3 * FAILURE_GONE_TIMEOUT_MS), 0);
		ck_assert(all_hold_gone(relay));
		ck_assert_int_ne(relay_of(1), relay);
		relay = relay_of(1);
		vm_stop(relay);
		ck_assert_int_eq(sim_run(3 * FAILURE_GONE_TIMEOUT_MS), 0);
		ck_assert(all_hold_gone(relay));
		sim_stop();
	}
}
END_TEST

START_TEST(a_listed_vm_that_is_dead_is_gone_in_time)
{
	sim_start(12, 3, 0, 1);
	vm_stop(4);
	sim_run(FAILURE_FIRST_CONTACT_TIMEOUT_MS + FAILURE_GONE_TIMEOUT_MS);
	ck_assert(all_hold_gone(4));
	for (int i = 0; i < sim.count; i++) {
		if (sim.vms[i].up)
			list_all(&sim.vms[i]);
	}
	ck_assert(all_hold_gone(4));
	sim_stop();
}
END_TEST

START_TEST(a_lost_domain_is_held_a_while)
{
	sim_start(21, 7, 0, 1);
	ck_assert_int_eq(sim_run(20000), 0);
	sim.cut_domain = 2;
	ck_assert_int_eq(sim_run(FAILURE_MASS_SILENCE_TIMEOUT_MS - STEP_MS), 0);
	sim_run(2 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert_int_eq(verdict(0, 2), FAILURE_GONE);
	ck_assert_int_eq(verdict(2, 9), FAILURE_ALIVE);
	sim.cut_domain = -1;
	sim_run(2 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert_int_eq(false_verdicts(), 0);
	sim_stop();
}
END_TEST

START_TEST(a_vm_that_flaps_is_no_relay)
{
	int relay;

	sim_start(12, 3, 0, 1);
	ck_assert_int_eq(sim_run(20000), 0);
	relay = relay_of(0);
	for (int i = 0; i < 4; i++) {
		vm_stop(relay);
		sim_run(2 * FAILURE_GONE_TIMEOUT_MS);
		vm_start(relay);
		sim_run(FAILURE_RELAY_PROBATION_MS);
		ck_assert_int_eq(verdict(1, relay), FAILURE_ALIVE);
	}
	sim_run(FAILURE_RELAY_PROBATION_MS);
	for (int i = 0; i < sim.count; i += sim.domains) {
		if (i != relay)
			ck_assert_int_ne(relay_of(0), relay);
	}
	sim_run(32 * FAILURE_RELAY_PROBATION_MS);
	ck_assert_int_eq(relay_of(0), relay);
	sim_stop();
}
END_TEST

START_TEST(changes_reach_all_in_spite_of_loss)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct failure_member_status sign;

		sim_start(42, 7, 0.2, seed);
		sim_run(20000);
		sim.vms[5].self.config_version = 77;
		sim.vms[5].self.draining = true;
		failure_set_self(sim.vms[5].failure, &sim.vms[5].self);
		sim_run(15000);
		for (int i = 0; i < sim.count; i++) {
			if (i == 5)
				continue;
			ck_assert(failure_member_status(
			    sim.vms[i].failure, "vm-5", sim.now_us, &sign));
			ck_assert_uint_eq(sign.member.config_version, 77);
			ck_assert(sign.member.draining);
		}
		sim.loss = 0;
		sim_run(FAILURE_GONE_TIMEOUT_MS);
		ck_assert_int_ne(relay_of(5), 5);
		sim_stop();
	}
}
END_TEST

START_TEST(a_version_is_told_without_the_rest)
{
	struct failure_member_status sign;

	sim_start(28, 7, 0, 1);
	sim_run(20000);
	for (int i = 0; i < sim.count; i++) {
		sim.vms[i].self.config_version = 9;
		failure_set_self(sim.vms[i].failure, &sim.vms[i].self);
	}
	ck_assert_int_eq(sim_run(2 * FAILURE_PARTIAL_UPDATE_INTERVAL_MS +
			     FAILURE_GONE_TIMEOUT_MS),
	    0);
	for (int i = 0; i < sim.count * sim.count; i++) {
		int at = i / sim.count;
		int of = i % sim.count;

		if (at == of)
			continue;
		ck_assert(failure_member_status(sim.vms[at].failure,
		    sim.vms[of].self.vm, sim.now_us, &sign));
		ck_assert_uint_eq(sign.member.config_version, 9);
		ck_assert_str_eq(sign.member.failure_domain,
		    sim.vms[of].self.failure_domain);
	}
	vm_stop(8);
	sim_run(3 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert(all_hold_gone(8));
	sim_stop();
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    all_agree_on_one_relay,
	    a_dead_vm_is_gone_everywhere_in_time,
	    a_dead_relay_makes_nobody_else_look_gone,
	    a_listed_vm_that_is_dead_is_gone_in_time,
	    a_lost_domain_is_held_a_while,
	    a_vm_that_flaps_is_no_relay,
	    changes_reach_all_in_spite_of_loss,
	    a_version_is_told_without_the_rest,
	};

	return run_tests(
	    "peer_failure", tests, sizeof(tests) / sizeof(tests[0]));
}
