#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/affinity.h"

enum {
	/* A server that handled an object within this time likely still has
	 * it. */
	RETENTION_US = 60 * US_PER_S,
	/* Bounds of the tables: 17 requests per second for the retention time,
	 * the load of one VM at the design target, are 1,020 entries. */
	OBJECTS_MAX = 2048,
	SEEN_MAX = 2048,
	ROUTES_MAX = 256,
	/* Time constant of the rate of an object. Shorter ones make VMs that
	 * send less than a request per second miss a popular object. */
	RATE_WINDOW_US = 3 * US_PER_S,
	/* Shortest time over which a rate is estimated. */
	RATE_TIME_MIN_US = 500 * US_PER_MS,
	/* One request in this many is a control until the gain is known, and
	 * from then on. The second is a multiple of the first. */
	CONTROL_EVERY = 8,
	CONTROL_EVERY_KNOWN = 32,
	PROBE_EVERY = 32,
};

/* Share of a home's slots that one object may use. The rest is for other
 * objects, and for VMs that this one does not see: with half of the fleet
 * partitioned off, the homes get twice the rate that either half expects. */
static const double HOME_LOAD_SHARE = 0.5;
/* A lower count of requests is taken for none. */
static const double COUNT_MIN = 0.1;
/* Saving before anything is learned, as a share of the time. It moves a request
 * to a home with one more running request, not to a busy one. */
static const double INITIAL_GAIN[AFFINITY_CLASS_COUNT] = {
    [AFFINITY_OTHER] = 0,
    [AFFINITY_HOME] = 0.2,
    [AFFINITY_SEEN] = 0.25,
};
/* Gain from which on the requests that run beside a request count for nothing
 * at a home that has a free slot. The choice adds a delay for them even then,
 * which keeps servers evenly loaded, but is more than one request costs: the
 * gain is measured relative to an idle server, and includes what they cost. */
static const double FULL_GAIN = 0.2;
/* Weight of the initial gain, in samples. */
static const double INITIAL_WEIGHT = 2;
/* A lower gain is not distinguishable from none after some dozens of samples,
 * and is taken for none. */
static const double GAIN_MIN = 0.1;
static const double GAIN_MAX = 0.8;
/* Factor by which each new sample multiplies the weight of earlier ones. */
static const double DECAY = 0.98;
/* Samples in both classes from which on the gain counts as known. */
static const double KNOWN_WEIGHT = 8;
/* Bound on a sample relative to the expected time, so that one response of a
 * stalled server does not decide. */
static const double RATIO_MAX = 3;
/* Share of the gain at homes that other VMs prefer, and at former homes, so
 * that requests gather at the homes if the load is equal. */
static const double OTHER_HOME_SHARE = 0.9;
static const double FORMER_HOME_SHARE = 0.8;

struct affinity_object {
	UT_hash_handle hh;
	uint64_t object;
	double count;     /**< requests, decaying with RATE_WINDOW_US */
	int64_t first_us; /**< first request since the count was near 0 */
	int64_t updated_us;
};

struct affinity_seen_key {
	uint64_t object;
	uint64_t server;
};

struct affinity_seen {
	UT_hash_handle hh;
	struct affinity_seen_key key;
	int64_t sent_us;
};

/* Decaying mean of elapsed times relative to the expected ones. */
struct ratio_mean {
	double weight;
	double sum;
};

struct affinity_route {
	UT_hash_handle hh;
	uint64_t route;
	struct ratio_mean ratios[AFFINITY_CLASS_COUNT];
};

void
affinity_reset(struct affinity *affinity)
{
	struct affinity_object *object, *next_object;
	struct affinity_seen *seen, *next_seen;
	struct affinity_route *route, *next_route;

	HASH_ITER (hh, affinity->objects, object, next_object) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(affinity->objects, object);
		free(object);
	}
	HASH_ITER (hh, affinity->seen, seen, next_seen) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(affinity->seen, seen);
		free(seen);
	}
	HASH_ITER (hh, affinity->routes, route, next_route) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(affinity->routes, route);
		free(route);
	}
}

static struct affinity_object *
find_object(const struct affinity *affinity, uint64_t object)
{
	struct affinity_object *entry;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, affinity->objects, &object, sizeof(object), entry);
	return entry;
}

static struct affinity_seen *
find_seen(const struct affinity *affinity, uint64_t object, uint64_t server)
{
	const struct affinity_seen_key key = {
	    .object = object, .server = server};
	struct affinity_seen *entry;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, affinity->seen, &key, sizeof(key), entry);
	return entry;
}

static struct affinity_route *
find_route(const struct affinity *affinity, uint64_t route)
{
	struct affinity_route *entry;

	/* NOLINTNEXTLINE(clang-analyzer-core.*): uthash */
	HASH_FIND(hh, affinity->routes, &route, sizeof(route), entry);
	return entry;
}

/* Returns the number of requests about an object that this VM has sent,
 * decaying with RATE_WINDOW_US. */
static double
decayed_count(const struct affinity_object *object, int64_t now_us)
{
	return object->count *
	    exp((double)(object->updated_us - now_us) / RATE_WINDOW_US);
}

/* Returns the rate of an object's requests at this VM, per microsecond. For an
 * object that has just become popular it is taken over the time since then. */
static double
rate_per_us(const struct affinity_object *object, int64_t now_us)
{
	double age_us = (double)(now_us - object->first_us);

	if (age_us < RATE_TIME_MIN_US)
		age_us = RATE_TIME_MIN_US;
	return decayed_count(object, now_us) /
	    (RATE_WINDOW_US * (1 - exp(-age_us / RATE_WINDOW_US)));
}

/* Returns how many homes an object needs so that each spends at most
 * HOME_LOAD_SHARE of its slots on it. One earlier request is no sign of
 * popularity beyond the window's rate, so a first request needs one home. */
static size_t
needed_homes(const struct affinity *affinity,
    const struct affinity_target *target,
    const struct affinity_capacity *capacity)
{
	const struct affinity_object *object =
	    find_object(affinity, target->object);
	double per_us;
	double busy;
	double homes;

	if (object == NULL || capacity->slots <= 0)
		return 1;
	per_us =
	    rate_per_us(object, target->now_us) * (double)capacity->vm_count;
	busy = per_us * capacity->response_us *
	    (1 - affinity_gain(affinity, target->route, AFFINITY_SEEN));
	homes = ceil(busy / (capacity->slots * HOME_LOAD_SHARE));
	if (homes < 1)
		return 1;
	return homes < AFFINITY_HOMES_MAX ? (size_t)homes : AFFINITY_HOMES_MAX;
}

/* Returns whether the saving at servers that have seen an object has been
 * measured. */
static bool
gain_is_known(const struct affinity_route *route)
{
	return route != NULL &&
	    route->ratios[AFFINITY_OTHER].weight >= KNOWN_WEIGHT &&
	    route->ratios[AFFINITY_HOME].weight +
		route->ratios[AFFINITY_SEEN].weight >=
	    KNOWN_WEIGHT;
}

static enum affinity_mode
mode_of(
    const struct affinity *affinity, uint64_t route_hash, uint64_t request_hash)
{
	const struct affinity_route *route = find_route(affinity, route_hash);
	bool known = gain_is_known(route);

	if (request_hash % (known ? CONTROL_EVERY_KNOWN : CONTROL_EVERY) == 0)
		return AFFINITY_CONTROL;
	if (known && request_hash % PROBE_EVERY == 1)
		return AFFINITY_PROBE;
	return AFFINITY_LEARNED;
}

void
affinity_target_init(const struct affinity *affinity,
    struct affinity_target *target, uint64_t request_hash,
    const struct affinity_capacity *capacity, int64_t now_us)
{
	target->now_us = now_us;
	target->server_count = 0;
	target->mode = mode_of(affinity, target->route, request_hash);
	target->home_count = needed_homes(affinity, target, capacity);
}

void
affinity_target_add(struct affinity_target *target, uint64_t server)
{
	uint64_t score = hash_bytes(&server, sizeof(server), target->object);
	size_t at;

	if (target->server_count < target->home_count)
		target->server_count++;
	else if (score <= target->scores[target->home_count - 1])
		return;
	at = target->server_count - 1;
	while (at > 0 && target->scores[at - 1] < score) {
		target->scores[at] = target->scores[at - 1];
		target->servers[at] = target->servers[at - 1];
		at--;
	}
	target->scores[at] = score;
	target->servers[at] = server;
}

/* Returns the rank of a server for the object, or server_count. */
static size_t
rank_of(const struct affinity_target *target, uint64_t server)
{
	size_t rank = 0;

	while (rank < target->server_count && target->servers[rank] != server)
		rank++;
	return rank;
}

static bool
has_seen(const struct affinity *affinity, const struct affinity_target *target,
    uint64_t server)
{
	const struct affinity_seen *seen =
	    find_seen(affinity, target->object, server);

	return seen != NULL && target->now_us - seen->sent_us <= RETENTION_US;
}

enum affinity_class
affinity_class_of(const struct affinity *affinity,
    const struct affinity_target *target, uint64_t server)
{
	if (has_seen(affinity, target, server))
		return AFFINITY_SEEN;
	return rank_of(target, server) < target->server_count ? AFFINITY_HOME
							      : AFFINITY_OTHER;
}

/* Returns the measured saving of a class and the weight of the measurement,
 * which is that of the smaller of both samples if they differ much. */
static double
measured_gain(const struct affinity_route *route, enum affinity_class class,
    double *weight)
{
	const struct ratio_mean *with = &route->ratios[class];
	const struct ratio_mean *without = &route->ratios[AFFINITY_OTHER];

	*weight = 0;
	if (with->weight <= 0 || without->weight <= 0 || without->sum <= 0)
		return 0;
	*weight =
	    with->weight * without->weight / (with->weight + without->weight);
	return 1 -
	    (with->sum / with->weight) / (without->sum / without->weight);
}

static double
limit_gain(double gain)
{
	if (gain < GAIN_MIN)
		return 0;
	return gain < GAIN_MAX ? gain : GAIN_MAX;
}

static double
learned_gain(const struct affinity_route *route, enum affinity_class class)
{
	double measured;
	double weight;

	measured = measured_gain(route, class, &weight);
	return limit_gain(
	    (INITIAL_WEIGHT * INITIAL_GAIN[class] + weight * measured) /
	    (INITIAL_WEIGHT + weight));
}

double
affinity_gain(
    const struct affinity *affinity, uint64_t route, enum affinity_class class)
{
	const struct affinity_route *entry = find_route(affinity, route);

	if (entry == NULL || class == AFFINITY_OTHER)
		return INITIAL_GAIN[class];
	/* When all VMs send an object to its home, the home has seen it: the
	 * measured gain of homes is lower as long as they do not. */
	if (class == AFFINITY_HOME &&
	    entry->ratios[AFFINITY_SEEN].weight >= KNOWN_WEIGHT)
		class = AFFINITY_SEEN;
	return learned_gain(entry, class);
}

/* Returns the home that this VM prefers, so that the VMs are distributed evenly
 * over the homes without knowing each other's present load. */
static size_t
preferred_home(
    const struct affinity *affinity, const struct affinity_target *target)
{
	return hash_bytes(&affinity->vm, sizeof(affinity->vm), target->object) %
	    target->home_count;
}

static double
expected_gain(const struct affinity *affinity,
    const struct affinity_target *target, enum affinity_class class)
{
	switch (target->mode) {
	case AFFINITY_CONTROL:
		return 0;
	case AFFINITY_PROBE:
		return INITIAL_GAIN[class];
	case AFFINITY_LEARNED:
		break;
	}
	return affinity_gain(affinity, target->route, class);
}

/* Returns the expected gain on a server as a share of the time. */
static double
server_gain(const struct affinity *affinity,
    const struct affinity_target *target, uint64_t server)
{
	enum affinity_class class = affinity_class_of(affinity, target, server);
	size_t rank = rank_of(target, server);
	double share = 1;

	if (rank >= target->server_count) {
		if (class == AFFINITY_SEEN)
			share = FORMER_HOME_SHARE;
	} else if (target->server_count > 1) {
		/* All homes of a popular object have seen it. */
		class = AFFINITY_SEEN;
		if (rank != preferred_home(affinity, target))
			share = OTHER_HOME_SHARE;
	}
	return share * expected_gain(affinity, target, class);
}

double
affinity_saving_us(const struct affinity *affinity,
    const struct affinity_target *target, uint64_t server, double idle_us,
    double delay_us)
{
	double gain;
	double delay_share;

	if (target->object == 0)
		return 0;
	gain = server_gain(affinity, target, server);
	delay_share = gain / FULL_GAIN;
	return gain * idle_us + (delay_share < 1 ? delay_share : 1) * delay_us;
}

static void
count_request(struct affinity *affinity, const struct affinity_target *target)
{
	struct affinity_object *object = find_object(affinity, target->object);

	if (object != NULL) {
		object->count = decayed_count(object, target->now_us);
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(affinity->objects, object);
	} else {
		if (HASH_COUNT(affinity->objects) >= OBJECTS_MAX) {
			struct affinity_object *oldest = affinity->objects;

			HASH_DEL(affinity->objects, oldest);
			free(oldest);
		}
		object = xcalloc(1, sizeof(*object));
		object->object = target->object;
	}
	if (object->count < COUNT_MIN) {
		object->count = 0;
		object->first_us = target->now_us;
	}
	object->count++;
	object->updated_us = target->now_us;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, affinity->objects, object, sizeof(object->object), object);
}

static void
seen_free(struct affinity *affinity, struct affinity_seen *seen)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_DEL(affinity->seen, seen);
	free(seen);
}

static void
add_seen(struct affinity *affinity, const struct affinity_target *target,
    uint64_t server)
{
	struct affinity_seen *seen =
	    find_seen(affinity, target->object, server);

	if (seen != NULL) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(affinity->seen, seen);
	} else {
		if (HASH_COUNT(affinity->seen) >= SEEN_MAX)
			seen_free(affinity, affinity->seen);
		seen = xcalloc(1, sizeof(*seen));
		seen->key.object = target->object;
		seen->key.server = server;
	}
	seen->sent_us = target->now_us;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, affinity->seen, key, sizeof(seen->key), seen);
}

void
affinity_request_started(struct affinity *affinity,
    const struct affinity_target *target, uint64_t server)
{
	if (target->object == 0)
		return;
	count_request(affinity, target);
	add_seen(affinity, target, server);
}

static struct affinity_route *
ensure_route(struct affinity *affinity, uint64_t hash)
{
	struct affinity_route *route = find_route(affinity, hash);

	if (route != NULL)
		return route;
	if (HASH_COUNT(affinity->routes) >= ROUTES_MAX) {
		struct affinity_route *oldest = affinity->routes;

		HASH_DEL(affinity->routes, oldest);
		free(oldest);
	}
	route = xcalloc(1, sizeof(*route));
	route->route = hash;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
	HASH_ADD(hh, affinity->routes, route, sizeof(route->route), route);
	return route;
}

void
affinity_learn(struct affinity *affinity, const struct affinity_sample *sample,
    int64_t elapsed_us)
{
	struct ratio_mean *mean;
	double ratio;

	if (sample->route == 0 || sample->expected_us <= 0)
		return;
	ratio = (double)elapsed_us / sample->expected_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	mean = &ensure_route(affinity, sample->route)->ratios[sample->class];
	mean->weight = mean->weight * DECAY + 1;
	mean->sum = mean->sum * DECAY + ratio;
}

int64_t
affinity_neutral_us(const struct affinity *affinity,
    const struct affinity_sample *sample, int64_t elapsed_us)
{
	const struct affinity_route *route;
	double measured;
	double weight;

	if (sample->route == 0 || sample->class == AFFINITY_OTHER)
		return elapsed_us;
	route = find_route(affinity, sample->route);
	if (route == NULL)
		return elapsed_us;
	measured = measured_gain(route, sample->class, &weight);
	measured *= weight / (INITIAL_WEIGHT + weight);
	return (int64_t)((double)elapsed_us / (1 - limit_gain(measured)));
}

void
affinity_forget_server(struct affinity *affinity, uint64_t server)
{
	struct affinity_seen *next;

	for (struct affinity_seen *seen = affinity->seen; seen != NULL;
	     seen = next) {
		next = seen->hh.next;
		if (seen->key.server == server)
			seen_free(affinity, seen);
	}
}

size_t
affinity_entry_count(const struct affinity *affinity)
{
	return HASH_COUNT(affinity->objects) + HASH_COUNT(affinity->seen) +
	    HASH_COUNT(affinity->routes);
}
