#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/rng.h"
#include "dispatch/affinity.h"
#include "dispatch/backends.h"
#include "tests/runner.h"
#include "tests/times.h"

enum {
	VMS_MAX = 420,
	SERVERS_MAX = 200,
	OBJECTS = 4000,
	DOMAINS = 6,
	SLOTS = 6, /**< concurrent requests of a tool server */
	RESPONSES_MAX = 400000,
	SECONDS_MAX = 100,
	/* Loads within a failure domain, and between them. */
	NEAR_REPORT_US = 100 * US_PER_MS,
	FAR_REPORT_US = 500 * US_PER_MS,
	/* How long a server remembers an object. */
	MEMORY_US = 60 * US_PER_S,
	POPULAR_US = 5 * US_PER_S, /**< how long an object is popular */
	NEVER = -1000000000,
};

/* What a hit takes, as a share of the time of other requests. */
static const double HIT_SHARE = 0.5;
/* A server's requests about a popular object, relative to an equal share of the
 * servers that it needs: what the release allows for busy servers. */
static const double SHARE_MAX = 1.5;
/* Share of its slots that a server may spend on a popular object. */
static const double OBJECT_LOAD_SHARE = 0.5;
/* Learned gain of a route whose hits save half of the work. */
static const double GAIN_LOW = 0.4;
static const double GAIN_HIGH = 0.6;
static const uint64_t ROUTE = 17;

enum event_type {
	EVENT_ARRIVAL,
	EVENT_COMPLETION,
	EVENT_REPORT,
};

struct event {
	int64_t at_us;
	enum event_type type;
	int request;
};

/** A request about an object, from its arrival at a VM to its response. */
struct call {
	int vm;
	int server;
	int object;
	int64_t arrived_us;
	bool popular;
	bool hit;
	bool was_handled; /**< a server has handled the object within MEMORY_US
			   */
	struct affinity_sample sample;
	double server_load; /**< of the server when it was sent */
	int next;           /**< in the server's queue; -1: last */
};

struct server {
	char id[NAME_BYTES];
	bool up;
	double speed;
	int running;
	int first, last;               /**< queue of calls; -1: empty */
	int64_t handled_us[OBJECTS];   /**< when it last handled an object */
	int popular_by_s[SECONDS_MAX]; /**< its popular requests by second */
	int64_t busy_us;
};

struct scenario {
	int vms;
	int servers;
	double load;          /**< of the servers' capacity without hits */
	double popular_share; /**< of requests about the popular object */
	double work_us;
	double hit_share; /**< time of a hit relative to other requests */
	int64_t duration_us;
	bool no_affinity;
	int64_t popular_every_us;
	uint64_t seed;
};

struct result {
	double mean_us;
	double p95_us;
	double busy_us; /**< work of all servers */
	int calls;
	int hits;
	int possible_hits;
};

static struct {
	struct scenario scenario;
	struct rng rng;
	struct backends *vms[VMS_MAX];
	int running[VMS_MAX][SERVERS_MAX];
	int domain_running[DOMAINS][SERVERS_MAX];
	int far_running[DOMAINS][SERVERS_MAX];
	struct server servers[SERVERS_MAX];
	struct call *calls;
	int call_count;
	struct event *events; /**< binary heap */
	int event_count;
	int64_t now_us;
	int64_t *elapsed_us;
	int elapsed_count;
	int64_t handled_us[OBJECTS]; /**< by any server */
	struct result result;
	/** Called at each report; changes the fleet. */
	void (*on_report)(void);
	/** Servers that a VM does not see. */
	bool (*hidden)(int vm, int server);
} fleet;

/* Tells a VM of a response. */
static void
complete(struct backends *backends, struct backend *backend, double load,
    int64_t elapsed_us, int64_t now_us)
{
	const struct backend_response_time response = {
	    .load = load,
	    .elapsed_us = elapsed_us,
	    .ended_us = now_us,
	};

	backend_response_completed(backends, backend, &response);
}

static void
event_add(int64_t at_us, enum event_type type, int request)
{
	int at = fleet.event_count++;

	ck_assert_int_lt(fleet.event_count, RESPONSES_MAX);
	while (at > 0 && fleet.events[(at - 1) / 2].at_us > at_us) {
		fleet.events[at] = fleet.events[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	fleet.events[at] = (struct event){at_us, type, request};
}

static struct event
event_take(void)
{
	struct event first = fleet.events[0];
	struct event last = fleet.events[--fleet.event_count];
	int at = 0;

	for (;;) {
		int child = 2 * at + 1;

		if (child >= fleet.event_count)
			break;
		if (child + 1 < fleet.event_count &&
		    fleet.events[child + 1].at_us < fleet.events[child].at_us)
			child++;
		if (fleet.events[child].at_us >= last.at_us)
			break;
		fleet.events[at] = fleet.events[child];
		at = child;
	}
	fleet.events[at] = last;
	return first;
}

static void
list_server(int vm, int server, int64_t started_wall_ms)
{
	struct backend_entry entry = {
	    .slots = SLOTS, .started_wall_ms = started_wall_ms};

	if (fleet.hidden != NULL && fleet.hidden(vm, server))
		return;
	memcpy(entry.id, fleet.servers[server].id, sizeof(entry.id));
	snprintf(entry.service, sizeof(entry.service), "tool");
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:80");
	snprintf(entry.failure_domain, sizeof(entry.failure_domain), "d");
	backends_update(fleet.vms[vm], &entry, "r");
}

static void
start_server(int server, int64_t started_wall_ms)
{
	struct server *s = &fleet.servers[server];

	s->up = true;
	for (int i = 0; i < OBJECTS; i++)
		s->handled_us[i] = NEVER;
	for (int vm = 0; vm < fleet.scenario.vms; vm++)
		list_server(vm, server, started_wall_ms);
}

static void
stop_server(int server)
{
	fleet.servers[server].up = false;
	for (int vm = 0; vm < fleet.scenario.vms; vm++)
		backends_remove(fleet.vms[vm], fleet.servers[server].id);
}

static void
start_vm(int vm)
{
	if (fleet.vms[vm] == NULL)
		fleet.vms[vm] = xcalloc(1, sizeof(*fleet.vms[vm]));
	backends_init(fleet.vms[vm], "r", "d", (uint64_t)vm + 1);
}

static void
fleet_reset(void)
{
	for (int vm = 0; vm < VMS_MAX; vm++) {
		if (fleet.vms[vm] == NULL)
			continue;
		backends_reset(fleet.vms[vm]);
		free(fleet.vms[vm]);
	}
	free(fleet.calls);
	free(fleet.events);
	free(fleet.elapsed_us);
	memset(&fleet, 0, sizeof(fleet));
}

static void
fleet_init(const struct scenario *scenario)
{
	void (*on_report)(void) = fleet.on_report;
	bool (*hidden)(int, int) = fleet.hidden;

	fleet_reset();
	fleet.on_report = on_report;
	fleet.hidden = hidden;
	fleet.scenario = *scenario;
	fleet.calls = xcalloc(RESPONSES_MAX, sizeof(*fleet.calls));
	fleet.events = xcalloc(RESPONSES_MAX, sizeof(*fleet.events));
	fleet.elapsed_us = xcalloc(RESPONSES_MAX, sizeof(*fleet.elapsed_us));
	rng_init(&fleet.rng, scenario->seed);
	for (int i = 0; i < OBJECTS; i++)
		fleet.handled_us[i] = NEVER;
	for (int vm = 0; vm < scenario->vms; vm++)
		start_vm(vm);
	for (int i = 0; i < scenario->servers; i++) {
		struct server *server = &fleet.servers[i];

		snprintf(server->id, sizeof(server->id), "server-%d", i);
		server->speed = 1;
		server->first = -1;
		start_server(i, 1);
	}
}

static bool
is_popular_time(int64_t at_us)
{
	const struct scenario *scenario = &fleet.scenario;

	return scenario->popular_every_us > 0 &&
	    at_us % scenario->popular_every_us >=
	    scenario->popular_every_us - POPULAR_US;
}

static void
draw_object(struct call *call)
{
	call->popular = is_popular_time(fleet.now_us) &&
	    rng_real(&fleet.rng) < fleet.scenario.popular_share;
	if (call->popular)
		call->object =
		    (int)(fleet.now_us / fleet.scenario.popular_every_us * 7) %
		    OBJECTS;
	else
		call->object = (int)rng_below(&fleet.rng, OBJECTS);
}

static struct backend_request
request_of(const struct call *call, int number)
{
	struct backend_request request = {.service = "tool", .preferred = ""};

	if (fleet.scenario.no_affinity)
		return request;
	request.affinity.object =
	    hash_bytes(&call->object, sizeof(call->object), 0);
	request.affinity.route = ROUTE;
	/* A half hears only its own VMs. */
	backends_find_homes(fleet.vms[call->vm], &request,
	    hash_bytes(&number, sizeof(number), 0),
	    (size_t)fleet.scenario.vms / (fleet.hidden != NULL ? 2 : 1),
	    fleet.now_us);
	return request;
}

static void
run_call(int number)
{
	struct call *call = &fleet.calls[number];
	struct server *server = &fleet.servers[call->server];
	double us = fleet.scenario.work_us * server->speed *
	    (0.8 + 0.4 * rng_real(&fleet.rng));

	call->hit =
	    fleet.now_us - server->handled_us[call->object] <= MEMORY_US;
	call->was_handled =
	    fleet.now_us - fleet.handled_us[call->object] <= MEMORY_US;
	if (call->hit)
		us *= fleet.scenario.hit_share;
	server->running++;
	server->busy_us += (int64_t)us;
	event_add(fleet.now_us + (int64_t)us, EVENT_COMPLETION, number);
}

static void
enqueue(int number)
{
	struct call *call = &fleet.calls[number];
	struct server *server = &fleet.servers[call->server];

	call->next = -1;
	if (server->running < SLOTS) {
		run_call(number);
		return;
	}
	if (server->first < 0)
		server->first = number;
	else
		fleet.calls[server->last].next = number;
	server->last = number;
}

static void
handle_arrival(void)
{
	const struct scenario *scenario = &fleet.scenario;
	int number = fleet.call_count++;
	struct call *call = &fleet.calls[number];
	double per_us =
	    scenario->load * scenario->servers * SLOTS / scenario->work_us;
	struct backend_request request;
	struct backend *backend;

	ck_assert_int_lt(fleet.call_count, RESPONSES_MAX);
	call->vm = (int)rng_below(&fleet.rng, (uint64_t)scenario->vms);
	call->arrived_us = fleet.now_us;
	draw_object(call);
	request = request_of(call, number);
	backend = backends_choose(fleet.vms[call->vm], &request, fleet.now_us);
	ck_assert_ptr_nonnull(backend);
	call->server = atoi(backend->entry.id + strlen("server-"));
	call->sample = backend_affinity_sample(
	    fleet.vms[call->vm], backend, &request, fleet.now_us);
	call->server_load = backend_load(backend);
	backend_request_started(
	    fleet.vms[call->vm], backend, &request, fleet.now_us);
	fleet.running[call->vm][call->server]++;
	if (call->popular && fleet.now_us / US_PER_S < SECONDS_MAX)
		fleet.servers[call->server]
		    .popular_by_s[fleet.now_us / US_PER_S]++;
	enqueue(number);
	event_add(
	    fleet.now_us + (int64_t)rng_exponential(&fleet.rng, 1 / per_us),
	    EVENT_ARRIVAL, 0);
}

static void
handle_completion(int number)
{
	const struct call *call = &fleet.calls[number];
	struct server *server = &fleet.servers[call->server];
	struct backends *vm = fleet.vms[call->vm];
	struct backend *backend = backends_find(vm, server->id);
	int64_t elapsed_us = fleet.now_us - call->arrived_us;

	server->running--;
	server->handled_us[call->object] = fleet.now_us;
	fleet.handled_us[call->object] = fleet.now_us;
	if (server->first >= 0) {
		int first = server->first;

		server->first = fleet.calls[first].next;
		run_call(first);
	}
	fleet.running[call->vm][call->server]--;
	fleet.elapsed_us[fleet.elapsed_count++] = elapsed_us;
	fleet.result.hits += call->hit;
	fleet.result.possible_hits += call->was_handled;
	if (backend == NULL || backend->running == 0)
		return; /* the VM has restarted */
	affinity_learn(&vm->affinity, &call->sample, elapsed_us);
	complete(vm, backend, call->server_load,
	    affinity_neutral_us(&vm->affinity, &call->sample, elapsed_us),
	    fleet.now_us);
	backend_request_ended(vm, backend);
}

/* Tells all VMs the loads of the others, as the heartbeats do. */
static void
handle_report(void)
{
	const struct scenario *scenario = &fleet.scenario;

	memset(fleet.domain_running, 0, sizeof(fleet.domain_running));
	for (int vm = 0; vm < scenario->vms; vm++) {
		for (int i = 0; i < scenario->servers; i++)
			fleet.domain_running[vm % DOMAINS][i] +=
			    fleet.running[vm][i];
	}
	if (fleet.now_us % FAR_REPORT_US == 0)
		memcpy(fleet.far_running, fleet.domain_running,
		    sizeof(fleet.far_running));
	for (int i = 0; i < scenario->servers; i++) {
		uint64_t hash = hash_text(fleet.servers[i].id, 0);
		int far = 0;

		for (int domain = 0; domain < DOMAINS; domain++)
			far += fleet.far_running[domain][i];
		for (int vm = 0; vm < scenario->vms; vm++) {
			int domain = vm % DOMAINS;
			struct backend *backend =
			    backends_find_hash(fleet.vms[vm], hash);

			if (backend != NULL)
				backend->remote_running = (uint32_t)(far -
				    fleet.far_running[domain][i] +
				    fleet.domain_running[domain][i] -
				    fleet.running[vm][i]);
		}
	}
	if (fleet.on_report != NULL)
		fleet.on_report();
	event_add(fleet.now_us + NEAR_REPORT_US, EVENT_REPORT, 0);
}

static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static void
summarize(void)
{
	struct result *result = &fleet.result;
	double sum = 0;

	result->calls = fleet.elapsed_count;
	for (int i = 0; i < fleet.elapsed_count; i++)
		sum += (double)fleet.elapsed_us[i];
	qsort(fleet.elapsed_us, (size_t)fleet.elapsed_count,
	    sizeof(*fleet.elapsed_us), compare_times);
	result->mean_us = sum / fleet.elapsed_count;
	result->p95_us =
	    (double)fleet.elapsed_us[(int)(0.95 * fleet.elapsed_count)];
	for (int i = 0; i < fleet.scenario.servers; i++)
		result->busy_us += (double)fleet.servers[i].busy_us;
}

static struct result
run(const struct scenario *scenario)
{
	fleet_init(scenario);
	event_add(0, EVENT_ARRIVAL, 0);
	event_add(0, EVENT_REPORT, 0);
	while (fleet.now_us < scenario->duration_us) {
		struct event event = event_take();

		fleet.now_us = event.at_us;
		switch (event.type) {
		case EVENT_ARRIVAL:
			handle_arrival();
			break;
		case EVENT_COMPLETION:
			handle_completion(event.request);
			break;
		case EVENT_REPORT:
			handle_report();
			break;
		}
	}
	summarize();
	return fleet.result;
}

/* The tool servers and VMs of sors. */
static struct scenario
sors(double load)
{
	return (struct scenario){
	    .vms = 85,
	    .servers = 22,
	    .load = load,
	    .popular_share = 0.34,
	    .work_us = 104 * US_PER_MS,
	    .hit_share = HIT_SHARE,
	    .duration_us = seconds(45),
	    .popular_every_us = seconds(15),
	};
}

static void
print_comparison(const char *name, const struct scenario *scenario,
    const struct result *with, const struct result *without)
{
	printf("%s at %.0f %%: mean %.1f ms (least loaded %.1f), p95 %.1f "
	       "(%.1f), work %.2f of it, hits %d of %d possible (%d)\n",
	    name, scenario->load * 100, with->mean_us / US_PER_MS,
	    without->mean_us / US_PER_MS, with->p95_us / US_PER_MS,
	    without->p95_us / US_PER_MS, with->busy_us / without->busy_us,
	    with->hits, with->possible_hits, without->hits);
}

static double mean_gain(enum affinity_class class)
{
	double sum = 0;

	for (int vm = 0; vm < fleet.scenario.vms; vm++)
		sum += affinity_gain(&fleet.vms[vm]->affinity, ROUTE, class);
	return sum / fleet.scenario.vms;
}

/* Runs a scenario with and without affinity. Callers must not be worse off. */
static struct result
compare(const char *name, struct scenario scenario, struct result *without)
{
	struct result with;

	scenario.no_affinity = true;
	*without = run(&scenario);
	scenario.no_affinity = false;
	with = run(&scenario);
	print_comparison(name, &scenario, &with, without);
	ck_assert_double_le(with.mean_us, without->mean_us);
	ck_assert_double_le(with.p95_us, without->p95_us);
	return with;
}

/* Guards against a preference that costs callers more waiting than it saves
 * work, at low, usual and high load. */
START_TEST(callers_are_never_worse_off)
{
	static const double loads[] = {0.3, 0.6, 0.9};

	for (uint64_t seed = 1; seed <= 3; seed++) {
		for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
			struct scenario scenario = sors(loads[i]);
			struct result without;
			struct result with;

			scenario.seed = seed;
			with = compare("sors", scenario, &without);
			ck_assert_int_gt(with.hits, without.hits);
			ck_assert_double_lt(with.busy_us, without.busy_us);
		}
	}
}
END_TEST

/* Guards against a gain that is not recognized, or is overestimated because
 * homes are chosen at other loads than other servers. */
START_TEST(learned_gain_is_half_of_the_work)
{
	static const double loads[] = {0.3, 0.6};

	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		struct scenario scenario = sors(loads[i]);
		double gain;

		run(&scenario);
		gain = mean_gain(AFFINITY_SEEN);
		printf("learned gain at %.0f %%: %.2f\n", loads[i] * 100, gain);
		ck_assert_double_ge(gain, GAIN_LOW);
		ck_assert_double_le(gain, GAIN_HIGH);
	}
}
END_TEST

/* The rates of the three deployments: guards against a fleet in which each VM
 * sees so few requests that it never finds the homes. */
START_TEST(small_rates_find_the_homes)
{
	static const struct {
		const char *name;
		int vms, servers;
		double per_s;
	} fleets[] = {
	    {"hkl", 62, 30, 38.8},
	    {"sors", 85, 22, 45.8},
	    {"lumaris-now", 58, 6, 29.6},
	};

	for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		struct scenario scenario = sors(0);
		struct result without;
		struct result with;

		scenario.vms = fleets[i].vms;
		scenario.servers = fleets[i].servers;
		scenario.load = fleets[i].per_s * scenario.work_us / US_PER_S /
		    (SLOTS * scenario.servers);
		with = compare(fleets[i].name, scenario, &without);
		ck_assert_int_gt(with.hits, without.hits);
	}
}
END_TEST

/* A route without a gain must lose the preference within some dozens of
 * requests of a VM: it would only unbalance the servers. */
START_TEST(route_without_gain_loses_the_preference)
{
	struct affinity_target target = {.object = 1, .route = ROUTE};
	struct affinity affinity = {0};
	struct rng rng;

	rng_init(&rng, 1);
	ck_assert_double_gt(affinity_gain(&affinity, ROUTE, AFFINITY_HOME), 0);
	for (int i = 0; i < 60; i++) {
		const struct affinity_sample sample = {
		    .route = ROUTE,
		    .class = i % 8 == 0 ? AFFINITY_OTHER : AFFINITY_HOME,
		    .expected_us = 100 * US_PER_MS,
		};

		affinity_learn(&affinity, &sample,
		    ms(80) + (int64_t)rng_below(&rng, 40UL * US_PER_MS));
	}
	ck_assert_double_eq(affinity_gain(&affinity, ROUTE, AFFINITY_HOME), 0);
	ck_assert_double_eq(
	    affinity_saving_us(&affinity, &target, 1, US_PER_S, US_PER_S), 0);
	affinity_reset(&affinity);
}
END_TEST

/* The same in a fleet: the choice is the least-loaded one but for the probes.
 * Both runs vary by chance, so the sums of several seeds are compared, within
 * two standard errors of the runs without affinity. */
START_TEST(fleet_without_gain_is_not_worse_off)
{
	static const double loads[] = {0.3, 0.6, 0.9};
	enum { SEEDS = 4 };

	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		double with_us = 0;
		double without_us = 0;
		double squares = 0;
		double error_us;

		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			struct scenario scenario = sors(loads[i]);
			double mean_us;

			scenario.duration_us = seconds(30);
			scenario.hit_share = 1;
			scenario.seed = seed;
			with_us += run(&scenario).mean_us / SEEDS;
			scenario.no_affinity = true;
			mean_us = run(&scenario).mean_us;
			without_us += mean_us / SEEDS;
			squares += mean_us * mean_us / SEEDS;
		}
		error_us =
		    sqrt((squares - without_us * without_us) * 2 / (SEEDS - 1));
		printf("without a gain at %.0f %%: mean %.1f ms (least loaded "
		       "%.1f, standard error of the difference %.1f)\n",
		    loads[i] * 100, with_us / US_PER_MS, without_us / US_PER_MS,
		    error_us / US_PER_MS);
		ck_assert_double_le(with_us, without_us + 2 * error_us);
	}
}
END_TEST

/* A fleet of large VMs before many servers, in which a popular object needs
 * several of them. */
static struct scenario
large(double load)
{
	struct scenario scenario = sors(load);

	scenario.vms = 200;
	scenario.servers = 60;
	scenario.popular_share = 0.4;
	scenario.duration_us = seconds(30);
	return scenario;
}

/* Returns how many servers a popular object needs so that each spends at most
 * OBJECT_LOAD_SHARE of its slots on it. */
static int
servers_needed(const struct scenario *scenario)
{
	double busy = scenario->load * scenario->popular_share *
	    scenario->servers * SLOTS * scenario->hit_share;

	return (int)ceil(busy / (SLOTS * OBJECT_LOAD_SHARE));
}

/* Checks the load of a popular object from one second after it became popular.
 */
static void
check_popular_load(const struct scenario *scenario)
{
	int every_s = (int)(scenario->popular_every_us / US_PER_S);
	int length_s = POPULAR_US / US_PER_S;
	int needed = servers_needed(scenario);
	double per_s = scenario->load * scenario->popular_share *
	    scenario->servers * SLOTS * US_PER_S / scenario->work_us;
	double most = 0;

	for (int s = 0; s < scenario->duration_us / US_PER_S; s++) {
		if (s % every_s <= every_s - length_s)
			continue;
		for (int i = 0; i < scenario->servers; i++) {
			double share =
			    fleet.servers[i].popular_by_s[s] * needed / per_s;

			most = share > most ? share : most;
		}
	}
	printf("popular object: %.0f requests per second need %d of %d "
	       "servers at %.0f %% load, busiest %.2f of its share\n",
	    per_s, needed, scenario->servers, scenario->load * 100, most);
	ck_assert_double_le(most, SHARE_MAX);
}

/* Guards against hot spots: all VMs send a popular object to one home. */
START_TEST(popular_object_is_spread_within_a_second)
{
	static const double loads[] = {0.1, 0.3, 0.6};

	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		struct scenario scenario = large(loads[i]);

		run(&scenario);
		check_popular_load(&scenario);
	}
}
END_TEST

/* One VM with servers s0 .. s5 of its own failure domain; r0 is in another
 * region. */
static struct backends single;
/* Responses within 600 ms count like one. */
static int64_t single_ended_us;

static void
complete_single(struct backend *backend, int64_t elapsed_us)
{
	single_ended_us += US_PER_S;
	complete(&single, backend, 0, elapsed_us, single_ended_us);
}

static struct backend *
add_single(const char *id, const char *region, int64_t started_wall_ms)
{
	struct backend_entry entry = {
	    .slots = SLOTS, .started_wall_ms = started_wall_ms};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "tool");
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:80");
	snprintf(entry.failure_domain, sizeof(entry.failure_domain), "d");
	backends_update(&single, &entry, region);
	return backends_find(&single, id);
}

static void
single_init(uint64_t seed)
{
	char id[NAME_BYTES];

	backends_reset(&single);
	backends_init(&single, "r", "d", seed);
	for (int i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		complete_single(add_single(id, "r", 1), ms(100));
	}
	complete_single(add_single("r0", "far", 1), ms(100));
}

/* A response of each server, in 100 ms but for one of them. A server's speed is
 * learned against the mean of its service. */
static void
complete_all(const struct backend *except, int64_t elapsed_us)
{
	for (struct backend *backend = single.by_id; backend != NULL;
	     backend = backend->hh.next)
		complete_single(
		    backend, backend == except ? elapsed_us : ms(100));
}

/* Teaches the VM that hits save half of the time. */
static void
learn_gain(void)
{
	for (int i = 0; i < 200; i++) {
		const struct affinity_sample sample = {
		    .route = ROUTE,
		    .class = (enum affinity_class)(i % AFFINITY_CLASS_COUNT),
		    .expected_us = 100 * US_PER_MS,
		};

		affinity_learn(&single.affinity, &sample,
		    ms(sample.class == AFFINITY_OTHER ? 100 : 50));
	}
}

static struct backend_request
request_about(uint64_t object, int64_t now_us)
{
	struct backend_request request = {
	    .service = "tool",
	    .preferred = "",
	    .affinity = {.object = object, .route = ROUTE},
	};

	/* Neither a control nor a probe. */
	backends_find_homes(&single, &request, 3, 10, now_us);
	return request;
}

static const char *
home_of(uint64_t object, int64_t now_us)
{
	struct backend_request request = request_about(object, now_us);

	return backends_choose(&single, &request, now_us)->entry.id;
}

/* Guards against VMs that disagree on the home of an object, or that have to
 * learn it first. */
START_TEST(vm_without_a_table_finds_the_same_homes)
{
	char homes[50][NAME_BYTES];

	single_init(1);
	learn_gain();
	for (uint64_t object = 1; object < 50; object++)
		memcpy(homes[object], home_of(object, 0), NAME_BYTES);
	single_init(2);
	for (uint64_t object = 1; object < 50; object++)
		ck_assert_str_eq(home_of(object, 0), homes[object]);
}
END_TEST

/* Guards against objects that all move when a server comes or goes. */
START_TEST(only_objects_of_a_changed_server_move)
{
	char homes[600][NAME_BYTES];
	int moved = 0;

	single_init(1);
	learn_gain();
	for (uint64_t object = 1; object < 600; object++)
		memcpy(homes[object], home_of(object, 0), NAME_BYTES);
	complete_single(add_single("s6", "r", 1), ms(100));
	for (uint64_t object = 1; object < 600; object++) {
		const char *home = home_of(object, 0);

		if (strcmp(home, homes[object]) == 0)
			continue;
		ck_assert_str_eq(home, "s6");
		moved++;
	}
	ck_assert_int_gt(moved, 600L / 7 / 2);
	ck_assert_int_lt(moved, 600L / 7 * 2);
	backends_remove(&single, "s6");
	backends_remove(&single, "s0");
	for (uint64_t object = 1; object < 600; object++) {
		if (strcmp(homes[object], "s0") != 0)
			ck_assert_str_eq(home_of(object, 0), homes[object]);
	}
}
END_TEST

/* Guards against the preference for a server that has forgotten the object. */
START_TEST(restarted_server_has_seen_nothing)
{
	struct backend_request request;
	struct backend *backend;

	single_init(1);
	learn_gain();
	request = request_about(7, 0);
	backend = backends_choose(&single, &request, 0);
	backend_request_started(&single, backend, &request, 0);
	backend_request_ended(&single, backend);
	ck_assert_int_eq(affinity_class_of(&single.affinity, &request.affinity,
			     backend->hash),
	    AFFINITY_SEEN);
	add_single(backend->entry.id, "r", 2);
	ck_assert_int_eq(affinity_class_of(&single.affinity, &request.affinity,
			     backend->hash),
	    AFFINITY_HOME);
}
END_TEST

/* The saving is one term of the cost: a home loses if it is full, leaving,
 * paused after a failure or slow, and a server of another region has none. */
START_TEST(home_loses_to_a_free_server)
{
	struct backend *home;

	single_init(1);
	learn_gain();
	home = backends_find(&single, home_of(7, 0));
	home->remote_running = SLOTS - 1;
	ck_assert_str_eq(home_of(7, 0), home->entry.id);
	home->remote_running = 2 * SLOTS;
	ck_assert_str_ne(home_of(7, 0), home->entry.id);
	home->remote_running = 0;
	backend_failed(home, 0);
	ck_assert_str_ne(home_of(7, 0), home->entry.id);
	for (int i = 0; i < 50; i++)
		complete_all(home, ms(250));
	ck_assert_str_ne(home_of(7, 0), home->entry.id);
	for (int i = 0; i < 50; i++)
		complete_all(home, ms(100));
	ck_assert_str_eq(home_of(7, 0), home->entry.id);
	backends_mark_leaving(&single, home->entry.id, 1);
	ck_assert_str_ne(home_of(7, 0), home->entry.id);
	for (uint64_t object = 1; object < 200; object++)
		ck_assert_str_ne(home_of(object, 0), "r0");
}
END_TEST

/* A popular object gets further homes while it is popular, and one afterwards:
 * guards against objects that stay on many servers, in place of others. */
START_TEST(popular_object_releases_its_homes)
{
	int64_t now_us = 0;
	struct backend_request request;

	single_init(1);
	learn_gain();
	for (; now_us < POPULAR_US; now_us += ms(20)) {
		request = request_about(7, now_us);
		backend_request_started(&single,
		    backends_choose(&single, &request, now_us), &request,
		    now_us);
		if (now_us > US_PER_S)
			ck_assert_uint_ge(request.affinity.home_count, 4);
	}
	now_us += (int64_t)2 * POPULAR_US;
	request = request_about(7, now_us);
	ck_assert_uint_eq(request.affinity.home_count, 1);
	ck_assert_uint_eq(request_about(8, now_us).affinity.home_count, 1);
}
END_TEST

/* Guards against tables that grow with the number of objects, servers or
 * routes. */
START_TEST(tables_are_bounded)
{
	struct affinity affinity = {0};
	const struct affinity_capacity capacity = {
	    .response_us = 100, .slots = SLOTS, .vm_count = 1};

	for (uint64_t i = 1; i < 20000; i++) {
		struct affinity_target target = {.object = i, .route = i};
		const struct affinity_sample sample = {
		    .route = i, .class = AFFINITY_HOME, .expected_us = 1};

		affinity_target_init(
		    &affinity, &target, i, &capacity, (int64_t)i);
		affinity_request_started(&affinity, &target, i % 700);
		affinity_learn(&affinity, &sample, 1);
	}
	ck_assert_uint_le(affinity_entry_count(&affinity), 5000);
	affinity_reset(&affinity);
}
END_TEST

/* Two halves of the fleet each see two thirds of the servers; one third is seen
 * by both. */
static bool
is_hidden(int vm, int server)
{
	return vm % 2 == 0 ? server % 3 == 0 : server % 3 == 1;
}

/* Guards against a fleet whose halves overload the servers that both see. */
START_TEST(halves_that_see_different_servers)
{
	struct scenario scenario = large(0.3);
	struct result without;
	struct result with;

	fleet.hidden = is_hidden;
	with = compare("halves", scenario, &without);
	ck_assert_int_gt(with.hits, without.hits);
	check_popular_load(&scenario);
}
END_TEST

/* Servers restart, leave and come, and VMs start without a table, all the time.
 */
static void
change_fleet(void)
{
	int64_t second = fleet.now_us / US_PER_S;
	int server = (int)(second * 5 % fleet.scenario.servers);

	if (fleet.now_us % US_PER_S != 0 || second == 0)
		return;
	switch (second % 3) {
	case 0:
		start_server(server, second + 1);
		break;
	case 1:
		stop_server(server);
		break;
	default:
		backends_reset(fleet.vms[second]);
		start_vm((int)second);
		for (int i = 0; i < fleet.scenario.servers; i++)
			if (fleet.servers[i].up)
				list_server((int)second, i, 1);
		break;
	}
}

START_TEST(changes_of_the_fleet)
{
	struct scenario scenario = sors(0.3);
	struct result without;
	struct result with;

	scenario.duration_us = seconds(30);
	fleet.on_report = change_fleet;
	with = compare("changes", scenario, &without);
	ck_assert_int_gt(with.hits, without.hits);
}
END_TEST

enum {
	MODEL_SERVERS = 56,
	MODEL_SLOTS = 12,
	MODEL_REQUESTS = 20000,
	PREFIX_TOKENS = 4000,
	STREAM_TOKENS = 200,
	PROMPT_TOKEN_US = 6,       /* hkl: 170 prompt tokens per ms */
	GENERATED_TOKEN_US = 1260, /* hkl */
};

static void
add_model_servers(void)
{
	backends_reset(&single);
	backends_init(&single, "r", "d", 1);
	for (int i = 0; i < MODEL_SERVERS; i++) {
		struct backend_entry entry = {
		    .slots = MODEL_SLOTS, .started_wall_ms = 1};

		snprintf(entry.id, sizeof(entry.id), "m%d", i);
		snprintf(entry.service, sizeof(entry.service), "model");
		snprintf(
		    entry.failure_domain, sizeof(entry.failure_domain), "d");
		backends_update(&single, &entry, "r");
	}
}

/* Sends a stream every interval, 40 % of them with the popular prefix, and
 * counts those of each server. Returns the most that ran on one at a time. */
static uint32_t
run_streams(double interval_us, int counts[MODEL_SERVERS])
{
	static int64_t end_us[MODEL_REQUESTS];
	static struct backend *servers[MODEL_REQUESTS];
	struct prompt_part parts[2] = {0};
	struct backend_request request = {
	    .service = "model",
	    .preferred = "",
	    .is_stream = true,
	    .max_tokens = 2UL * STREAM_TOKENS,
	    .part_count = 2,
	    .parts = parts,
	};
	uint32_t most = 0;

	for (int i = 0; i < MODEL_REQUESTS; i++) {
		int64_t now_us = (int64_t)(interval_us * i);
		uint64_t number = (uint64_t)i;
		struct backend *server;

		for (int k = i > 2000 ? i - 2000 : 0; k < i; k++) {
			if (servers[k] != NULL && end_us[k] <= now_us) {
				backend_request_ended(&single, servers[k]);
				servers[k] = NULL;
			}
		}
		parts[0].id = i % 5 < 2 ? 1 : number + 2;
		parts[0].tokens = PREFIX_TOKENS;
		parts[1].id = number + 2 + (uint64_t)MODEL_REQUESTS;
		parts[1].tokens = 300;
		server = backends_choose(&single, &request, now_us);
		servers[i] = server;
		end_us[i] = now_us +
		    (int64_t)STREAM_TOKENS * GENERATED_TOKEN_US +
		    (int64_t)backend_uncached_tokens(
			&single, server, &request) *
			PROMPT_TOKEN_US;
		backend_request_started(&single, server, &request, now_us);
		most = server->running > most ? server->running : most;
		counts[atoi(server->entry.id + 1)]++;
	}
	return most;
}

/* Streams with cached prompts have no object affinity. Guards against a popular
 * prompt prefix (40 % of the requests) that overruns the servers that have it:
 * with hkl's servers no one may get more than 1.5 times the mean, nor more than
 * it has slots and half of them waiting. */
START_TEST(popular_prompt_prefix_does_not_overrun_its_servers)
{
	static const double loads[] = {0.3, 0.6, 0.9};

	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		int counts[MODEL_SERVERS] = {0};
		double stream_us =
		    STREAM_TOKENS * GENERATED_TOKEN_US + 300 * PROMPT_TOKEN_US;
		uint32_t running;
		int most = 0;

		add_model_servers();
		running = run_streams(
		    stream_us / (loads[i] * MODEL_SERVERS * MODEL_SLOTS),
		    counts);
		for (int k = 0; k < MODEL_SERVERS; k++)
			most = counts[k] > most ? counts[k] : most;
		printf("prefix at %.0f %% load: busiest %.2f of the mean, at "
		       "most %u running\n",
		    loads[i] * 100,
		    most * MODEL_SERVERS / (double)MODEL_REQUESTS, running);
		ck_assert_double_le(
		    most * MODEL_SERVERS, SHARE_MAX * MODEL_REQUESTS);
		ck_assert_double_le(running, SHARE_MAX * MODEL_SLOTS);
	}
}
END_TEST

static void
teardown(void)
{
	fleet_reset();
	backends_reset(&single);
}

int
main(void)
{
	const TTest *tests[] = {
	    callers_are_never_worse_off,
	    learned_gain_is_half_of_the_work,
	    small_rates_find_the_homes,
	    route_without_gain_loses_the_preference,
	    fleet_without_gain_is_not_worse_off,
	    popular_object_is_spread_within_a_second,
	    vm_without_a_table_finds_the_same_homes,
	    only_objects_of_a_changed_server_move,
	    restarted_server_has_seen_nothing,
	    home_loses_to_a_free_server,
	    popular_object_releases_its_homes,
	    tables_are_bounded,
	    halves_that_see_different_servers,
	    changes_of_the_fleet,
	    popular_prompt_prefix_does_not_overrun_its_servers,
	};

	return run_tests_in("affinity", tests, sizeof(tests) / sizeof(tests[0]),
	    NULL, teardown);
}
