#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "common/clock.h"
#include "common/memory.h"
#include "soak.h"

enum {
	STEP_MS = 20,
	GAP_MIN_MS = 50, /* between two faults; they overlap */
	GAP_MAX_MS = 900,
	PAUSE_MAX_MS = 2500,  /* longer than a lease */
	DOWN_MAX_MS = 1500,   /* of a killed gateway */
	HARM_MAX_MS = 2500,   /* of a path to the store */
	OUTAGE_MAX_MS = 1800, /* of the store */
	JSON_BYTES = 128,
};

enum fault_kind {
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_STOP,
	FAULT_PATH,
	FAULT_STORE_OUTAGE,
	FAULT_STORE_LOSES,
	FAULT_ALL_KILLED,
	FAULT_CONFIG,
	FAULT_KIND_COUNT,
};

/** What ails a gateway, and until when. */
struct ailment {
	int64_t paused_until_us; /**< 0: it runs */
	int64_t down_until_us;   /**< 0: it is up, or told to stop */
	bool stopping;
	int64_t path_until_us; /**< 0: its path to the store is sound */
};

struct faults {
	struct soak *soak;
	uv_timer_t *timer;
	struct ailment ailments[SOAK_GATEWAYS];
	int64_t next_us;
	int64_t store_until_us;
	int count;
};

static int64_t
ms_from_now(struct faults *faults, int most_ms)
{
	return clock_monotonic_us() +
	    (int64_t)(1 + rng_below(&faults->soak->rng, (uint64_t)most_ms)) *
	    US_PER_MS;
}

static struct cluster_process *
process_of(struct faults *faults, int number)
{
	return &faults->soak->cluster.gateways[number].process;
}

static void
resume(struct faults *faults, int number)
{
	struct ailment *ailment = &faults->ailments[number];

	if (ailment->paused_until_us == 0)
		return;
	ailment->paused_until_us = 0;
	cluster_signal(process_of(faults, number), SIGCONT);
}

static void
take_down(struct faults *faults, int number)
{
	struct ailment *ailment = &faults->ailments[number];

	cluster_signal(process_of(faults, number), SIGKILL);
	ailment->paused_until_us = 0;
	ailment->stopping = false;
	ailment->down_until_us = ms_from_now(faults, DOWN_MAX_MS);
}

static void
harm_path(struct faults *faults, int number)
{
	enum proxy_mode mode = (enum proxy_mode)(
	    1 + rng_below(&faults->soak->rng, PROXY_MODE_COUNT - 1));

	proxy_set_mode(faults->soak->proxies[number], mode);
	faults->ailments[number].path_until_us =
	    ms_from_now(faults, HARM_MAX_MS);
	soak_log(faults->soak, "path of gateway %d: %s", number,
	    proxy_mode_name(mode));
}

static void
harm_store(struct faults *faults, bool outage)
{
	struct rng *rng = &faults->soak->rng;
	char json[JSON_BYTES];

	if (outage)
		snprintf(json, sizeof(json), "{\"outage_ms\": %d}",
		    (int)(50 + rng_below(rng, OUTAGE_MAX_MS)));
	else
		snprintf(json, sizeof(json),
		    "{\"lose_probability\": 0.3, \"drop_probability\": 0.2}");
	cluster_set_store_faults(&faults->soak->cluster, json);
	if (!outage)
		faults->store_until_us = ms_from_now(faults, OUTAGE_MAX_MS);
	soak_log(faults->soak, "store: %s", json);
}

static void
strike_gateway(struct faults *faults, enum fault_kind kind, int number)
{
	struct ailment *ailment = &faults->ailments[number];

	if (ailment->down_until_us != 0)
		return;
	soak_log(faults->soak, "gateway %d: %s", number,
	    kind == FAULT_PAUSE      ? "pause"
		: kind == FAULT_KILL ? "kill"
				     : "stop");
	if (kind == FAULT_KILL) {
		take_down(faults, number);
	} else if (kind == FAULT_PAUSE) {
		cluster_signal(process_of(faults, number), SIGSTOP);
		ailment->paused_until_us = ms_from_now(faults, PAUSE_MAX_MS);
	} else if (!ailment->stopping) {
		ailment->stopping = true;
		cluster_signal(process_of(faults, number), SIGTERM);
	}
}

static void
strike(struct faults *faults)
{
	struct rng *rng = &faults->soak->rng;
	enum fault_kind kind =
	    (enum fault_kind)rng_below(rng, FAULT_KIND_COUNT);
	int number = (int)rng_below(rng, SOAK_GATEWAYS);

	faults->count++;
	switch (kind) {
	case FAULT_PAUSE:
	case FAULT_KILL:
	case FAULT_STOP:
		strike_gateway(faults, kind, number);
		break;
	case FAULT_PATH:
		harm_path(faults, number);
		break;
	case FAULT_STORE_OUTAGE:
	case FAULT_STORE_LOSES:
		harm_store(faults, kind == FAULT_STORE_OUTAGE);
		break;
	case FAULT_ALL_KILLED:
		if (rng_real(rng) < 0.7)
			break;
		soak_log(faults->soak, "all gateways: kill");
		for (int i = 0; i < SOAK_GATEWAYS; i++)
			take_down(faults, i);
		break;
	case FAULT_CONFIG:
	case FAULT_KIND_COUNT:
		cluster_publish(&faults->soak->cluster, "");
		break;
	}
}

static void
heal(struct faults *faults, int number, bool all)
{
	struct ailment *ailment = &faults->ailments[number];
	struct cluster_process *process = process_of(faults, number);
	int64_t now_us = all ? INT64_MAX : clock_monotonic_us();

	if (ailment->paused_until_us != 0 && ailment->paused_until_us <= now_us)
		resume(faults, number);
	if (ailment->stopping && process->pid != 0 &&
	    waitpid(process->pid, NULL, WNOHANG) == process->pid) {
		process->pid = 0;
		ailment->stopping = false;
		ailment->down_until_us = clock_monotonic_us();
	}
	if (ailment->down_until_us != 0 && ailment->down_until_us <= now_us) {
		ailment->down_until_us = 0;
		cluster_restart_gateway(&faults->soak->cluster, number);
	}
	if (ailment->path_until_us != 0 && ailment->path_until_us <= now_us) {
		ailment->path_until_us = 0;
		proxy_set_mode(faults->soak->proxies[number], PROXY_PASS);
	}
}

static void
clear_store(struct faults *faults)
{
	faults->store_until_us = 0;
	cluster_set_store_faults(&faults->soak->cluster,
	    "{\"lose_probability\": 0.0, \"drop_probability\": 0.0}");
}

static void
handle_step(uv_timer_t *timer)
{
	struct faults *faults = timer->data;
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < SOAK_GATEWAYS; i++)
		heal(faults, i, faults->soak->faults_ended);
	if (faults->store_until_us != 0 && faults->store_until_us <= now_us)
		clear_store(faults);
	if (faults->soak->faults_ended || now_us < faults->next_us)
		return;
	strike(faults);
	faults->next_us =
	    ms_from_now(faults, GAP_MAX_MS) + (int64_t)GAP_MIN_MS * US_PER_MS;
}

struct faults *
faults_create(struct soak *soak)
{
	struct faults *faults = xcalloc(1, sizeof(*faults));

	faults->soak = soak;
	faults->next_us = ms_from_now(faults, GAP_MAX_MS);
	faults->timer = xcalloc(1, sizeof(*faults->timer));
	uv_timer_init(soak->loop, faults->timer);
	faults->timer->data = faults;
	uv_timer_start(faults->timer, handle_step, STEP_MS, STEP_MS);
	return faults;
}

void
faults_clear(struct faults *faults)
{
	soak_log(faults->soak, "calm");
	faults->soak->faults_ended = true;
	clear_store(faults);
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
faults_destroy(struct faults *faults)
{
	for (int i = 0; i < SOAK_GATEWAYS; i++)
		resume(faults, i);
	uv_close((uv_handle_t *)faults->timer, handle_timer_closed);
	free(faults);
}

int
faults_count(const struct faults *faults)
{
	return faults->count;
}
