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
	CHECK_INTERVAL_MS = 1000,
	SEEDS = 2,
};

/** Message in flight. */
struct message_in_flight {
	struct message_in_flight *next;
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
	double loss_probability;
	int isolated_domain; /* cut off from the others; -1: none */
	struct rng rng;
	int64_t now_us;
	struct message_in_flight *messages_in_flight;
	struct message_in_flight **tail;
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
is_separated(int from, int to)
{
	return sim.isolated_domain >= 0 && domain_of(from) != domain_of(to) &&
	    (domain_of(from) == sim.isolated_domain ||
		domain_of(to) == sim.isolated_domain);
}

static void
sim_send(void *context, const char *to, struct message *message)
{
	const struct vm *from = context;
	struct message_in_flight *in_flight;

	if (rng_real(&sim.rng) < sim.loss_probability ||
	    is_separated((int)(from - sim.vms), find_vm(to)))
		return;
	in_flight = xcalloc(1, sizeof(*in_flight));
	in_flight->to = find_vm(to);
	memcpy(message->sender, from->self.vm, NAME_BYTES);
	message_encode(message, &in_flight->wire);
	*sim.tail = in_flight;
	sim.tail = &in_flight->next;
}

static void
deliver(struct message_in_flight *in_flight)
{
	struct vm *to = &sim.vms[in_flight->to];
	struct message message;

	if (to->up) {
		ck_assert(message_decode(
		    in_flight->wire.data, in_flight->wire.len, &message, NULL));
		failure_handle_message(to->failure, &message, sim.now_us);
		message_reset(&message);
	}
	buf_reset(&in_flight->wire);
	free(in_flight);
}

static void
deliver_all(void)
{
	struct message_in_flight *in_flight = sim.messages_in_flight;

	sim.messages_in_flight = NULL;
	sim.tail = &sim.messages_in_flight;
	while (in_flight != NULL) {
		struct message_in_flight *next = in_flight->next;

		deliver(in_flight);
		in_flight = next;
	}
}

static void
handle_all_listed(struct vm *vm)
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
	handle_all_listed(vm);
}

static void
vm_stop(int i)
{
	sim.vms[i].up = false;
	failure_destroy(sim.vms[i].failure);
	sim.vms[i].failure = NULL;
}

static void
sim_start(int count, int domains, double loss_probability, uint64_t seed)
{
	memset(&sim, 0, sizeof(sim));
	sim.count = count;
	sim.domains = domains;
	sim.loss_probability = loss_probability;
	sim.isolated_domain = -1;
	sim.now_us = 1;
	sim.tail = &sim.messages_in_flight;
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
verdict(int observer, int subject)
{
	return failure_verdict(
	    sim.vms[observer].failure, sim.vms[subject].self.vm, sim.now_us);
}

/* Returns the number of pairs of running VMs of which the first considers the
 * second gone. */
static int
count_false_gone(void)
{
	int count = 0;

	for (int observer = 0; observer < sim.count; observer++) {
		for (int subject = 0; subject < sim.count; subject++) {
			count += sim.vms[observer].up && sim.vms[subject].up &&
			    verdict(observer, subject) == FAILURE_GONE;
		}
	}
	return count;
}

/* Runs the simulation and returns the number of false verdicts that its checks
 * found. */
static int
sim_run(int total_ms)
{
	const struct message_view view_template = {0};
	int false_gone_count = 0;

	for (int elapsed_ms = 0; elapsed_ms < total_ms; elapsed_ms += STEP_MS) {
		sim.now_us += (int64_t)STEP_MS * US_PER_MS;
		deliver_all();
		for (int i = 0; i < sim.count; i++) {
			if (sim.vms[i].up)
				failure_tick(sim.vms[i].failure, sim.now_us,
				    &view_template, sim_send, &sim.vms[i]);
		}
		if (elapsed_ms % CHECK_INTERVAL_MS == 0)
			false_gone_count += count_false_gone();
	}
	return false_gone_count;
}

/* Returns whether all running VMs consider a VM gone. */
static bool
is_gone_everywhere(int subject)
{
	for (int observer = 0; observer < sim.count; observer++) {
		if (sim.vms[observer].up &&
		    verdict(observer, subject) != FAILURE_GONE)
			return false;
	}
	return true;
}

static int
find_relay(int domain)
{
	char name[NAME_BYTES];
	char vm[NAME_BYTES];
	int observer = domain;

	while (!sim.vms[observer].up)
		observer += sim.domains;
	snprintf(name, sizeof(name), "domain-%d", domain);
	ck_assert(
	    failure_relay(sim.vms[observer].failure, name, 0, sim.now_us, vm));
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
		ck_assert_int_eq(find_vm(vm), find_relay(domain_of(i)));
		ck_assert_uint_eq(failure_domain_count(sim.vms[i].failure), 7);
	}
	sim_stop();
}
END_TEST

START_TEST(a_dead_vm_is_reported_gone_everywhere_in_time)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int victim;

		sim_start(42, 7, 0.05, seed);
		ck_assert_int_eq(sim_run(20000), 0);
		victim = (int)rng_below(&sim.rng, 42);
		vm_stop(victim);
		/* The timeout passes at the VM's relay, then the verdict
		 * spreads through the relays of two domains. */
		sim_run(3 * FAILURE_GONE_TIMEOUT_MS);
		ck_assert_msg(is_gone_everywhere(victim), "seed %d", (int)seed);
		sim_stop();
	}
}
END_TEST

START_TEST(a_dead_relay_makes_no_other_vm_gone)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int relay;

		sim_start(36, 3, 0.05, seed);
		ck_assert_int_eq(sim_run(20000), 0);
		relay = find_relay(1);
		vm_stop(relay);
		ck_assert_int_eq(sim_run(3 * FAILURE_GONE_TIMEOUT_MS), 0);
		ck_assert(is_gone_everywhere(relay));
		ck_assert_int_ne(find_relay(1), relay);
		relay = find_relay(1);
		vm_stop(relay);
		ck_assert_int_eq(sim_run(3 * FAILURE_GONE_TIMEOUT_MS), 0);
		ck_assert(is_gone_everywhere(relay));
		sim_stop();
	}
}
END_TEST

START_TEST(a_listed_vm_never_heard_from_is_gone_in_time)
{
	sim_start(12, 3, 0, 1);
	vm_stop(4);
	sim_run(FAILURE_FIRST_CONTACT_TIMEOUT_MS + FAILURE_GONE_TIMEOUT_MS);
	ck_assert(is_gone_everywhere(4));
	for (int i = 0; i < sim.count; i++) {
		if (sim.vms[i].up)
			handle_all_listed(&sim.vms[i]);
	}
	ck_assert(is_gone_everywhere(4));
	sim_stop();
}
END_TEST

START_TEST(an_isolated_domain_is_gone_after_the_mass_silence_timeout)
{
	sim_start(21, 7, 0, 1);
	ck_assert_int_eq(sim_run(20000), 0);
	sim.isolated_domain = 2;
	ck_assert_int_eq(sim_run(FAILURE_MASS_SILENCE_TIMEOUT_MS - STEP_MS), 0);
	sim_run(2 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert_int_eq(verdict(0, 2), FAILURE_GONE);
	ck_assert_int_eq(verdict(2, 9), FAILURE_ALIVE);
	sim.isolated_domain = -1;
	sim_run(2 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert_int_eq(count_false_gone(), 0);
	sim_stop();
}
END_TEST

START_TEST(a_flapping_vm_is_not_chosen_as_relay)
{
	int relay;

	sim_start(12, 3, 0, 1);
	ck_assert_int_eq(sim_run(20000), 0);
	relay = find_relay(0);
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
			ck_assert_int_ne(find_relay(0), relay);
	}
	sim_run(32 * FAILURE_RELAY_PROBATION_MS);
	ck_assert_int_eq(find_relay(0), relay);
	sim_stop();
}
END_TEST

START_TEST(changes_reach_all_despite_message_loss)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct failure_member_status status;

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
			    sim.vms[i].failure, "vm-5", sim.now_us, &status));
			ck_assert_uint_eq(status.member.config_version, 77);
			ck_assert(status.member.draining);
		}
		sim.loss_probability = 0;
		sim_run(FAILURE_GONE_TIMEOUT_MS);
		ck_assert_int_ne(find_relay(5), 5);
		sim_stop();
	}
}
END_TEST

START_TEST(a_version_change_is_sent_as_a_partial_update)
{
	struct failure_member_status status;

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
		int observer = i / sim.count;
		int subject = i % sim.count;

		if (observer == subject)
			continue;
		ck_assert(failure_member_status(sim.vms[observer].failure,
		    sim.vms[subject].self.vm, sim.now_us, &status));
		ck_assert_uint_eq(status.member.config_version, 9);
		ck_assert_str_eq(status.member.failure_domain,
		    sim.vms[subject].self.failure_domain);
	}
	vm_stop(8);
	sim_run(3 * FAILURE_GONE_TIMEOUT_MS);
	ck_assert(is_gone_everywhere(8));
	sim_stop();
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    all_agree_on_one_relay,
	    a_dead_vm_is_reported_gone_everywhere_in_time,
	    a_dead_relay_makes_no_other_vm_gone,
	    a_listed_vm_never_heard_from_is_gone_in_time,
	    an_isolated_domain_is_gone_after_the_mass_silence_timeout,
	    a_flapping_vm_is_not_chosen_as_relay,
	    changes_reach_all_despite_message_loss,
	    a_version_change_is_sent_as_a_partial_update,
	};

	return run_tests(
	    "peer_failure", tests, sizeof(tests) / sizeof(tests[0]));
}
