#include <inttypes.h>
#include <stdio.h>
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
	CRASHES_MAX = 3, /* crashed servers before a request is quarantined */
	/* A request is suspected of a crash only if its connection broke at
	 * most this long before the end of the server was noticed. */
	CRASH_NOTICE_MAX_US = 4 * US_PER_S,
	BROKEN_CONNECTIONS_MAX = 256,
	FINGERPRINT_TEXT_BYTES = 17,
};

/** A request whose connection to its backend server broke. */
struct broken_connection {
	uint64_t fingerprint; /**< of the request; 0: unused entry */
	char server[NAME_BYTES];
	int64_t server_started_wall_ms;
	int64_t broken_us;
};

struct quarantine {
	struct gateway *gateway;
	struct crash_evidence evidence;
	/** Ring buffer; the oldest entry is overwritten. */
	struct broken_connection broken_connections[BROKEN_CONNECTIONS_MAX];
	size_t next_broken; /**< count of entries ever written */
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
	struct broken_connection *broken =
	    &quarantine->broken_connections[quarantine->next_broken++ %
		BROKEN_CONNECTIONS_MAX];

	broken->fingerprint = fingerprint;
	memcpy(broken->server, backend->entry.id, sizeof(broken->server));
	broken->server_started_wall_ms = backend->entry.started_wall_ms;
	broken->broken_us = clock_monotonic_us();
}

/* Adds a crash to the evidence and logs it. The incident's id is derived from
 * the server's id and start time, so that reports of several gateways on one
 * crash count once. */
static void
add_evidence(struct quarantine *quarantine,
    const struct message_server_crashed *crashed, const char *source)
{
	struct record_crash report = {
	    .fingerprint = crashed->fingerprint,
	    .incident = hash_bytes(&crashed->started_wall_ms,
		sizeof(crashed->started_wall_ms),
		hash_text(crashed->server, 0)),
	};
	char fingerprint[FINGERPRINT_TEXT_BYTES];
	struct trace trace;

	memcpy(report.server, crashed->server, sizeof(report.server));
	crash_add(&quarantine->evidence, &report);
	trace_begin(&trace, "request_crashed_server");
	snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
	    crashed->fingerprint);
	trace_text(&trace, "fingerprint", fingerprint);
	trace_text(&trace, "server", crashed->server);
	trace_text(&trace, "seen_by", source);
	trace_number(&trace, "held",
	    quarantine_contains(quarantine, crashed->fingerprint));
	trace_end(&trace);
}

static void
trace_server_end(
    const char *server, const char *sign, size_t suspects, size_t too_old)
{
	struct trace trace;

	trace_begin(&trace, "server_ended");
	trace_text(&trace, "server", server);
	trace_text(&trace, "sign", sign);
	trace_number(&trace, "suspects", (int64_t)suspects);
	trace_number(&trace, "too_old", (int64_t)too_old);
	trace_end(&trace);
}

void
quarantine_handle_server_end(
    struct quarantine *quarantine, const char *server, const char *sign)
{
	struct gateway *gateway = quarantine->gateway;
	int64_t now_us = clock_monotonic_us();
	size_t suspects = 0;
	size_t too_old = 0;

	for (size_t i = 0; i < BROKEN_CONNECTIONS_MAX; i++) {
		struct broken_connection *broken =
		    &quarantine->broken_connections[i];
		struct message message = {
		    .type = MESSAGE_SERVER_CRASHED,
		    .server_crashed =
			{
			    .fingerprint = broken->fingerprint,
			    .started_wall_ms = broken->server_started_wall_ms,
			},
		};

		if (broken->fingerprint == 0 ||
		    strcmp(broken->server, server) != 0)
			continue;
		if (now_us - broken->broken_us > CRASH_NOTICE_MAX_US) {
			too_old++;
			continue;
		}
		suspects++;
		broken->fingerprint = 0;
		memcpy(message.server_crashed.server, server,
		    strnlen(server, NAME_BYTES - 1));
		add_evidence(quarantine, &message.server_crashed,
		    gateway->settings.vm_name);
		peer_gateways_broadcast(gateway->peer_gateways, &message);
	}
	trace_server_end(server, sign, suspects, too_old);
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
