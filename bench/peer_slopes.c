/* Measures the cost of the messages between daemons by number of daemons. The
 * daemons run on one loop and exchange heartbeats, views and a configuration
 * stream over loopback TCP. The relays read that stream from an array in this
 * process. Prints lines of the form `name value unit`.
 * usage: bench-peer-slopes [DOMAINS [NODES]] */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/memory.h"
#include "peer/peer.h"
#include "peer/relay.h"

enum {
	MAX_NODES = 96,
	TICK_MS = 20,
	RELAY_SETTLE_MS = 8000, /* time until the relays no longer change */
	MEASURE_MS = 8000,
	PATCH_BYTES = 500,
	MAX_VERSIONS = 100,
};

struct node {
	struct peer_transport *peer;
	struct failure_detector *failure;
	struct relay *relay;
	struct message_member self;
	struct counters counters;
	uint64_t position; /* position in the configuration stream */
	uint64_t messages; /* messages received */
};

/* Totals of all nodes in one measurement. */
struct usage {
	double sent_bytes;
	double received_bytes;
	double busiest_bytes; /* sent and received by the busiest node */
	double messages;      /* messages received */
	double cpu_us;
};

static struct {
	uv_loop_t loop;
	struct node nodes[MAX_NODES];
	int count;
	int64_t published_us[MAX_VERSIONS];
	uint64_t config_end; /* end of the configuration stream */
	struct histogram propagation_us;
	uint8_t patch[PATCH_BYTES];
} bench;

static void
handle_message(void *context, const struct message *message)
{
	struct node *node = context;
	int64_t now_us = clock_monotonic_us();

	node->messages++;
	failure_handle_message(node->failure, message, now_us);
	relay_handle_message(node->relay, message, now_us);
}

static void
send_failure_message(void *context, const char *vm, struct message *message)
{
	struct node *node = context;

	peer_send(node->peer, vm, message);
}

static void
complete_read(struct node *node, uint64_t from, int64_t now_us)
{
	struct plog_record records[MAX_VERSIONS];
	struct plog_read read = {.status = PLOG_OK,
	    .end_offset = bench.config_end,
	    .records = records};

	for (uint64_t at = from; at < bench.config_end; at++)
		records[read.count++] =
		    (struct plog_record){at, bench.patch, PATCH_BYTES};
	relay_handle_read(node->relay, RELAY_CONFIG_STREAM, &read, now_us);
}

static void
handle_events(struct node *node, int64_t now_us)
{
	struct relay_event event;

	while (relay_next_event(node->relay, &event)) {
		for (size_t i = 0; i < event.record_count; i++)
			histogram_add(&bench.propagation_us,
			    now_us -
				bench.published_us[event.records[i].offset]);
		if (event.type == RELAY_EVENT_RECORDS)
			node->position = event.next;
	}
	if (node->self.config_version != node->position) {
		node->self.config_version = node->position;
		failure_set_self(node->failure, &node->self);
	}
}

static void
node_tick(struct node *node, int64_t now_us)
{
	const struct message_view view_template = {
	    .config_end = bench.config_end};
	struct relay_outgoing out;
	struct relay_read_request read;

	failure_tick(
	    node->failure, now_us, &view_template, send_failure_message, node);
	relay_tick(node->relay, now_us);
	while (relay_next_read(node->relay, now_us, &read))
		complete_read(node, read.from, now_us);
	while (relay_next_message(node->relay, &out))
		peer_send_encoded(node->peer, out.vm, out.wire);
	handle_events(node, now_us);
}

static void
handle_tick(uv_timer_t *timer)
{
	int64_t now_us = clock_monotonic_us();

	(void)timer;
	for (int i = 0; i < bench.count; i++)
		node_tick(&bench.nodes[i], now_us);
}

static void
node_open(struct node *node, int index, int domains)
{
	struct peer_options options = {
	    .vm = node->self.vm,
	    .address = "127.0.0.1",
	    .counters = &node->counters,
	    .handler = handle_message,
	    .handler_context = node,
	};
	struct error err = {0};

	memset(node, 0, sizeof(*node));
	snprintf(node->self.vm, NAME_BYTES, "vm-%03d", index);
	snprintf(node->self.failure_domain, NAME_BYTES, "domain-%d",
	    index % domains);
	snprintf(node->self.region, NAME_BYTES, "region-%d", index % 2);
	snprintf(node->self.address, NAME_BYTES, "127.0.0.1");
	snprintf(node->self.peer_address, NAME_BYTES, "127.0.0.1");
	node->self.incarnation = (uint64_t)index + 1;
	node->peer = peer_create(&bench.loop, &options, &err);
	if (node->peer == NULL) {
		fprintf(stderr, "can't create peer %d: %s\n", index, err.text);
		exit(EXIT_FAILURE);
	}
	node->self.peer_port = (uint32_t)peer_port(node->peer);
	node->failure = failure_create(&node->self);
	node->relay = relay_create(
	    node->self.vm, node->self.failure_domain, node->failure);
	relay_subscribe(node->relay, RELAY_CONFIG_STREAM, 0);
}

static void
register_all(void)
{
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < bench.count * bench.count; i++) {
		struct node *node = &bench.nodes[i / bench.count];
		const struct message_member *other =
		    &bench.nodes[i % bench.count].self;

		if (other == &node->self)
			continue;
		failure_handle_listed(node->failure, other, now_us);
		peer_set_address(node->peer, other->vm, other->peer_address,
		    (int)other->peer_port);
	}
}

static void
handle_stop(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void
run_for(uv_timer_t *timer, int ms)
{
	uv_timer_start(timer, handle_stop, (uint64_t)ms, 0);
	uv_run(&bench.loop, UV_RUN_DEFAULT);
}

static double
cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
	    US_PER_S +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static double
resident_kb(void)
{
	long pages = 0;
	FILE *file = fopen("/proc/self/statm", "re");

	if (file == NULL)
		return 0;
	if (fscanf(file, "%*s %ld", &pages) != 1)
		pages = 0;
	fclose(file);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1024;
}

static struct usage
read_usage(void)
{
	struct usage usage = {.cpu_us = cpu_us()};

	for (int i = 0; i < bench.count; i++) {
		const struct node *node = &bench.nodes[i];
		double bytes = (double)node->counters.peer_bytes_sent_total +
		    (double)node->counters.peer_bytes_received_total;

		usage.sent_bytes +=
		    (double)node->counters.peer_bytes_sent_total;
		usage.received_bytes +=
		    (double)node->counters.peer_bytes_received_total;
		usage.messages += (double)node->messages;
		if (bytes > usage.busiest_bytes)
			usage.busiest_bytes = bytes;
	}
	return usage;
}

static void
reset_counters(void)
{
	for (int i = 0; i < bench.count; i++) {
		bench.nodes[i].counters.peer_bytes_sent_total = 0;
		bench.nodes[i].counters.peer_bytes_received_total = 0;
		bench.nodes[i].messages = 0;
	}
}

static void
print_line(const char *load, const char *name, double value, const char *unit)
{
	printf("peer_%s_%s_%d %.3f %s\n", load, name, bench.count, value, unit);
}

static void
measure(uv_timer_t *timer, const char *load, int changes)
{
	double seconds = (double)MEASURE_MS / MS_PER_S;
	struct usage before;
	struct usage after;

	reset_counters();
	before = read_usage();
	for (int i = 0; i < MEASURE_MS / MS_PER_S; i++) {
		for (int k = 0; k < changes; k++)
			bench.published_us[bench.config_end++] =
			    clock_monotonic_us();
		run_for(timer, MS_PER_S);
	}
	after = read_usage();
	print_line(load, "sent", after.sent_bytes / seconds / bench.count,
	    "bytes/s/node");
	print_line(load, "received",
	    after.received_bytes / seconds / bench.count, "bytes/s/node");
	print_line(load, "busiest", after.busiest_bytes / seconds, "bytes/s");
	print_line(load, "messages", after.messages / seconds / bench.count,
	    "messages/s/node");
	print_line(load, "cpu",
	    (after.cpu_us - before.cpu_us) / seconds / US_PER_S / bench.count *
		100,
	    "%/node");
	print_line(load, "cpu_message",
	    (after.cpu_us - before.cpu_us) / after.messages, "us/message");
}

static void
close_all(uv_timer_t *tick, uv_timer_t *timer)
{
	for (int i = 0; i < bench.count; i++) {
		relay_destroy(bench.nodes[i].relay);
		failure_destroy(bench.nodes[i].failure);
		peer_destroy(bench.nodes[i].peer);
	}
	uv_close((uv_handle_t *)tick, NULL);
	uv_close((uv_handle_t *)timer, NULL);
	uv_run(&bench.loop, UV_RUN_DEFAULT);
	uv_loop_close(&bench.loop);
}

static void
run(int count, int domains)
{
	uv_timer_t tick;
	uv_timer_t timer;
	double before_kb = resident_kb();
	uint64_t dropped = 0;

	memset(&bench, 0, sizeof(bench));
	bench.count = count;
	uv_loop_init(&bench.loop);
	uv_timer_init(&bench.loop, &tick);
	uv_timer_init(&bench.loop, &timer);
	for (int i = 0; i < count; i++)
		node_open(&bench.nodes[i], i, domains);
	register_all();
	uv_timer_start(&tick, handle_tick, TICK_MS, TICK_MS);
	run_for(&timer, RELAY_SETTLE_MS);
	print_line("settled", "memory", (resident_kb() - before_kb) / count,
	    "KB/node");
	measure(&timer, "idle", 0);
	measure(&timer, "changes", 1);
	print_line("changes", "force_p50",
	    (double)histogram_quantile(&bench.propagation_us, 0.5) / US_PER_MS,
	    "ms");
	print_line("changes", "force_max",
	    (double)histogram_quantile(&bench.propagation_us, 1) / US_PER_MS,
	    "ms");
	print_line("changes", "forced", (double)bench.propagation_us.count,
	    "versions");
	for (int i = 0; i < count; i++)
		dropped += bench.nodes[i].counters.peer_dropped_total;
	print_line("all", "dropped", (double)dropped, "messages");
	close_all(&tick, &timer);
}

int
main(int argc, char **argv)
{
	static const int sizes[] = {12, 24, 48, 96};
	int domains = argc > 1 ? (int)strtol(argv[1], NULL, 10) : 7;
	int only = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 0;

	if (domains < 1 || only < 0 || only > MAX_NODES) {
		fprintf(stderr, "usage: bench-peer-slopes [DOMAINS [NODES]]\n");
		return EXIT_FAILURE;
	}
	printf("domains %d count\n", domains);
	if (only != 0) {
		run(only, domains);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		run(sizes[i], domains);
	return EXIT_SUCCESS;
}
