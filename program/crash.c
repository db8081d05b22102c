#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "program/crash.h"

static struct crash_suspect *
suspect_find(const struct crash_evidence *evidence, uint64_t fingerprint)
{
	struct crash_suspect *suspect;

	HASH_FIND(
	    hh, evidence->suspects, &fingerprint, sizeof(fingerprint), suspect);
	return suspect;
}

static bool
incident_has(const struct crash_incident *incident, uint64_t fingerprint)
{
	for (size_t i = 0; i < incident->suspect_count; i++) {
		if (incident->suspects[i] == fingerprint)
			return true;
	}
	return false;
}

static void
suspect_drop(struct crash_evidence *evidence, uint64_t fingerprint)
{
	struct crash_suspect *suspect = suspect_find(evidence, fingerprint);

	if (suspect == NULL || --suspect->incidents > 0)
		return;
	/* The analyser assumes that the macro's table is freed or NULL. */
	/* NOLINTNEXTLINE(clang-analyzer-*) */
	HASH_DEL(evidence->suspects, suspect);
	free(suspect);
}

static void
incident_drop_oldest(struct crash_evidence *evidence)
{
	struct crash_incident *oldest = &evidence->incidents[0];

	for (size_t i = 0; i < oldest->suspect_count; i++)
		suspect_drop(evidence, oldest->suspects[i]);
	free(oldest->suspects);
	evidence->count--;
	memmove(evidence->incidents, evidence->incidents + 1,
	    evidence->count * sizeof(*oldest));
}

static struct crash_incident *
incident_get(struct crash_evidence *evidence, const struct record_crash *report)
{
	struct crash_incident *incident;

	for (size_t i = 0; i < evidence->count; i++) {
		if (evidence->incidents[i].id == report->incident)
			return &evidence->incidents[i];
	}
	if (evidence->count == CRASH_INCIDENTS_MAX)
		incident_drop_oldest(evidence);
	evidence->incidents = xrealloc(evidence->incidents,
	    (evidence->count + 1) * sizeof(evidence->incidents[0]));
	incident = &evidence->incidents[evidence->count++];
	memset(incident, 0, sizeof(*incident));
	incident->id = report->incident;
	memcpy(incident->server, report->server, NAME_BYTES);
	return incident;
}

void
crash_reset(struct crash_evidence *evidence)
{
	while (evidence->count > 0)
		incident_drop_oldest(evidence);
	free(evidence->incidents);
	evidence->incidents = NULL;
}

void
crash_add(struct crash_evidence *evidence, const struct record_crash *report)
{
	struct crash_incident *incident = incident_get(evidence, report);
	struct crash_suspect *suspect;

	if (report->running > incident->running)
		incident->running = report->running;
	if (incident_has(incident, report->fingerprint) ||
	    incident->suspect_count == CRASH_SUSPECTS_MAX)
		return;
	incident->suspects = xrealloc(incident->suspects,
	    (incident->suspect_count + 1) * sizeof(incident->suspects[0]));
	incident->suspects[incident->suspect_count++] = report->fingerprint;
	suspect = suspect_find(evidence, report->fingerprint);
	if (suspect == NULL) {
		suspect = xcalloc(1, sizeof(*suspect));
		suspect->fingerprint = report->fingerprint;
		memcpy(suspect->workspace, report->workspace, NAME_BYTES);
		HASH_ADD(hh, evidence->suspects, fingerprint,
		    sizeof(suspect->fingerprint), suspect);
	}
	suspect->incidents++;
}

void
crash_lift(struct crash_evidence *evidence, uint64_t fingerprint)
{
	for (size_t i = 0; i < evidence->count; i++) {
		struct crash_incident *incident = &evidence->incidents[i];

		for (size_t k = 0; k < incident->suspect_count; k++) {
			if (incident->suspects[k] != fingerprint)
				continue;
			incident->suspects[k] =
			    incident->suspects[--incident->suspect_count];
			suspect_drop(evidence, fingerprint);
			break;
		}
	}
}

/* Returns the share (0..1) of an incident that is attributed to a suspect. */
static double
incident_share(const struct crash_evidence *evidence,
    const struct crash_incident *incident, const struct crash_suspect *suspect)
{
	size_t tied = 0;

	for (size_t i = 0; i < incident->suspect_count; i++) {
		const struct crash_suspect *other =
		    suspect_find(evidence, incident->suspects[i]);

		if (other->incidents > suspect->incidents)
			return 0;
		if (other->incidents == suspect->incidents)
			tied++;
	}
	return 1.0 / (double)tied;
}

/* Returns the number of incidents that are attributed to a suspect. */
static double
attributed_incidents(
    const struct crash_evidence *evidence, const struct crash_suspect *suspect)
{
	double sum = 0;

	for (size_t i = 0; i < evidence->count; i++) {
		const struct crash_incident *incident = &evidence->incidents[i];

		if (incident_has(incident, suspect->fingerprint))
			sum += incident_share(evidence, incident, suspect);
	}
	return sum;
}

bool
crash_quarantined(const struct crash_evidence *evidence, uint64_t fingerprint,
    uint32_t max_crashes)
{
	const struct crash_suspect *suspect =
	    suspect_find(evidence, fingerprint);

	if (suspect == NULL || suspect->incidents < max_crashes)
		return false;
	if (suspect->incidents >= CRASH_HARD_LIMIT_FACTOR * max_crashes)
		return true;
	return attributed_incidents(evidence, suspect) >= (double)max_crashes;
}

void
crash_describe(const struct crash_evidence *evidence, uint32_t max_crashes,
    struct buf *out)
{
	const char *separator = "";

	buf_append_text(out, "[");
	for (struct crash_suspect *s = evidence->suspects; s != NULL;
	     s = s->hh.next) {
		if (s->incidents < 2)
			continue;
		buf_printf(out,
		    "%s{\"fingerprint\":\"%016llx\",\"workspace\":\"%s\","
		    "\"incidents\":%u,\"quarantined\":%s}",
		    separator, (unsigned long long)s->fingerprint, s->workspace,
		    s->incidents,
		    crash_quarantined(evidence, s->fingerprint, max_crashes)
			? "true"
			: "false");
		separator = ",";
	}
	buf_append_text(out, "]");
}
