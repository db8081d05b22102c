#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/memory.h"
#include "common/trace.h"
#include "gateway/peer_gateways.h"
#include "gateway/quarantine.h"
#include "program/crash.h"

enum {
	CRASHES_MAX = 3, /* servers that one request may take down */
	/* Between a broken connection and the news of its server's end. */
	NEWS_US = 4 * US_PER_S,
	CUTS_MAX = 256,
};

/** A request whose connection broke. */
struct cut {
	uint64_t fingerprint;
	char server[NAME_BYTES];
	int64_t born_wall_ms;
	int64_t at_us;
};

struct quarantine {
	struct gateway *gateway;
	struct crash_evidence evidence;
	struct cut cuts[CUTS_MAX]; /**< the oldest is written over */
	size_t next_cut;
};

struct quarantine *
quarantine_create(struct gateway *gateway)
{
	struct quarantine *quarantine = xcalloc(1, sizeof(*quarantine));

	quarantine->gateway = gateway;
	return quarantine;
}

void
quarantine_destroy(struct quarantine *quarantine)
{
	crash_reset(&quarantine->evidence);
	free(quarantine);
}

void
quarantine_add_broken_connection(struct quarantine *quarantine,
    uint64_t fingerprint, const struct backend *backend)
{
	struct cut *cut = &quarantine->cuts[quarantine->next_cut++ % CUTS_MAX];

	cut->fingerprint = fingerprint;
	memcpy(cut->server, backend->entry.id, sizeof(cut->server));
	cut->born_wall_ms = backend->entry.born_wall_ms;
	cut->at_us = clock_monotonic_us();
}

/* All gateways name one crash of a server alike. */
static void
add_evidence(struct quarantine *quarantine,
    const struct message_server_crashed *crashed, const char *from)
{
	struct record_crash report = {
	    .fingerprint = crashed->fingerprint,
	    .incident = hash_bytes(&crashed->started_wall_ms,
		sizeof(crashed->started_wall_ms),
		hash_text(crashed->server, 0)),
	};
	struct trace trace;

	memcpy(report.server, crashed->server, sizeof(report.server));
	crash_add(&quarantine->evidence, &report);
	trace_begin(&trace, "request_crashed_server");
	trace_number(&trace, "fingerprint", (int64_t)crashed->fingerprint);
	trace_text(&trace, "server", crashed->server);
	trace_text(&trace, "seen_by", from);
	trace_number(&trace, "held",
	    quarantine_contains(quarantine, crashed->fingerprint));
	trace_end(&trace);
}

void
quarantine_handle_server_end(struct quarantine *quarantine, const char *server)
{
	struct gateway *gateway = quarantine->gateway;
	int64_t now_us = clock_monotonic_us();

	for (size_t i = 0; i < CUTS_MAX; i++) {
		struct cut *cut = &quarantine->cuts[i];
		struct message message = {
		    .type = MESSAGE_SERVER_CRASHED,
		    .server_crashed =
			{
			    .fingerprint = cut->fingerprint,
			    .started_wall_ms = cut->born_wall_ms,
			},
		};

		if (cut->fingerprint == 0 || now_us - cut->at_us > NEWS_US ||
		    strcmp(cut->server, server) != 0)
			continue;
		cut->fingerprint = 0;
		memcpy(message.server_crashed.server, server,
		    strnlen(server, NAME_BYTES - 1));
		add_evidence(quarantine, &message.server_crashed,
		    gateway->settings.vm_name);
		peer_gateways_broadcast(gateway->peer_gateways, &message);
	}
}

void
quarantine_handle_peer_report(
    struct quarantine *quarantine, const struct message_server_crashed *crashed)
{
	add_evidence(quarantine, crashed, "another gateway");
}

bool
quarantine_contains(const struct quarantine *quarantine, uint64_t fingerprint)
{
	return crash_quarantined(
	    &quarantine->evidence, fingerprint, CRASHES_MAX);
}
