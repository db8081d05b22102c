#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "common/clock.h"
#include "common/memory.h"
#include "soak.h"

enum {
	STEP_MS = 20,
	/* Time between the starts of two faults, which may overlap. */
	FAULT_GAP_MIN_MS = 50,
	FAULT_GAP_MAX_MS = 900,
	PAUSE_MAX_MS = 2500,      /* longer than a lease */
	DOWN_MAX_MS = 1500,       /* of a killed gateway */
	PATH_FAULT_MAX_MS = 2500, /* of a gateway's path to the store */
	STORE_FAULT_MAX_MS = 1800,
	ROLL_GAP_MAX_MS = 700,
	CONFIG_GAP_MAX_MS = 150,
	CONFIG_SERIES_MAX = 12,
	PLANNED_MS = 3500, /* at the start of a run */
	JSON_BYTES = 128,
};

enum fault_kind {
	FAULT_PAUSE,        /* SIGSTOP to a gateway */
	FAULT_KILL,         /* SIGKILL to a gateway */
	FAULT_STOP,         /* SIGTERM to a gateway */
	FAULT_STORE_PATH,   /* the proxy before the store misbehaves */
	FAULT_STORE_OUTAGE, /* the store responds with 503 */
	FAULT_STORE_LOSS,   /* requests and responses are lost */
	FAULT_KILL_ALL,
	FAULT_CONFIG, /* a new configuration is published */
	FAULT_BASIC_COUNT,
	FAULT_ROLL = FAULT_BASIC_COUNT, /* SIGTERM to each gateway in turn */
	FAULT_RELOAD,                   /* SIGHUP to a gateway */
	FAULT_CONFIG_SERIES,
	FAULT_SERVER_LEAVE,
	FAULT_SERVER_LEAVE_UNLISTED,
	FAULT_SERVER_KILL,
	FAULT_SERVER_PATHS,   /* a gateway loses all servers */
	FAULT_SERVER_LIMIT,   /* a server limits its requests */
	FAULT_SERVER_TROUBLE, /* a server fails its requests */
	FAULT_KIND_COUNT,
};

/* Faults that are planned work, which must cut no request. */
static const enum fault_kind planned_kinds[] = {
    FAULT_STOP,
    FAULT_ROLL,
    FAULT_RELOAD,
    FAULT_CONFIG,
    FAULT_CONFIG_SERIES,
    FAULT_SERVER_LEAVE,
};

/** Steps of one kind that follow each other. */
struct series {
	int left;
	int64_t due_us; /**< of the next step */
};

/** The active faults of a gateway, with their ends. */
struct gateway_faults {
	int64_t paused_until_us;     /**< 0: not paused */
	int64_t down_until_us;       /**< 0: running or stopping */
	bool stopping;               /**< SIGTERM was sent */
	int64_t path_fault_until_us; /**< 0: the path to the store works */
	int64_t cut_until_us;        /**< 0: the paths to servers work */
	int64_t troubled_us;         /**< last time of any of these */
};

struct faults {
	struct soak *soak;
	uv_timer_t *timer;
	struct gateway_faults gateways[CLUSTER_MAX_GATEWAYS];
	struct series roll;
	struct series config_changes;
	int64_t next_fault_us;
	int64_t planned_until_us;    /**< until then only planned work */
	int64_t store_loss_until_us; /**< 0: the store loses nothing */
	int64_t store_troubled_us;   /**< end of its latest trouble */
	int count;
};

/* Returns a random time between 1 and max_ms from now. */
static int64_t
random_time_us(struct faults *faults, int max_ms)
{
	return clock_monotonic_us() +
	    (int64_t)(1 + rng_below(&faults->soak->rng, (uint64_t)max_ms)) *
	    US_PER_MS;
}

static struct cluster_process *
gateway_process(struct faults *faults, int number)
{
	return &faults->soak->cluster.gateways[number].process;
}

static void
resume_gateway(struct faults *faults, int number)
{
	struct gateway_faults *gateway = &faults->gateways[number];

	if (gateway->paused_until_us == 0)
		return;
	gateway->paused_until_us = 0;
	cluster_signal(gateway_process(faults, number), SIGCONT);
}

static void
kill_gateway(struct faults *faults, int number)
{
	struct gateway_faults *gateway = &faults->gateways[number];

	cluster_signal(gateway_process(faults, number), SIGKILL);
	servers_gateway_interrupted(faults->soak->servers, number);
	gateway->paused_until_us = 0;
	gateway->stopping = false;
	gateway->down_until_us = random_time_us(faults, DOWN_MAX_MS);
}

static void
inject_path_fault(struct faults *faults, int number)
{
	/* The sequence of the basic faults stays as it was. */
	uint64_t mode_count =
	    faults->soak->basic_faults ? PROXY_REFUSE : PROXY_MODE_COUNT;
	enum proxy_mode mode = (enum proxy_mode)(
	    1 + rng_below(&faults->soak->rng, mode_count - 1));

	proxy_set_mode(faults->soak->proxies[number], mode);
	faults->gateways[number].path_fault_until_us =
	    random_time_us(faults, PATH_FAULT_MAX_MS);
	soak_log(faults->soak, "path of gateway %d: %s", number,
	    proxy_mode_name(mode));
}

static void
inject_server_paths_fault(struct faults *faults, int number)
{
	static const enum proxy_mode modes[] = {
	    PROXY_RESET, PROXY_BLACKHOLE, PROXY_REFUSE, PROXY_DARK};
	enum proxy_mode mode = modes[rng_below(
	    &faults->soak->rng, sizeof(modes) / sizeof(modes[0]))];

	if (number >= SOAK_PATHS_MAX)
		return;
	paths_set_server_mode(faults->soak->paths[number], mode);
	faults->gateways[number].cut_until_us =
	    random_time_us(faults, PATH_FAULT_MAX_MS);
	soak_log(faults->soak, "servers of gateway %d: %s", number,
	    proxy_mode_name(mode));
}

static void
note_store_trouble(struct faults *faults, int64_t until_us)
{
	if (until_us > faults->store_troubled_us)
		faults->store_troubled_us = until_us;
}

static void
inject_store_fault(struct faults *faults, bool outage)
{
	struct rng *rng = &faults->soak->rng;
	char json[JSON_BYTES];

	int outage_ms;

	if (outage) {
		outage_ms = (int)(50 + rng_below(rng, STORE_FAULT_MAX_MS));
		snprintf(json, sizeof(json), "{\"outage_ms\": %d}", outage_ms);
		note_store_trouble(faults,
		    clock_monotonic_us() + (int64_t)outage_ms * US_PER_MS);
	} else
		snprintf(json, sizeof(json),
		    "{\"lose_probability\": 0.3, \"drop_probability\": 0.2}");
	cluster_set_store_faults(&faults->soak->cluster, json);
	if (!outage) {
		faults->store_loss_until_us =
		    random_time_us(faults, STORE_FAULT_MAX_MS);
		note_store_trouble(faults, faults->store_loss_until_us);
	}
	soak_log(faults->soak, "store: %s", json);
}

static void
inject_gateway_fault(struct faults *faults, enum fault_kind kind, int number)
{
	struct gateway_faults *gateway = &faults->gateways[number];

	if (gateway->down_until_us != 0)
		return;
	soak_log(faults->soak, "gateway %d: %s", number,
	    kind == FAULT_PAUSE      ? "pause"
		: kind == FAULT_KILL ? "kill"
				     : "stop");
	if (kind == FAULT_KILL) {
		kill_gateway(faults, number);
	} else if (kind == FAULT_PAUSE) {
		cluster_signal(gateway_process(faults, number), SIGSTOP);
		servers_gateway_interrupted(faults->soak->servers, number);
		gateway->paused_until_us = random_time_us(faults, PAUSE_MAX_MS);
	} else if (!gateway->stopping) {
		gateway->stopping = true;
		cluster_signal(gateway_process(faults, number), SIGTERM);
	}
}

static enum fault_kind
choose_kind(struct faults *faults)
{
	struct rng *rng = &faults->soak->rng;

	if (faults->soak->basic_faults)
		return (enum fault_kind)rng_below(rng, FAULT_BASIC_COUNT);
	if (!faults_all_planned(faults))
		return (enum fault_kind)rng_below(rng, FAULT_KIND_COUNT);
	return planned_kinds[rng_below(
	    rng, sizeof(planned_kinds) / sizeof(planned_kinds[0]))];
}

static int
choose_server(struct faults *faults)
{
	return (int)rng_below(
	    &faults->soak->rng, (uint64_t)faults->soak->server_count);
}

/* Starts a series unless one of the kind is under way. */
static void
series_start(struct series *series, int count)
{
	if (series->left > 0)
		return;
	series->left = count;
	series->due_us = clock_monotonic_us();
}

static void
series_step(struct faults *faults)
{
	struct series *roll = &faults->roll;
	struct series *changes = &faults->config_changes;
	int64_t now_us = clock_monotonic_us();

	if (roll->left > 0 && roll->due_us <= now_us) {
		roll->left--;
		inject_gateway_fault(faults, FAULT_STOP, roll->left);
		roll->due_us = random_time_us(faults, ROLL_GAP_MAX_MS);
	}
	if (changes->left > 0 && changes->due_us <= now_us) {
		changes->left--;
		cluster_publish(&faults->soak->cluster, "");
		changes->due_us = random_time_us(faults, CONFIG_GAP_MAX_MS);
	}
}

static void
inject_fault(struct faults *faults)
{
	struct rng *rng = &faults->soak->rng;
	enum fault_kind kind = choose_kind(faults);
	int number = (int)rng_below(rng, (uint64_t)faults->soak->gateway_count);

	faults->count++;
	switch (kind) {
	case FAULT_PAUSE:
	case FAULT_KILL:
	case FAULT_STOP:
		inject_gateway_fault(faults, kind, number);
		break;
	case FAULT_STORE_PATH:
		inject_path_fault(faults, number);
		break;
	case FAULT_STORE_OUTAGE:
	case FAULT_STORE_LOSS:
		inject_store_fault(faults, kind == FAULT_STORE_OUTAGE);
		break;
	case FAULT_KILL_ALL:
		if (rng_real(rng) < 0.7)
			break;
		soak_log(faults->soak, "all gateways: kill");
		for (int i = 0; i < faults->soak->gateway_count; i++)
			kill_gateway(faults, i);
		break;
	case FAULT_ROLL:
		soak_log(faults->soak, "all gateways: stop in turn");
		series_start(&faults->roll, faults->soak->gateway_count);
		break;
	case FAULT_RELOAD:
		if (faults->gateways[number].down_until_us == 0)
			cluster_signal(gateway_process(faults, number), SIGHUP);
		break;
	case FAULT_CONFIG_SERIES:
		series_start(&faults->config_changes,
		    2 + (int)rng_below(rng, CONFIG_SERIES_MAX - 1));
		break;
	case FAULT_SERVER_LEAVE:
	case FAULT_SERVER_LEAVE_UNLISTED:
		servers_leave(faults->soak->servers, choose_server(faults),
		    kind == FAULT_SERVER_LEAVE);
		break;
	case FAULT_SERVER_KILL:
		servers_kill(faults->soak->servers, choose_server(faults));
		break;
	case FAULT_SERVER_PATHS:
		inject_server_paths_fault(faults, number);
		break;
	case FAULT_SERVER_LIMIT:
		servers_limit(faults->soak->servers, choose_server(faults));
		break;
	case FAULT_SERVER_TROUBLE:
		servers_trouble(faults->soak->servers, choose_server(faults));
		break;
	case FAULT_CONFIG:
	case FAULT_KIND_COUNT:
		cluster_publish(&faults->soak->cluster, "");
		break;
	}
}

/* Ends the faults of a gateway whose time has come; with all set, every one. */
static void
recover_gateway(struct faults *faults, int number, bool all)
{
	struct gateway_faults *gateway = &faults->gateways[number];
	struct cluster_process *process = gateway_process(faults, number);
	int64_t now_us = all ? INT64_MAX : clock_monotonic_us();

	if (gateway->paused_until_us != 0 || gateway->down_until_us != 0 ||
	    gateway->stopping || gateway->path_fault_until_us != 0 ||
	    gateway->cut_until_us != 0)
		gateway->troubled_us = clock_monotonic_us();
	if (gateway->paused_until_us != 0 && gateway->paused_until_us <= now_us)
		resume_gateway(faults, number);
	if (gateway->stopping && process->pid != 0 &&
	    waitpid(process->pid, NULL, WNOHANG) == process->pid) {
		process->pid = 0;
		gateway->stopping = false;
		gateway->down_until_us = clock_monotonic_us();
	}
	if (gateway->down_until_us != 0 && gateway->down_until_us <= now_us) {
		gateway->down_until_us = 0;
		servers_gateway_interrupted(faults->soak->servers, number);
		cluster_restart_gateway(&faults->soak->cluster, number);
	}
	if (gateway->path_fault_until_us != 0 &&
	    gateway->path_fault_until_us <= now_us) {
		gateway->path_fault_until_us = 0;
		proxy_set_mode(faults->soak->proxies[number], PROXY_PASS);
	}
	if (gateway->cut_until_us != 0 && gateway->cut_until_us <= now_us) {
		gateway->cut_until_us = 0;
		paths_set_server_mode(faults->soak->paths[number], PROXY_PASS);
	}
}

static void
clear_store_losses(struct faults *faults)
{
	faults->store_loss_until_us = 0;
	cluster_set_store_faults(&faults->soak->cluster,
	    "{\"lose_probability\": 0.0, \"drop_probability\": 0.0}");
}

static void
handle_step(uv_timer_t *timer)
{
	struct faults *faults = timer->data;
	int64_t now_us = clock_monotonic_us();

	for (int i = 0; i < faults->soak->gateway_count; i++)
		recover_gateway(faults, i, faults->soak->faults_ended);
	servers_step(faults->soak->servers, faults->soak->faults_ended);
	if (faults->store_loss_until_us != 0 &&
	    faults->store_loss_until_us <= now_us)
		clear_store_losses(faults);
	if (faults->soak->faults_ended)
		return;
	series_step(faults);
	if (now_us < faults->next_fault_us)
		return;
	inject_fault(faults);
	faults->next_fault_us = random_time_us(faults, FAULT_GAP_MAX_MS) +
	    (int64_t)FAULT_GAP_MIN_MS * US_PER_MS;
}

struct faults *
faults_create(struct soak *soak)
{
	struct faults *faults = xcalloc(1, sizeof(*faults));

	faults->soak = soak;
	if (!soak->basic_faults)
		faults->planned_until_us =
		    clock_monotonic_us() + (int64_t)PLANNED_MS * US_PER_MS;
	faults->next_fault_us = random_time_us(faults, FAULT_GAP_MAX_MS);
	faults->timer = xcalloc(1, sizeof(*faults->timer));
	uv_timer_init(soak->loop, faults->timer);
	faults->timer->data = faults;
	uv_timer_start(faults->timer, handle_step, STEP_MS, STEP_MS);
	return faults;
}

void
faults_clear(struct faults *faults)
{
	soak_log(faults->soak, "end of faults");
	faults->soak->faults_ended = true;
	clear_store_losses(faults);
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	free(handle);
}

void
faults_destroy(struct faults *faults)
{
	for (int i = 0; i < faults->soak->gateway_count; i++)
		resume_gateway(faults, i);
	uv_close((uv_handle_t *)faults->timer, handle_timer_closed);
	free(faults);
}

bool
faults_all_planned(const struct faults *faults)
{
	return clock_monotonic_us() < faults->planned_until_us;
}

int64_t
faults_calm_us(const struct faults *faults, int gateway)
{
	int64_t since_us = faults->gateways[gateway].troubled_us;

	if (faults->store_troubled_us > since_us)
		since_us = faults->store_troubled_us;
	return clock_monotonic_us() - since_us;
}

int
faults_count(const struct faults *faults)
{
	return faults->count;
}
