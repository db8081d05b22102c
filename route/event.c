#include <stdio.h>
#include <string.h>

#include "route/internal.h"

/* Decides by the learned pauses of the tool; schedules the release of a cache
 * that is kept. */
static enum sched_cache_action
sched_retain_learned(
    struct sched *sched, struct route_program *program, int64_t now_us)
{
	const struct route_server *server = program->cache_entries[0].server;
	int64_t memory_us, retention_us;

	if (server == NULL || server->config.kv_tokens == 0)
		return SCHED_CACHE_ACTION_KEEP;
	memory_us = (int64_t)((double)server->config.kv_tokens * US_PER_S /
	    server->prefill_tokens_per_s);
	retention_us = pauses_cache_retention_us(&sched->pauses, program->tool,
	    memory_us, server_kv_utilization(server));
	if (retention_us == 0) {
		program_clear_cache_entry(program, server);
		return SCHED_CACHE_ACTION_DROP;
	}
	program->release_us = now_us + retention_us;
	return SCHED_CACHE_ACTION_KEEP;
}

enum sched_cache_action
sched_handle_pause_begin(struct sched *sched, const char *id,
    const char *workspace, const char *tool, int64_t now_us)
{
	struct route_program *program =
	    programs_find_or_add(&sched->programs, id);

	snprintf(
	    program->tool, sizeof(program->tool), "%s/%s", workspace, tool);
	program->pause_begun_us = now_us;
	switch (sched->policy.cache_retention) {
	case SCHED_RETAIN_LEARNED:
		return sched_retain_learned(sched, program, now_us);
	case SCHED_RETAIN_ALWAYS:
		return SCHED_CACHE_ACTION_KEEP;
	case SCHED_RETAIN_NEVER:
		break;
	}
	program_clear_cache_entry(program, program->cache_entries[0].server);
	return SCHED_CACHE_ACTION_DROP;
}

bool
sched_next_release(struct sched *sched, int64_t now_us,
    char id[PROGRAM_ID_BYTES], char server[NAME_BYTES])
{
	if (now_us < sched->last_release_check_us + SCHED_RELEASE_CHECK_US)
		return false;
	list_for_each (
	    program, &sched->programs.lru, struct route_program, lru_link) {
		struct route_cache_entry *entry = &program->cache_entries[0];

		if (program->cache_entries[1].tokens > 0)
			entry = &program->cache_entries[1];
		else if (program->release_us > now_us)
			continue;
		else
			program->release_us = INT64_MAX;
		if (entry->server == NULL || entry->tokens == 0)
			continue;
		entry->tokens = 0;
		memcpy(id, program->id, PROGRAM_ID_BYTES);
		memcpy(server, entry->server->config.name, NAME_BYTES);
		return true;
	}
	sched->last_release_check_us = now_us;
	return false;
}

void
sched_handle_program_end(struct sched *sched, const char *program)
{
	programs_remove(&sched->programs, program);
}

void
sched_handle_load(struct sched *sched, const char *name,
    const struct sched_load *load, int64_t now_us)
{
	struct route_server *server = servers_find(&sched->servers, name);

	if (server != NULL)
		server_handle_load(server, load, now_us, &sched->rng);
}

void
sched_handle_cache_event(struct sched *sched, const char *name,
    enum sched_cache_event event, const char *id, uint64_t tokens,
    int64_t now_us)
{
	struct route_server *server = servers_find(&sched->servers, name);
	struct route_program *program;

	(void)now_us;
	if (server == NULL)
		return;
	if (event == SCHED_CACHE_CLEARED) {
		programs_clear_server_cache(&sched->programs, server);
		return;
	}
	program = programs_find(&sched->programs, id);
	if (program == NULL)
		return;
	if (event == SCHED_CACHE_STORED)
		program_update_cache_entry(program, server, tokens);
	else
		program_clear_cache_entry(program, server);
}

void
sched_handle_health(
    struct sched *sched, const char *name, bool healthy, int64_t now_us)
{
	struct route_server *server = servers_find(&sched->servers, name);

	if (server != NULL)
		server_handle_health(server, healthy, now_us);
}

void
sched_set_leaving(struct sched *sched, const char *name, bool leaving)
{
	struct route_server *server = servers_find(&sched->servers, name);

	if (server != NULL)
		server->leaving = leaving;
}
