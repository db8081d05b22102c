#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "dispatch/fleet_load.h"

enum {
	/* Bounds memory; 5 times the servers of the largest deployment. */
	SERVERS_MAX = 4096,
	/* Age up to which a figure counts in full. The figures of a fleet
	 * without failures are 0.2 to 1 s old. */
	FRESH_US = 1500 * US_PER_MS,
	/* Age from which only the mean of the service counts. */
	FADED_US = 3500 * US_PER_MS,
	/* Age from which a figure does not count at all: its failure domain has
	 * been down for so long that its requests have ended. */
	FORGET_US = 30 * US_PER_S,

	/* Encoding: a byte with the number of failure domains; for each of them
	 * the hash of its name and the age of its figures; then for each server
	 * its hash and a byte for each failure domain with the number of
	 * requests. Of the hashes only KEY_BYTES are sent. A collision adds the
	 * requests of one server to another; with 770 servers one run in fifty
	 * has any. */
	KEY_BYTES = 3,
	KEY_BITS = 8 * KEY_BYTES,
	DOMAIN_BYTES = KEY_BYTES + 1,
	AGE_UNIT_US = 20 * US_PER_MS,
	AGE_MAX = 255,
	RUNNING_MAX = 254,
	RUNNING_UNKNOWN = 255,
};

/* Weight of a faded figure in the mean of its service, so that there is a mean
 * when all have faded. */
static const double FADED_WEIGHT = 0.01;

struct figure {
	uint32_t running;
	bool received;       /**< directly, and not passed on yet */
	int64_t measured_us; /**< 0: none */
};

struct fleet_load_server {
	UT_hash_handle hh;
	uint32_t key;
	/** By position in struct fleet_load.domains. */
	struct figure figures[FLEET_LOAD_DOMAINS_MAX];
};

/** Weighted sum of the figures of a service in a failure domain. */
struct mean {
	double weight;
	double sum;
};

static uint32_t
domain_hash(const char *name)
{
	return (uint32_t)(hash_text(name, 0) >> (64 - KEY_BITS));
}

static uint32_t
server_key(uint64_t hash)
{
	return (uint32_t)(hash >> (64 - KEY_BITS));
}

static uint32_t
share_of_key(uint32_t key, uint32_t count)
{
	return (uint32_t)((uint64_t)key * count >> KEY_BITS);
}

uint32_t
fleet_load_share(uint64_t server, uint32_t count)
{
	return share_of_key(server_key(server), count);
}

void
fleet_load_init(struct fleet_load *load, const char *failure_domain)
{
	*load = (struct fleet_load){.own_domain = domain_hash(failure_domain)};
}

static void
server_free(struct fleet_load *load, struct fleet_load_server *server)
{
	/* NOLINTNEXTLINE(clang-analyzer-*): uthash relinks */
	HASH_DEL(load->servers, server);
	free(server);
}

void
fleet_load_reset(struct fleet_load *load)
{
	struct fleet_load_server *server, *next;

	HASH_ITER (hh, load->servers, server, next)
		server_free(load, server);
	load->domain_count = 0;
}

static struct fleet_load_server *
find_server(const struct fleet_load *load, uint32_t key)
{
	struct fleet_load_server *server;

	/* NOLINTNEXTLINE(clang-analyzer-*): uthash */
	HASH_FIND(hh, load->servers, &key, sizeof(key), server);
	return server;
}

/* Returns NULL if there are too many servers. */
static struct fleet_load_server *
ensure_server(struct fleet_load *load, uint32_t key)
{
	struct fleet_load_server *server = find_server(load, key);

	if (server != NULL || HASH_COUNT(load->servers) >= SERVERS_MAX)
		return server;
	server = xcalloc(1, sizeof(*server));
	server->key = key;
	HASH_ADD(hh, load->servers, key, sizeof(server->key), server);
	return server;
}

/* Returns the position of a failure domain, or -1 if its figures are ignored:
 * this VM sums its own failure domain itself. */
static int
domain_position(struct fleet_load *load, uint32_t hash)
{
	if (hash == load->own_domain)
		return -1;
	for (size_t i = 0; i < load->domain_count; i++) {
		if (load->domains[i] == hash)
			return (int)i;
	}
	if (load->domain_count == FLEET_LOAD_DOMAINS_MAX)
		return -1;
	load->domains[load->domain_count] = hash;
	return (int)load->domain_count++;
}

static void
put_key(uint8_t *to, uint32_t value)
{
	for (int i = 0; i < KEY_BYTES; i++)
		to[i] = (uint8_t)(value >> (KEY_BITS - 8 - 8 * i));
}

static uint32_t
get_key(const uint8_t *from)
{
	uint32_t value = 0;

	for (int i = 0; i < KEY_BYTES; i++)
		value = value << 8 | from[i];
	return value;
}

static uint8_t
running_byte(uint32_t running)
{
	return (uint8_t)(running < RUNNING_MAX ? running : RUNNING_MAX);
}

static void
append_domain(struct buf *out, uint32_t hash, int64_t age_us)
{
	int64_t age = age_us / AGE_UNIT_US;
	uint8_t bytes[DOMAIN_BYTES];

	put_key(bytes, hash);
	bytes[KEY_BYTES] = (uint8_t)(age < AGE_MAX ? age : AGE_MAX);
	buf_append(out, bytes, sizeof(bytes));
}

static bool
shares_overlap(const struct fleet_load_rank *a, const struct fleet_load_rank *b)
{
	return (uint64_t)a->rank * b->count <
	    (uint64_t)(b->rank + 1) * a->count &&
	    (uint64_t)b->rank * a->count < (uint64_t)(a->rank + 1) * b->count;
}

size_t
fleet_load_encode_sums(const struct fleet_load *load,
    const struct backends *backends, const struct fleet_load_rank *from,
    const struct fleet_load_rank *to, struct buf *out)
{
	static const uint8_t domain_count = 1;
	size_t count = 0;

	if (!shares_overlap(from, to))
		return 0;
	buf_append(out, &domain_count, 1);
	append_domain(out, load->own_domain, 0);
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		uint8_t row[KEY_BYTES + 1];

		if (fleet_load_share(backend->hash, from->count) !=
			from->rank ||
		    fleet_load_share(backend->hash, to->count) != to->rank)
			continue;
		put_key(row, server_key(backend->hash));
		row[KEY_BYTES] =
		    running_byte(backend->running + backend->remote_running);
		buf_append(out, row, sizeof(row));
		count++;
	}
	return count;
}

/* Lists the failure domains with figures to pass on, and the age of the oldest
 * such figure of each. */
static size_t
list_received(const struct fleet_load *load, int64_t now_us,
    size_t positions[FLEET_LOAD_DOMAINS_MAX],
    int64_t ages_us[FLEET_LOAD_DOMAINS_MAX])
{
	size_t count = 0;

	for (size_t i = 0; i < load->domain_count; i++) {
		int64_t age_us = -1;

		for (const struct fleet_load_server *server = load->servers;
		     server != NULL; server = server->hh.next) {
			const struct figure *figure = &server->figures[i];

			if (figure->received &&
			    now_us - figure->measured_us > age_us)
				age_us = now_us - figure->measured_us;
		}
		if (age_us < 0)
			continue;
		positions[count] = i;
		ages_us[count++] = age_us;
	}
	return count;
}

static bool
append_received(struct fleet_load_server *server, const size_t *positions,
    size_t count, struct buf *out)
{
	uint8_t row[KEY_BYTES + FLEET_LOAD_DOMAINS_MAX];
	bool any = false;

	put_key(row, server->key);
	for (size_t i = 0; i < count; i++) {
		struct figure *figure = &server->figures[positions[i]];

		row[KEY_BYTES + i] = figure->received
		    ? running_byte(figure->running)
		    : RUNNING_UNKNOWN;
		any = any || figure->received;
		figure->received = false;
	}
	if (any)
		buf_append(out, row, KEY_BYTES + count);
	return any;
}

size_t
fleet_load_encode_received(
    struct fleet_load *load, int64_t now_us, struct buf *out)
{
	size_t positions[FLEET_LOAD_DOMAINS_MAX];
	int64_t ages_us[FLEET_LOAD_DOMAINS_MAX];
	size_t count = list_received(load, now_us, positions, ages_us);
	uint8_t domain_count = (uint8_t)count;
	size_t rows = 0;

	if (count == 0)
		return 0;
	buf_append(out, &domain_count, 1);
	for (size_t i = 0; i < count; i++)
		append_domain(out, load->domains[positions[i]], ages_us[i]);
	for (struct fleet_load_server *server = load->servers; server != NULL;
	     server = server->hh.next)
		rows += append_received(server, positions, count, out);
	return rows;
}

static void
set_figure(
    struct figure *figure, uint8_t running, int64_t measured_us, bool direct)
{
	if (running == RUNNING_UNKNOWN || figure->measured_us >= measured_us)
		return;
	figure->running = running;
	figure->measured_us = measured_us;
	figure->received = direct;
}

bool
fleet_load_apply(struct fleet_load *load, const uint8_t *data, size_t len,
    bool direct, int64_t now_us)
{
	int positions[FLEET_LOAD_DOMAINS_MAX];
	int64_t measured_us[FLEET_LOAD_DOMAINS_MAX];
	size_t count = len > 0 ? data[0] : 0;
	size_t row_bytes = KEY_BYTES + count;
	size_t at = 1;

	if (count == 0 || count > FLEET_LOAD_DOMAINS_MAX ||
	    len < 1 + count * DOMAIN_BYTES ||
	    (len - 1 - count * DOMAIN_BYTES) % row_bytes != 0)
		return false;
	for (size_t i = 0; i < count; i++, at += DOMAIN_BYTES) {
		positions[i] = domain_position(load, get_key(data + at));
		measured_us[i] =
		    now_us - (int64_t)data[at + KEY_BYTES] * AGE_UNIT_US;
	}
	for (; at < len; at += row_bytes) {
		struct fleet_load_server *server =
		    ensure_server(load, get_key(data + at));

		for (size_t i = 0; server != NULL && i < count; i++) {
			if (positions[i] >= 0)
				set_figure(&server->figures[positions[i]],
				    data[at + KEY_BYTES + i], measured_us[i],
				    direct);
		}
	}
	return true;
}

/* Returns the weight of a figure; the rest of it is the mean of its service. */
static double
figure_weight(const struct figure *figure, int64_t now_us)
{
	int64_t age_us = now_us - figure->measured_us;

	if (figure->measured_us == 0 || age_us >= FADED_US)
		return 0;
	if (age_us <= FRESH_US)
		return 1;
	return (double)(FADED_US - age_us) / (FADED_US - FRESH_US);
}

static bool
is_forgotten(const struct figure *figure, int64_t now_us)
{
	return figure->measured_us == 0 ||
	    now_us - figure->measured_us > FORGET_US;
}

/* Adds a server's figures to the means of its service, one for each failure
 * domain. */
static void
add_to_means(struct mean *means, const struct fleet_load *load,
    const struct fleet_load_server *server, int64_t now_us)
{
	for (size_t i = 0; i < load->domain_count; i++) {
		const struct figure *figure = &server->figures[i];
		double weight = figure_weight(figure, now_us) + FADED_WEIGHT;

		if (is_forgotten(figure, now_us))
			continue;
		means[i].weight += weight;
		means[i].sum += weight * figure->running;
	}
}

static double
sum_of_domains(const struct fleet_load *load,
    const struct fleet_load_server *server, const struct mean *means,
    int64_t now_us)
{
	double sum = 0;

	for (size_t i = 0; i < load->domain_count; i++) {
		double mean =
		    means[i].weight > 0 ? means[i].sum / means[i].weight : 0;
		double weight = server != NULL
		    ? figure_weight(&server->figures[i], now_us)
		    : 0;

		sum += (1 - weight) * mean;
		if (weight > 0)
			sum += weight * server->figures[i].running;
	}
	return sum;
}

/* Returns the means of all services, FLEET_LOAD_DOMAINS_MAX of each. */
static struct mean *
compute_means(
    const struct fleet_load *load, struct backends *backends, int64_t now_us)
{
	struct mean *means;
	size_t count = 0;

	for (struct backend_service *service = backends->services;
	     service != NULL; service = service->hh.next)
		service->number = count++;
	means = xcalloc(count * FLEET_LOAD_DOMAINS_MAX + 1, sizeof(*means));
	for (const struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next) {
		const struct fleet_load_server *server =
		    find_server(load, server_key(backend->hash));

		if (server != NULL)
			add_to_means(means +
				backend->service->number *
				    FLEET_LOAD_DOMAINS_MAX,
			    load, server, now_us);
	}
	return means;
}

static void
forget_old_servers(struct fleet_load *load, int64_t now_us)
{
	struct fleet_load_server *server, *next;

	HASH_ITER (hh, load->servers, server, next) {
		bool forgotten = true;

		for (size_t i = 0; i < load->domain_count; i++)
			forgotten = forgotten &&
			    is_forgotten(&server->figures[i], now_us);
		if (forgotten)
			server_free(load, server);
	}
}

void
fleet_load_fold(
    struct fleet_load *load, struct backends *backends, int64_t now_us)
{
	struct mean *means;

	forget_old_servers(load, now_us);
	means = compute_means(load, backends, now_us);
	for (struct backend *backend = backends->by_id; backend != NULL;
	     backend = backend->hh.next)
		backend->other_domains_running = sum_of_domains(load,
		    find_server(load, server_key(backend->hash)),
		    means + backend->service->number * FLEET_LOAD_DOMAINS_MAX,
		    now_us);
	free(means);
}
