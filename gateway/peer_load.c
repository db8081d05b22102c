/* What gateways tell each other about backend servers: the requests on each, as
 * sums of this failure domain that are reported to the others, and theirs that
 * are passed on in this one; and their speeds, as measured in this failure
 * domain. */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/peer_gateways_internal.h"

enum {
	/* Bounds on the bytes a second that a VM sends for the loads of other
	 * failure domains; larger messages are sent more rarely. With 62 VMs in
	 * 6 failure domains and 86 servers both go out every 200 ms. */
	SUMS_BYTES_PER_S = 3000,
	PASS_ON_BYTES_PER_S = 6000,
	/* The same for measurements of speed, of which the others are dropped:
	 * with 62 VMs none, at the design target 16 of 17. */
	MEASUREMENTS_BYTES_PER_S = 2000,
	MEASUREMENT_BYTES = 32,
	SUMS_MIN_INTERVAL_US = 150 * US_PER_MS,
	/* Bytes of a message besides its figures. */
	MESSAGE_OVERHEAD_BYTES = 40,
};

/** A live gateway. */
struct live_gateway {
	const char *failure_domain;
	const char *vm;
};

static int
compare_gateways(const void *a, const void *b)
{
	const struct live_gateway *left = a;
	const struct live_gateway *right = b;
	int order = strcmp(left->failure_domain, right->failure_domain);

	return order != 0 ? order : strcmp(left->vm, right->vm);
}

/* Lists the live gateways and this one, by failure domain and name. */
static size_t
list_live(
    const struct peer_gateways *peer_gateways, struct live_gateway **gateways)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	size_t count = 0;

	*gateways =
	    xcalloc(peer_gateways->members.count + 1, sizeof(**gateways));
	(*gateways)[count++] = (struct live_gateway){
	    .failure_domain = settings->failure_domain,
	    .vm = settings->vm_name,
	};
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];

		if (member->last_heartbeat_us == 0 ||
		    !peer_gateway_is_live(member))
			continue;
		(*gateways)[count++] = (struct live_gateway){
		    .failure_domain = member->failure_domain,
		    .vm = member->vm,
		};
	}
	qsort(*gateways, count, sizeof(**gateways), compare_gateways);
	return count;
}

/* Returns the number of gateways in the failure domain of the first one. */
static size_t
count_in_domain(const struct live_gateway *gateways, size_t count)
{
	size_t same = 1;

	while (same < count &&
	    strcmp(gateways[same].failure_domain, gateways->failure_domain) ==
		0)
		same++;
	return same;
}

static struct fleet_load_rank
own_rank(const struct peer_gateways *peer_gateways,
    const struct live_gateway *gateways, size_t count)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	struct fleet_load_rank rank = {0};

	for (size_t i = 0; i < count; i++) {
		if (strcmp(gateways[i].failure_domain,
			settings->failure_domain) != 0)
			continue;
		if (strcmp(gateways[i].vm, settings->vm_name) == 0)
			rank.rank = rank.count;
		rank.count++;
	}
	return rank;
}

/* Reports the sums to the gateways of another failure domain that have servers
 * of this gateway's share. Returns the number of bytes sent. */
static size_t
send_to_domain(struct peer_gateways *peer_gateways,
    const struct fleet_load_rank *from, const struct live_gateway *gateways,
    size_t count)
{
	struct gateway *gateway = peer_gateways->gateway;
	struct buf sums = {0};
	size_t sent = 0;

	for (size_t i = 0; i < count; i++) {
		const struct fleet_load_rank to = {
		    .rank = (uint32_t)i, .count = (uint32_t)count};
		struct message message = {.type = MESSAGE_DOMAIN_LOADS};

		sums.len = 0;
		if (fleet_load_encode_sums(&gateway->blackboard.fleet_load,
			&gateway->blackboard.backends, from, &to, &sums) == 0)
			continue;
		message.domain_loads.sums =
		    (struct wire_bytes){.data = sums.data, .len = sums.len};
		peer_gateways_send(peer_gateways, gateways[i].vm, &message);
		sent += sums.len + MESSAGE_OVERHEAD_BYTES;
	}
	buf_reset(&sums);
	return sent;
}

static int64_t
pause_us(size_t sent, int bytes_per_s)
{
	return (int64_t)sent * US_PER_S / bytes_per_s;
}

void
peer_gateways_send_sums(struct peer_gateways *peer_gateways)
{
	const struct settings *settings = &peer_gateways->gateway->settings;
	int64_t now_us = clock_monotonic_us();
	struct live_gateway *gateways;
	struct fleet_load_rank from;
	size_t count;
	size_t in_domain;
	size_t sent = 0;
	int64_t interval_us;

	if (now_us < peer_gateways->sums_due_us)
		return;
	count = list_live(peer_gateways, &gateways);
	from = own_rank(peer_gateways, gateways, count);
	for (size_t i = 0; i < count; i += in_domain) {
		in_domain = count_in_domain(gateways + i, count - i);
		if (strcmp(gateways[i].failure_domain,
			settings->failure_domain) != 0)
			sent += send_to_domain(
			    peer_gateways, &from, gateways + i, in_domain);
	}
	free(gateways);
	interval_us = pause_us(sent, SUMS_BYTES_PER_S);
	peer_gateways->sums_due_us = now_us +
	    (interval_us > SUMS_MIN_INTERVAL_US ? interval_us
						: SUMS_MIN_INTERVAL_US);
}

static size_t
count_in_own_domain(const struct peer_gateways *peer_gateways)
{
	size_t count = 0;

	for (size_t i = 0; i < peer_gateways->members.count; i++)
		count += peer_gateway_in_own_domain(
		    peer_gateways, &peer_gateways->members.items[i]);
	return count;
}

void
peer_gateways_list_other_domains(
    struct peer_gateways *peer_gateways, struct buf *out)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us < peer_gateways->pass_on_due_us)
		return;
	fleet_load_encode_received(
	    &peer_gateways->gateway->blackboard.fleet_load, now_us, out);
	peer_gateways->pass_on_due_us = now_us +
	    pause_us(out->len * count_in_own_domain(peer_gateways),
		PASS_ON_BYTES_PER_S);
}

size_t
peer_gateways_list_measurements(struct peer_gateways *peer_gateways,
    struct message_measurement **measurements)
{
	struct backends *backends =
	    &peer_gateways->gateway->blackboard.backends;
	size_t bytes =
	    MEASUREMENT_BYTES * (count_in_own_domain(peer_gateways) + 1);
	size_t max = MEASUREMENTS_BYTES_PER_S / bytes + 1;
	size_t count = backends->measurement_count;
	int64_t now_us = clock_monotonic_us();

	*measurements = NULL;
	if (count == 0 || now_us < peer_gateways->measurements_due_us)
		return 0;
	backends->measurement_count = 0;
	count = count < max ? count : max;
	*measurements = xcalloc(count, sizeof(**measurements));
	for (size_t i = 0; i < count; i++) {
		const struct backend_measurement *from =
		    &backends->measurements[i];

		(*measurements)[i] = (struct message_measurement){
		    .server_hash = from->server,
		    .load = from->load,
		    .uncached_tokens = from->uncached_tokens,
		    .first_us = from->first_us,
		    .token_ns = from->token_ns,
		    .response_us = from->response_us,
		};
	}
	peer_gateways->measurements_due_us =
	    now_us + pause_us(count * bytes, MEASUREMENTS_BYTES_PER_S);
	return count;
}

void
peer_gateways_handle_measurements(struct peer_gateways *peer_gateways,
    const struct message_gateway_heartbeat *heartbeat)
{
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < heartbeat->measurement_count; i++) {
		const struct message_measurement *from =
		    &heartbeat->measurements[i];
		const struct backend_measurement measurement = {
		    .server = from->server_hash,
		    .load = from->load,
		    .uncached_tokens = from->uncached_tokens,
		    .first_us = from->first_us,
		    .token_ns = from->token_ns,
		    .response_us = from->response_us,
		};

		backends_learn(&peer_gateways->gateway->blackboard.backends,
		    &measurement, now_us);
	}
}

void
peer_gateways_handle_loads(struct peer_gateways *peer_gateways,
    const char *sender, const struct wire_bytes *figures, bool direct)
{
	struct trace trace;

	if (figures->len == 0 ||
	    fleet_load_apply(&peer_gateways->gateway->blackboard.fleet_load,
		figures->data, figures->len, direct, clock_monotonic_us()))
		return;
	trace_begin(&trace, "loads_malformed");
	trace_text(&trace, "vm", sender);
	trace_end(&trace);
}

/* The requests of other failure domains are in the sums that they report, so
 * those of their single gateways are left out. */
void
peer_gateways_sum_loads(struct peer_gateways *peer_gateways)
{
	struct gateway_blackboard *blackboard =
	    &peer_gateways->gateway->blackboard;

	backends_clear_remote(&blackboard->backends);
	for (size_t i = 0; i < peer_gateways->members.count; i++) {
		const struct member *member = &peer_gateways->members.items[i];
		const struct peer_gateway *peer_gateway =
		    &peer_gateways->gateways[i];

		if (!peer_gateway_is_live(member) ||
		    !peer_gateway_in_own_domain(peer_gateways, member))
			continue;
		for (size_t k = 0; k < peer_gateway->load_count; k++)
			backends_add_remote(&blackboard->backends,
			    peer_gateway->loads[k].server_hash,
			    peer_gateway->loads[k].running);
	}
	fleet_load_fold(&blackboard->fleet_load, &blackboard->backends,
	    clock_monotonic_us());
}
