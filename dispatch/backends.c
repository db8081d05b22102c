#include <float.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/backends.h"

enum {
	/* Pause after the first connection failure; each further one doubles
	 * the pause. */
	AVOID_MIN_US = 250 * US_PER_MS,
	AVOID_MAX_US = 2 * US_PER_S,
	DOMAIN_ROUND_TRIP_US = 3 * US_PER_MS,  /* between failure domains */
	REGION_ROUND_TRIP_US = 16 * US_PER_MS, /* between regions */
	/* Asking for a permit of a server that limits its requests. */
	PERMIT_ROUND_TRIP_US = 5 * US_PER_MS,
	DEFAULT_RESPONSE_US = 20 * US_PER_MS,
	NS_PER_US = 1000,
	/* Servers drawn at random for a choice. Fewer leave good servers out,
	 * more let all VMs send to the same ones: with 16, 24, 36 and all
	 * servers, 0.89, 0.90, 0.91 and 0.80 of the programs were in time with
	 * 195 VMs, and 0.88, 0.91, - and 0.88 with 62 (bench/placing_ways.c,
	 * load 0.2, MARGIN 0). */
	DRAWS = 24,
	/* Shorter times to read a prompt tell little of a server's speed. */
	PROMPT_SAMPLE_MIN_US = 5 * US_PER_MS,
};

/* Weight of the newest sample in a moving average. */
static const double AVERAGE_WEIGHT = 0.2;
/* Traffic between regions is billed; its price, expressed as a time. */
static const double REGION_COST_US = 30.0 * US_PER_MS;
/* Share of a request's own delay that it adds to each other request on its
 * server: while the server reads a prompt, it generates fewer tokens for all
 * others. */
static const double SHARED_DELAY = 0.5;
/* Expected length of a stream, as a share of max_tokens. */
static const double EXPECTED_TOKENS_SHARE = 0.5;
/* Limit on the expected number of tokens that a turn adds to those that its
 * preferred server has cached. */
static const uint32_t NEW_TOKENS_MAX = 1000;
/* Share of a server's slots up to which its load is low. The time per prompt
 * token is learned only from streams sent at low load. */
static const double LOW_LOAD_SHARE = 0.5;
/* Costs up to this share above the lowest are as good. */
static const double MARGIN = 0.03;

void
backends_init(struct backends *backends, const char *region,
    const char *failure_domain, uint64_t seed)
{
	*backends = (struct backends){0};
	snprintf(backends->region, sizeof(backends->region), "%s", region);
	snprintf(backends->failure_domain, sizeof(backends->failure_domain),
	    "%s", failure_domain);
	rng_init(&backends->rng, seed);
	backends->affinity.vm = rng_next(&backends->rng);
}

static void
backend_free(struct backends *backends, struct backend *backend)
{
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_DEL(backends->by_id, backend);
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_DELETE(hh_hash, backends->by_hash, backend);
	free(backend);
}

void
backends_reset(struct backends *backends)
{
	struct backend *backend, *next;
	struct backend_service *service, *next_service;

	HASH_ITER (hh, backends->by_id, backend, next)
		backend_free(backends, backend);
	HASH_ITER (hh, backends->services, service, next_service) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(backends->services, service);
		free(service);
	}
	residency_reset(&backends->residency);
	affinity_reset(&backends->affinity);
	leaving_reset(&backends->leaving);
	limits_reset(&backends->limits);
}

static struct backend_service *
find_service(const struct backends *backends, const char *name)
{
	struct backend_service *service;

	HASH_FIND_STR(backends->services, name, service);
	return service;
}

static struct backend_service *
ensure_service(struct backends *backends, const char *name)
{
	struct backend_service *service = find_service(backends, name);

	if (service != NULL)
		return service;
	service = xcalloc(1, sizeof(*service));
	snprintf(service->service, sizeof(service->service), "%s", name);
	HASH_ADD_STR(backends->services, service, service);
	return service;
}

struct backend *
backends_find(const struct backends *backends, const char *id)
{
	struct backend *backend;

	HASH_FIND_STR(backends->by_id, id, backend);
	return backend;
}

struct backend *
backends_find_hash(const struct backends *backends, uint64_t hash)
{
	struct backend *backend;

	HASH_FIND(hh_hash, backends->by_hash, &hash, sizeof(hash), backend);
	return backend;
}

void
backends_clear_remote(struct backends *backends)
{
	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next)
		backend->remote_running = 0;
}

void
backends_add_remote(struct backends *backends, uint64_t hash, uint32_t running)
{
	struct backend *backend = backends_find_hash(backends, hash);

	if (backend != NULL)
		backend->remote_running += running;
}

/* Resets what was learned of a server that has restarted under the same id: its
 * cache is empty and its speed may differ. */
static void
backend_reset_learned(struct backends *backends, struct backend *backend)
{
	backend->avoid_until_us = 0;
	backend->failures = 0;
	backend->speed = (struct server_speed){0};
	backend->mean_response_us = 0;
	residency_forget_server(&backends->residency, backend->hash);
	affinity_forget_server(&backends->affinity, backend->hash);
}

/* Hashes what decides how a server is used. */
static uint64_t
hash_entry(const struct backend_entry *entry)
{
	uint64_t hash = hash_text(entry->id, (uint64_t)entry->started_wall_ms);

	hash = hash_text(entry->service, hash);
	hash = hash_text(entry->address, hash + entry->slots);
	return hash_text(entry->failure_domain, hash + entry->draining);
}

static void
set_digest(struct backends *backends, struct backend *backend, uint64_t digest)
{
	backends->digest += digest - backend->digest;
	backend->digest = digest;
}

bool
backends_update(struct backends *backends, const struct backend_entry *entry,
    const char *region)
{
	struct backend *backend = backends_find(backends, entry->id);
	bool accepts_requests = !entry->draining;
	bool was_leaving;
	bool changed;

	if (backend == NULL) {
		backend = xcalloc(1, sizeof(*backend));
		memcpy(backend->entry.id, entry->id, sizeof(entry->id));
		backend->hash = hash_text(entry->id, 0);
		HASH_ADD_STR(backends->by_id, entry.id, backend);
		HASH_ADD(hh_hash, backends->by_hash, hash,
		    sizeof(backend->hash), backend);
	}
	was_leaving = backend->leaving;
	backend->leaving = leaving_contains(
	    &backends->leaving, backend->hash, entry->started_wall_ms);
	changed = backend->accepts_requests != accepts_requests ||
	    backend->leaving != was_leaving ||
	    strcmp(backend->entry.address, entry->address) != 0 ||
	    strcmp(backend->entry.service, entry->service) != 0 ||
	    backend->entry.started_wall_ms != entry->started_wall_ms;
	if (backend->entry.started_wall_ms != entry->started_wall_ms)
		backend_reset_learned(backends, backend);
	backend->entry = *entry;
	backend->fingerprint = 0;
	set_digest(backends, backend, hash_entry(entry));
	backend->service = ensure_service(backends, entry->service);
	backend->accepts_requests = accepts_requests;
	snprintf(backend->region, sizeof(backend->region), "%s", region);
	return changed;
}

bool
backends_remove(struct backends *backends, const char *id)
{
	struct backend *backend = backends_find(backends, id);
	bool accepts_requests;

	if (backend == NULL)
		return false;
	accepts_requests = backend->accepts_requests;
	backend->accepts_requests = false;
	backend->fingerprint = 0;
	set_digest(backends, backend, 0);
	if (backend->running == 0)
		backend_free(backends, backend);
	return accepts_requests;
}

bool
backends_mark_leaving(
    struct backends *backends, const char *id, int64_t started_wall_ms)
{
	struct backend *backend = backends_find(backends, id);

	if (!leaving_add(&backends->leaving, hash_text(id, 0), started_wall_ms))
		return false;
	if (backend != NULL &&
	    backend->entry.started_wall_ms == started_wall_ms)
		backend->leaving = true;
	return true;
}

static bool
is_excluded(
    const struct backend_request *request, const struct backend *backend)
{
	for (size_t i = 0; i < request->excluded_count; i++) {
		if (strcmp(request->excluded_servers[i], backend->entry.id) ==
		    0)
			return true;
	}
	return false;
}

bool
backend_is_available(const struct backend *backend, const char *service)
{
	return backend->accepts_requests && !backend->leaving &&
	    strcmp(backend->entry.service, service) == 0;
}

bool
backends_has_available(const struct backends *backends, const char *service)
{
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (backend_is_available(backend, service))
			return true;
	}
	return false;
}

static bool
is_in_region(const struct backends *backends, const struct backend *backend)
{
	return strcmp(backend->region, backends->region) == 0;
}

static int64_t
round_trip_us(const struct backends *backends, const struct backend *backend)
{
	if (!is_in_region(backends, backend))
		return REGION_ROUND_TRIP_US;
	if (strcmp(backend->entry.failure_domain, backends->failure_domain) !=
	    0)
		return DOMAIN_ROUND_TRIP_US;
	return 0;
}

static double
distance_us(const struct backends *backends, const struct backend *backend)
{
	double us = (double)round_trip_us(backends, backend);

	return is_in_region(backends, backend) ? us : us + REGION_COST_US;
}

double
backend_load(const struct backend *backend)
{
	return (double)backend->running + (double)backend->remote_running +
	    backend->other_domains_running;
}

static bool
is_preferred(
    const struct backend *backend, const struct backend_request *request)
{
	return strcmp(request->preferred, backend->entry.id) == 0;
}

uint64_t
backend_uncached_tokens(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request)
{
	uint64_t cached = 0;
	uint64_t total = 0;
	uint32_t last;

	if (request->part_count == 0)
		return request->prompt_tokens;
	last = request->parts[request->part_count - 1].tokens;
	for (size_t i = 0; i < request->part_count; i++)
		total += request->parts[i].tokens;
	if (is_preferred(backend, request))
		return last < NEW_TOKENS_MAX ? last : NEW_TOKENS_MAX;
	for (size_t i = 0; i < request->part_count; i++) {
		const struct prompt_part *part = &request->parts[i];
		uint32_t tokens = residency_tokens(
		    &backends->residency, part->id, backend->hash);

		if (tokens >= part->tokens) {
			cached += part->tokens;
			continue;
		}
		cached += tokens;
		break;
	}
	return total - cached;
}

/* Returns the expected time of a stream on a server, plus the delay that it
 * causes for other requests. */
static double
stream_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request, int64_t now_us)
{
	const struct backend_service *service = backend->service;
	double load = backend_load(backend);
	double tokens = (double)request->max_tokens * EXPECTED_TOKENS_SHARE;
	double prompt_us =
	    (double)backend_uncached_tokens(backends, backend, request) *
	    speed_prompt_token_us(&service->speed);
	double token_us = speed_token_us(&service->speed, load);
	double slope_us = speed_token_slope_us(&service->speed);

	return speed_ratio_get(&backend->speed.prompt, now_us) * prompt_us *
	    (1 + SHARED_DELAY * load) +
	    speed_ratio_get(&backend->speed.token, now_us) * tokens *
	    (token_us + SHARED_DELAY * load * slope_us);
}

/* Returns the mean time of a response of a server at low load; 0 if unknown. */
static double
known_response_us(const struct backend *backend, int64_t now_us)
{
	return speed_ratio_get(&backend->speed.response, now_us) *
	    backend->service->speed.response_us;
}

static double
idle_response_us(const struct backend *backend, int64_t now_us)
{
	double us = known_response_us(backend, now_us);

	return us > 0 ? us : DEFAULT_RESPONSE_US;
}

static double
response_us(const struct backend *backend, int64_t now_us)
{
	return idle_response_us(backend, now_us) *
	    (1 + backend_load(backend) / backend->entry.slots);
}

/* Returns by what factor the queue of a server with that many other requests
 * prolongs a request. Requests beyond its slots wait for earlier ones. */
static double
queue_factor(const struct backend *backend, double load)
{
	double excess = load - backend->entry.slots + 1;

	return excess > 0 ? 1 + excess / backend->entry.slots : 1;
}

/* Returns the expected cost of a request on a server as a time. */
static double
cost_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request, int64_t now_us)
{
	double work_us = request->is_stream
	    ? stream_us(backends, backend, request, now_us)
	    : response_us(backend, now_us);
	double idle_us =
	    request->is_stream ? work_us : idle_response_us(backend, now_us);
	/* The wait for a slot is not saved. */
	double saving_us = affinity_saving_us(&backends->affinity,
	    &request->affinity, backend->hash, idle_us, work_us - idle_us);

	return distance_us(backends, backend) +
	    work_us * queue_factor(backend, backend_load(backend)) - saving_us;
}

double
backend_expected_cost_us(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request,
    int64_t now_us)
{
	return cost_us(backends, backend, request, now_us);
}

struct limit *
backend_limit(const struct backends *backends, const struct backend *backend)
{
	const struct server_start start = {
	    .server = backend->hash,
	    .started_wall_ms = backend->entry.started_wall_ms,
	};

	if (backends->limits.entries == NULL)
		return NULL;
	return limits_find(&backends->limits, &start);
}

/* Returns the expected delay for a permit: 0 if none is needed, and INT64_MAX
 * if the request can't have one in time. */
static int64_t
permit_delay_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request, int64_t now_us)
{
	const struct limit *limit = backend_limit(backends, backend);
	int64_t wait_us;

	if (limit == NULL)
		return 0;
	wait_us = limit_permit_wait_us(limit, now_us);
	if (!request->permits_allowed || wait_us > request->max_permit_wait_us)
		return INT64_MAX;
	return PERMIT_ROUND_TRIP_US + wait_us;
}

int64_t
backends_limited_retry_us(struct backends *backends, const char *service,
    size_t vm_count, int64_t now_us)
{
	int64_t wait_us = INT64_MAX;
	double per_s = 0;

	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		const struct limit *limit = backend_limit(backends, backend);

		if (limit == NULL || !backend_is_available(backend, service))
			continue;
		per_s += limit->statement.per_s;
		if (limit_permit_wait_us(limit, now_us) < wait_us)
			wait_us = limit_permit_wait_us(limit, now_us);
	}
	if (wait_us == INT64_MAX)
		return 0;
	return return_schedule_add(&ensure_service(backends, service)->returns,
	    wait_us, per_s / (double)vm_count, now_us);
}

/* Computes the cost of a request on each server, DBL_MAX if it must not be
 * chosen. Servers in the pause after a failure are left out unless avoided is
 * set. Returns the server with the lowest cost. */
static struct backend *
compute_costs(struct backends *backends, const struct backend_request *request,
    int64_t now_us, bool avoided)
{
	struct backend *best = NULL;

	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		int64_t delay_us;

		backend->cost_us = DBL_MAX;
		if (!backend_is_available(backend, request->service) ||
		    is_excluded(request, backend) ||
		    (backend->avoid_until_us > now_us && !avoided))
			continue;
		delay_us = permit_delay_us(backends, backend, request, now_us);
		if (delay_us == INT64_MAX)
			continue;
		backend->cost_us = cost_us(backends, backend, request, now_us) +
		    (double)delay_us;
		if (best == NULL || backend->cost_us < best->cost_us)
			best = backend;
	}
	return best;
}

/* Returns whether a server may cost a request much less than others do, for a
 * reason that is not its load or speed. */
static bool
is_suited(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request)
{
	return is_preferred(backend, request) ||
	    (request->affinity.object != 0 &&
		affinity_class_of(&backends->affinity, &request->affinity,
		    backend->hash) != AFFINITY_OTHER);
}

static bool
is_candidate(const struct backend *backend)
{
	return backend->cost_us < DBL_MAX;
}

/* Leaves some servers drawn at random, and those that suit the request. VMs
 * with the same figures would otherwise all send to the same few servers until
 * the figures are renewed. Returns the candidate with the lowest cost. */
static struct backend *
draw_candidates(struct backends *backends,
    const struct backend_request *request, struct backend *best)
{
	struct backend *drawn_best = NULL;
	size_t count = 0;

	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next)
		count += is_candidate(backend);
	if (count <= DRAWS)
		return best;
	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (!is_candidate(backend))
			continue;
		if (rng_below(&backends->rng, count) >= DRAWS &&
		    !is_suited(backends, backend, request))
			backend->cost_us = DBL_MAX;
		else if (drawn_best == NULL ||
		    backend->cost_us < drawn_best->cost_us)
			drawn_best = backend;
	}
	return drawn_best != NULL ? drawn_best : best;
}

/* Returns whether a candidate is as good as the one with the lowest cost. A
 * server of another region is not, whatever its cost, unless that one is there
 * too. */
static bool
is_near_best(const struct backends *backends, const struct backend *backend,
    const struct backend *best)
{
	return backend->cost_us <= best->cost_us * (1 + MARGIN) &&
	    (is_in_region(backends, backend) || !is_in_region(backends, best));
}

struct backend *
backends_choose(struct backends *backends,
    const struct backend_request *request, int64_t now_us)
{
	struct backend *best = compute_costs(backends, request, now_us, false);
	struct backend *chosen;
	uint64_t count = 0;

	if (best == NULL)
		best = compute_costs(backends, request, now_us, true);
	if (best == NULL)
		return NULL;
	best = draw_candidates(backends, request, best);
	chosen = best;
	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (is_candidate(backend) &&
		    is_near_best(backends, backend, best) &&
		    rng_below(&backends->rng, ++count) == 0)
			chosen = backend;
	}
	return chosen;
}

/* Returns the capacity of a service's available servers. */
static struct affinity_capacity
service_capacity(const struct backends *backends, const char *service,
    size_t vm_count, int64_t now_us)
{
	struct affinity_capacity capacity = {.vm_count = vm_count};
	double count = 0;

	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (!backend_is_available(backend, service))
			continue;
		count++;
		capacity.response_us += idle_response_us(backend, now_us);
		capacity.slots += backend->entry.slots;
	}
	if (count > 0) {
		capacity.response_us /= count;
		capacity.slots /= count;
	}
	return capacity;
}

static bool
has_region_server(const struct backends *backends, const char *service)
{
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (strcmp(backend->region, backends->region) == 0 &&
		    backend_is_available(backend, service))
			return true;
	}
	return false;
}

void
backends_find_homes(const struct backends *backends,
    struct backend_request *request, uint64_t request_hash, size_t vm_count,
    int64_t now_us)
{
	const struct affinity_capacity capacity =
	    service_capacity(backends, request->service, vm_count, now_us);
	bool region_only = has_region_server(backends, request->service);

	affinity_target_init(&backends->affinity, &request->affinity,
	    request_hash, &capacity, now_us);
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (!backend_is_available(backend, request->service))
			continue;
		/* Each region has homes of its own: a hit saves about as much
		 * as a request to another region costs. */
		if (!region_only ||
		    strcmp(backend->region, backends->region) == 0)
			affinity_target_add(&request->affinity, backend->hash);
	}
}

struct affinity_sample
backend_affinity_sample(const struct backends *backends,
    const struct backend *backend, const struct backend_request *request,
    int64_t now_us)
{
	struct affinity_sample sample = {0};

	if (request->affinity.object == 0)
		return sample;
	sample.route = request->affinity.route;
	sample.class = affinity_class_of(
	    &backends->affinity, &request->affinity, backend->hash);
	/* Waiting at a full server says nothing about the object. The expected
	 * time does not include the load: a home is chosen at a higher load,
	 * and would seem to save time if that were deducted. */
	if (backend_load(backend) < backend->entry.slots)
		sample.expected_us = request->is_stream
		    ? stream_us(backends, backend, request, now_us)
		    : known_response_us(backend, now_us);
	return sample;
}

void
backend_request_started(struct backends *backends, struct backend *backend,
    const struct backend_request *request, int64_t now_us)
{
	backend->running++;
	affinity_request_started(
	    &backends->affinity, &request->affinity, backend->hash);
	for (size_t i = 0; i < request->part_count; i++)
		residency_add(&backends->residency, request->parts[i].id,
		    backend->hash, request->parts[i].tokens,
		    i + 1 < request->part_count, now_us);
}

void
backend_request_ended(struct backends *backends, struct backend *backend)
{
	backend->running--;
	if (backend->running == 0 && !backend->accepts_requests &&
	    !backend->entry.draining)
		backend_free(backends, backend);
}

void
backend_failed(struct backend *backend, int64_t now_us)
{
	int64_t avoid_us = AVOID_MIN_US;

	for (uint32_t i = 0; i < backend->failures && avoid_us < AVOID_MAX_US;
	     i++)
		avoid_us *= 2;
	backend->failures++;
	backend->avoid_until_us = now_us + avoid_us;
}

static double
average(double old, double sample)
{
	if (old <= 0)
		return sample;
	return old + AVERAGE_WEIGHT * (sample - old);
}

static void
learn_response(struct backend *backend,
    const struct backend_measurement *measurement, int64_t now_us)
{
	struct speed *speed = &backend->service->speed;
	struct speed_ratio *ratio = &backend->speed.response;
	double us = (double)measurement->response_us /
	    queue_factor(backend, measurement->load);

	speed_learn_response(speed, us / speed_ratio_get(ratio, now_us));
	speed_ratio_learn(ratio, us / speed->response_us, now_us);
}

static void
learn_prompt(struct backend *backend,
    const struct backend_measurement *measurement, int64_t now_us)
{
	struct speed *speed = &backend->service->speed;
	struct speed_ratio *ratio = &backend->speed.prompt;
	double tokens = (double)measurement->uncached_tokens;
	double us = (double)measurement->first_us;
	double expected_us = speed_first_us(speed, tokens);

	if (measurement->load > LOW_LOAD_SHARE * backend->entry.slots)
		return;
	speed_learn_prompt(speed, tokens, us / speed_ratio_get(ratio, now_us));
	if (tokens * speed_prompt_token_us(speed) >= PROMPT_SAMPLE_MIN_US &&
	    expected_us > 0)
		speed_ratio_learn(ratio, us / expected_us, now_us);
}

static void
learn_token(struct backend *backend,
    const struct backend_measurement *measurement, int64_t now_us)
{
	struct speed *speed = &backend->service->speed;
	struct speed_ratio *ratio = &backend->speed.token;
	double us = (double)measurement->token_ns / NS_PER_US;
	double expected_us = speed_token_us(speed, measurement->load);

	speed_learn_token(
	    speed, measurement->load, us / speed_ratio_get(ratio, now_us));
	speed_ratio_learn(ratio, us / expected_us, now_us);
}

static void
learn(struct backend *backend, const struct backend_measurement *measurement,
    int64_t now_us)
{
	if (measurement->response_us > 0)
		learn_response(backend, measurement, now_us);
	if (measurement->first_us > 0)
		learn_prompt(backend, measurement, now_us);
	if (measurement->token_ns > 0)
		learn_token(backend, measurement, now_us);
}

void
backends_learn(struct backends *backends,
    const struct backend_measurement *measurement, int64_t now_us)
{
	struct backend *backend =
	    backends_find_hash(backends, measurement->server);

	if (backend != NULL)
		learn(backend, measurement, now_us);
}

/* Learns a measurement of this VM, and keeps it for the others. */
static void
add_measurement(struct backends *backends, struct backend *backend,
    const struct backend_measurement *measurement, int64_t now_us)
{
	backend->failures = 0;
	backend->avoid_until_us = 0;
	learn(backend, measurement, now_us);
	if (backends->measurement_count < BACKEND_MEASUREMENTS_MAX)
		backends->measurements[backends->measurement_count++] =
		    *measurement;
}

/* Returns a time without the round trip, 0 if it is not longer. */
static uint64_t
without_round_trip_us(
    const struct backends *backends, const struct backend *backend, int64_t us)
{
	int64_t at_server_us = us - round_trip_us(backends, backend);

	return at_server_us > 0 ? (uint64_t)at_server_us : 0;
}

void
backend_response_completed(struct backends *backends, struct backend *backend,
    const struct backend_response_time *response)
{
	const struct backend_measurement measurement = {
	    .server = backend->hash,
	    .load = (uint32_t)response->load,
	    .response_us =
		without_round_trip_us(backends, backend, response->elapsed_us),
	};

	backend->mean_response_us =
	    average(backend->mean_response_us, (double)response->elapsed_us);
	add_measurement(backends, backend, &measurement, response->ended_us);
}

void
backend_stream_completed(struct backends *backends, struct backend *backend,
    const struct backend_stream *stream)
{
	struct backend_measurement measurement = {
	    .server = backend->hash,
	    .load = (uint32_t)stream->load,
	    .uncached_tokens = stream->uncached_tokens,
	    .first_us = without_round_trip_us(
		backends, backend, stream->first_event_us),
	};

	if (stream->tokens > 0)
		measurement.token_ns = (uint64_t)stream->generation_us *
		    NS_PER_US / stream->tokens;
	add_measurement(backends, backend, &measurement, stream->ended_us);
}
