#include <float.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/backends.h"

enum {
	AVOID_FIRST_US = 250 * US_PER_MS, /* after a failure to connect */
	AVOID_MAX_US = 2 * US_PER_S,
	DOMAIN_US = 3 * US_PER_MS,  /* there and back between domains */
	REGION_US = 16 * US_PER_MS, /* there and back between regions */
	DEFAULT_ANSWER_US = 20 * US_PER_MS,
};

/* Weight of the newest sample in a moving average. */
static const double AVERAGE_WEIGHT = 0.2;
/* Price of a link between regions, which is billed, as a time. */
static const double REGION_PRICE_US = 30.0 * US_PER_MS;
/* Part of a request's own delay that it causes each other one of its server:
 * a prompt that is read holds up the tokens of all. */
static const double SHARED_DELAY = 0.5;
/* Most of the longest answer that a stream is expected to have. */
static const double ANSWER_SHARE = 0.5;
/* Tokens that a turn adds to what its server has cached, at most. */
static const uint32_t NEW_TOKENS = 1000;
/* A server is not crowded up to this part of its slots. */
static const double CROWDED_SHARE = 0.5;
static const double SLOWNESS_MIN = 0.3;
static const double SLOWNESS_MAX = 20;

void
backends_init(struct backends *backends, const char *region,
    const char *failure_domain, uint64_t seed)
{
	*backends = (struct backends){0};
	snprintf(backends->region, sizeof(backends->region), "%s", region);
	snprintf(backends->failure_domain, sizeof(backends->failure_domain),
	    "%s", failure_domain);
	rng_init(&backends->rng, seed);
}

static void
backend_forget(struct backends *backends, struct backend *backend)
{
	HASH_DEL(backends->by_id, backend);
	HASH_DELETE(hh_hash, backends->by_hash, backend);
	free(backend);
}

void
backends_reset(struct backends *backends)
{
	struct backend *backend, *next;
	struct backend_service *pool, *next_pool;

	HASH_ITER (hh, backends->by_id, backend, next)
		backend_forget(backends, backend);
	HASH_ITER (hh, backends->pools, pool, next_pool) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(backends->pools, pool);
		free(pool);
	}
	residency_reset(&backends->residency);
}

static struct backend_service *
find_pool(const struct backends *backends, const char *service)
{
	struct backend_service *pool;

	HASH_FIND_STR(backends->pools, service, pool);
	return pool;
}

static struct backend_service *
use_pool(struct backends *backends, const char *service)
{
	struct backend_service *pool = find_pool(backends, service);

	if (pool != NULL)
		return pool;
	pool = xcalloc(1, sizeof(*pool));
	snprintf(pool->service, sizeof(pool->service), "%s", service);
	HASH_ADD_STR(backends->pools, service, pool);
	return pool;
}

struct backend *
backends_find(const struct backends *backends, const char *id)
{
	struct backend *backend;

	HASH_FIND_STR(backends->by_id, id, backend);
	return backend;
}

void
backends_clear_remote(struct backends *backends)
{
	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next)
		backend->remote = 0;
}

void
backends_add_remote(struct backends *backends, uint64_t hash, uint32_t running)
{
	struct backend *backend;

	HASH_FIND(hh_hash, backends->by_hash, &hash, sizeof(hash), backend);
	if (backend != NULL)
		backend->remote += running;
}

/* A server that starts again under its id knows nothing of before. */
static void
backend_begin_life(struct backends *backends, struct backend *backend)
{
	backend->avoid_until_us = 0;
	backend->failures = 0;
	backend->slowness = 1;
	backend->answer_us = 0;
	residency_forget_server(&backends->residency, backend->hash);
}

bool
backends_update(struct backends *backends, const struct backend_entry *entry,
    const char *region)
{
	struct backend *backend = backends_find(backends, entry->id);
	bool listed = !entry->draining;
	bool changed;

	if (backend == NULL) {
		backend = xcalloc(1, sizeof(*backend));
		memcpy(backend->entry.id, entry->id, sizeof(entry->id));
		backend->hash = hash_text(entry->id, 0);
		backend->slowness = 1;
		use_pool(backends, entry->service);
		HASH_ADD_STR(backends->by_id, entry.id, backend);
		HASH_ADD(hh_hash, backends->by_hash, hash,
		    sizeof(backend->hash), backend);
	}
	changed = backend->listed != listed ||
	    strcmp(backend->entry.address, entry->address) != 0 ||
	    strcmp(backend->entry.service, entry->service) != 0 ||
	    backend->entry.born_wall_ms != entry->born_wall_ms;
	if (backend->entry.born_wall_ms != entry->born_wall_ms)
		backend_begin_life(backends, backend);
	backend->entry = *entry;
	backend->listed = listed;
	snprintf(backend->region, sizeof(backend->region), "%s", region);
	return changed;
}

bool
backends_remove(struct backends *backends, const char *id)
{
	struct backend *backend = backends_find(backends, id);
	bool listed;

	if (backend == NULL)
		return false;
	listed = backend->listed;
	backend->listed = false;
	if (backend->running == 0)
		backend_forget(backends, backend);
	return listed;
}

static bool
was_tried(const struct backend_request *request, const struct backend *backend)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried[i], backend->entry.id) == 0)
			return true;
	}
	return false;
}

static bool
may_run(const struct backend *backend, const char *service)
{
	return backend->listed && strcmp(backend->entry.service, service) == 0;
}

bool
backends_has_available(const struct backends *backends, const char *service)
{
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		if (may_run(backend, service))
			return true;
	}
	return false;
}

static double
distance_us(const struct backends *backends, const struct backend *backend)
{
	if (strcmp(backend->region, backends->region) != 0)
		return REGION_US + REGION_PRICE_US;
	if (strcmp(backend->entry.failure_domain, backends->failure_domain) !=
	    0)
		return DOMAIN_US;
	return 0;
}

double
backend_load(const struct backend *backend)
{
	return (double)backend->running + (double)backend->remote;
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
		return last < NEW_TOKENS ? last : NEW_TOKENS;
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

/* Expected time of a stream there, with the delay that it causes others. */
static double
stream_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request)
{
	const struct backend_service *pool =
	    find_pool(backends, backend->entry.service);
	double load = backend_load(backend);
	double tokens = (double)request->max_tokens * ANSWER_SHARE;
	double prompt_us =
	    (double)backend_uncached_tokens(backends, backend, request) *
	    speed_prompt_token_us(&pool->speed);
	double token_us = speed_token_us(&pool->speed, load);
	double slope_us = speed_token_slope_us(&pool->speed);

	return backend->slowness *
	    (prompt_us * (1 + SHARED_DELAY * load) + tokens * token_us +
		SHARED_DELAY * load * tokens * slope_us);
}

static double
answer_us(const struct backend *backend)
{
	double us =
	    backend->answer_us > 0 ? backend->answer_us : DEFAULT_ANSWER_US;

	return us * (1 + backend_load(backend) / backend->entry.slots);
}

/* Requests beyond the server's slots wait for those before them. */
static double
cost_us(const struct backends *backends, const struct backend *backend,
    const struct backend_request *request)
{
	double over = backend_load(backend) - backend->entry.slots + 1;
	double work = request->streams ? stream_us(backends, backend, request)
				       : answer_us(backend);

	if (over > 0)
		work += work * over / backend->entry.slots;
	return distance_us(backends, backend) + work;
}

struct backend *
backends_choose(struct backends *backends,
    const struct backend_request *request, int64_t now_us)
{
	struct backend *best = NULL;
	double best_us = DBL_MAX;
	bool best_avoided = true;

	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		bool avoided = backend->avoid_until_us > now_us;
		double us;

		if (!may_run(backend, request->service) ||
		    was_tried(request, backend) || (avoided && !best_avoided))
			continue;
		us = cost_us(backends, backend, request) +
		    rng_real(&backends->rng);
		if (us < best_us || (best_avoided && !avoided)) {
			best = backend;
			best_us = us;
			best_avoided = avoided;
		}
	}
	return best;
}

/* What it reads now, it holds from then on. */
void
backend_request_started(struct backends *backends, struct backend *backend,
    const struct backend_request *request, int64_t now_us)
{
	backend->running++;
	for (size_t i = 0; i < request->part_count; i++)
		residency_add(&backends->residency, request->parts[i].id,
		    backend->hash, request->parts[i].tokens,
		    i + 1 < request->part_count, now_us);
}

void
backend_request_ended(struct backends *backends, struct backend *backend)
{
	backend->running--;
	if (backend->running == 0 && !backend->listed &&
	    !backend->entry.draining)
		backend_forget(backends, backend);
}

void
backend_connection_failed(struct backend *backend, int64_t now_us)
{
	int64_t avoid_us = AVOID_FIRST_US;

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

void
backend_response_completed(struct backend *backend, int64_t elapsed_us)
{
	backend->failures = 0;
	backend->avoid_until_us = 0;
	backend->answer_us = average(backend->answer_us, (double)elapsed_us);
}

void
backend_stream_completed(struct backends *backends, struct backend *backend,
    const struct backend_stream *stream)
{
	struct speed *speed =
	    &use_pool(backends, backend->entry.service)->speed;
	double expected_us;
	double token_us;

	backend->failures = 0;
	backend->avoid_until_us = 0;
	if (stream->load <= CROWDED_SHARE * backend->entry.slots)
		speed_learn_prompt(speed, (double)stream->uncached_tokens,
		    (double)stream->first_us);
	if (stream->tokens == 0)
		return;
	token_us = (double)stream->rest_us / (double)stream->tokens;
	expected_us = speed_token_us(speed, stream->load);
	if (expected_us > 0)
		backend->slowness =
		    average(backend->slowness, token_us / expected_us);
	if (backend->slowness < SLOWNESS_MIN)
		backend->slowness = SLOWNESS_MIN;
	if (backend->slowness > SLOWNESS_MAX)
		backend->slowness = SLOWNESS_MAX;
	speed_learn_token(speed, stream->load, token_us);
}
