#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "tests/config_sim.h"

static void
set_failure(struct sim *sim, const char *what, uint64_t a, uint64_t b)
{
	if (sim->run->failure[0] != '\0')
		return;
	snprintf(sim->run->failure, sizeof(sim->run->failure),
	    "at %.2f s: %s (%" PRIu64 ", %" PRIu64 ")",
	    (double)sim->now_us / US_PER_S, what, a, b);
}

/* Applies one record to a fold, with the mutation of the run. */
static bool
feed_record(struct sim *sim, struct config_fold *fold, uint64_t offset)
{
	const struct buf *wire = &sim->entries[offset].wire;
	struct buf changed = {0};
	struct record record;
	struct plog_record item = {offset, wire->data, wire->len};
	struct plog_read read = {.oldest_offset = sim->oldest_offset,
	    .end_offset = sim->count,
	    .records = &item,
	    .count = 1};
	bool at_end;

	if (sim->run->mutation == CONFIG_MUTATION_NO_BASE_CHECK &&
	    record_decode(wire->data, wire->len, &record, NULL) &&
	    record.type == RECORD_CONFIG_PATCH) {
		record.config_patch.base = fold->version;
		record_encode(&record, &changed);
		item.data = changed.data;
		item.len = changed.len;
	}
	at_end = config_stream_feed(fold, &read, NULL);
	if (fold->next_offset <= offset) {
		sim->run->snapshot_starts++;
		if (sim->run->mutation == CONFIG_MUTATION_NO_SNAPSHOT_TAIL)
			fold->next_offset = offset + 1;
	}
	buf_reset(&changed);
	return at_end;
}

/* Reads to the end of the stream. Returns false if the log can't be reached. */
static bool
read_stream(struct sim *sim, struct config_fold *fold)
{
	struct plog_read expired = {.status = PLOG_EXPIRED};

	if (sim_log_is_down(sim) ||
	    (!sim_is_fault_free(sim) && sim_chance(sim, 5)))
		return false;
	if (fold->next_offset < sim->oldest_offset) {
		expired.oldest_offset = sim->oldest_offset;
		expired.end_offset = sim->count;
		config_stream_feed(fold, &expired, NULL);
	}
	while (fold->next_offset < sim->count)
		feed_record(sim, fold, fold->next_offset);
	return true;
}

static void
check_document(struct sim *sim, struct node *node)
{
	const struct config_fold *fold = &node->fold;
	char *document;

	if (fold->version == node->seen_version)
		return;
	if (fold->version < node->seen_version)
		set_failure(sim, "version went back", node->seen_version,
		    fold->version);
	node->seen_version = fold->version;
	if (fold->version > sim->reference.version) {
		set_failure(sim, "version was never accepted", fold->version,
		    sim->reference.version);
		return;
	}
	document = sim_document_text(fold);
	if (strcmp(document, sim->documents[fold->version]) != 0)
		set_failure(
		    sim, "version has a different document", fold->version, 0);
	free(document);
}

/* Checks that a node which could reach the log all the time has every version
 * that was accepted long enough ago. */
static void
check_propagation(struct sim *sim, const struct node *node)
{
	uint64_t expected = sim->reference.version;

	while (expected > 0 &&
	    sim->accepted_us[expected] >
		sim->now_us - SECONDS(MAX_PROPAGATION_S))
		expected--;
	if (node->log_reachable_since_us <=
		sim->now_us - SECONDS(MAX_PROPAGATION_S) &&
	    (node->fold.version < expected || !node->fold.complete))
		set_failure(sim, "version did not reach a node in time",
		    expected, node->fold.version);
}

/* Updates the longest propagation time with the versions after before. */
static void
measure_propagation(struct sim *sim, const struct node *node, uint64_t before)
{
	for (uint64_t v = before + 1;
	     v <= node->fold.version && v <= sim->reference.version; v++) {
		int64_t propagation_us = sim->now_us - sim->accepted_us[v];

		if (node->log_reachable_since_us <= sim->accepted_us[v] &&
		    propagation_us > sim->run->max_propagation_us)
			sim->run->max_propagation_us = propagation_us;
	}
}

static void
node_restart(struct sim *sim, struct node *node, uint64_t max_duration_us)
{
	config_fold_reset(&node->fold);
	config_fold_init(&node->fold);
	node->seen_version = 0;
	node->down_until_us =
	    sim->now_us + (int64_t)rng_below(&sim->rng, max_duration_us);
	sim->run->restarts++;
}

static void
node_append_snapshot(struct sim *sim, struct node *node, uint32_t rank)
{
	static const struct config_snapshot_policy policy = {
	    .retention_us = SECONDS(RETENTION_S), .max_records = 40};
	struct buf wire = {0};

	if (!config_snapshot_due(
		&node->fold, &policy, sim->oldest_offset, sim->now_us, rank))
		return;
	config_snapshot_encode(
	    &node->fold, rng_next(&sim->rng), sim->now_us, &wire);
	sim_log_append(sim, &wire);
	buf_reset(&wire);
}

static bool
node_reaches_log(const struct sim *sim, const struct node *node)
{
	return sim->now_us >= node->down_until_us &&
	    sim->now_us >= node->log_unreachable_until_us &&
	    !sim_log_is_down(sim);
}

static void
node_inject_faults(struct sim *sim, struct node *node, uint32_t rank)
{
	uint64_t max_duration_us = (uint64_t)SECONDS(RETENTION_S) / 4;

	if (sim_is_fault_free(sim) || (rank == 0 && !sim_may_lose_writer(sim)))
		return;
	if (rank > 0)
		max_duration_us = (uint64_t)SECONDS(2 * RETENTION_S);
	if (rng_below(&sim->rng, 400) == 0)
		node_restart(sim, node, max_duration_us);
	if (rng_below(&sim->rng, 300) == 0)
		node->log_unreachable_until_us = sim->now_us +
		    (int64_t)rng_below(&sim->rng, max_duration_us);
}

static void
node_step(struct sim *sim, struct node *node, uint32_t rank)
{
	uint64_t before = node->fold.version;

	node_inject_faults(sim, node, rank);
	if (!node_reaches_log(sim, node)) {
		node->log_reachable_since_us = sim->now_us + 1;
		return;
	}
	if (sim->now_us >= node->next_poll_us) {
		node->next_poll_us = sim->now_us + SECONDS(1);
		if (read_stream(sim, &node->fold))
			node_append_snapshot(sim, node, rank);
		else
			node->log_reachable_since_us = sim->now_us + 1;
		check_document(sim, node);
		measure_propagation(sim, node, before);
	}
	check_propagation(sim, node);
}

static void
operator_begin_patch(struct sim *sim, struct operator* operator)
{
	uint64_t key = rng_below(&sim->rng, 6);
	uint64_t value = rng_below(&sim->rng, 1000);

	if (!read_stream(sim, &operator->node.fold) ||
	    !operator->node.fold.complete)
		return;
	if (sim_chance(sim, 20))
		snprintf(operator->patch, sizeof(operator->patch),
		    "{\"k%" PRIu64 "\":null}", key);
	else
		snprintf(operator->patch, sizeof(operator->patch),
		    "{\"k%" PRIu64 "\":{\"m%" PRIu64 "\":%" PRIu64 "}}", key,
		    value % 3, value);
	operator->id = rng_next(&sim->rng);
	operator->base = operator->node.fold.version;
	operator->state = OPERATOR_SENDING;
}

static void
operator_finish(struct sim *sim, struct operator* operator, bool accepted)
{
	if (sim->result_count < MAX_RESULTS)
		sim->results[sim->result_count++] =
		    (struct operator_result){operator->id, accepted};
	if (!accepted)
		sim->run->conflicts++;
	operator->state = OPERATOR_IDLE;
}

static void
operator_send(struct sim *sim, struct operator* operator)
{
	struct record record = {
	    .type = RECORD_CONFIG_PATCH, .id = operator->id };
	struct buf wire = {0};

	switch (config_fold_patch_outcome(
	    &operator->node.fold, operator->id, operator->base)) {
	case CONFIG_PATCH_ACCEPTED:
		operator_finish(sim, operator, true);
		return;
	case CONFIG_PATCH_REJECTED:
		operator_finish(sim, operator, false);
		return;
	case CONFIG_PATCH_PENDING:
		break;
	}
	record.config_patch.base = operator->base;
	record.config_patch.wall_us = sim->now_us;
	record.config_patch.patch.data = (const uint8_t *)operator->patch;
	record.config_patch.patch.len = strlen(operator->patch);
	record_encode(&record, &wire);
	if (sim_log_append(sim, &wire) != PLOG_NOT_SENT)
		operator->state = OPERATOR_READING_BACK;
	buf_reset(&wire);
}

static void
operator_step(struct sim *sim, struct operator* operator)
{
	bool at_end;

	switch (operator->state) {
	case OPERATOR_IDLE:
		if (!sim_is_fault_free(sim) && sim_chance(sim, 8))
			operator_begin_patch(sim, operator);
		break;
	case OPERATOR_SENDING:
		operator_send(sim, operator);
		break;
	case OPERATOR_READING_BACK:
		at_end = read_stream(sim, &operator->node.fold);
		if (at_end && operator->node.fold.complete)
			operator->state = OPERATOR_SENDING;
		break;
	}
}

static void
check_operator_results(struct sim *sim)
{
	for (size_t i = 0; i < sim->result_count; i++) {
		const struct operator_result *result = &sim->results[i];
		bool is_accepted = config_fold_find_record(
				       &sim->reference, result->id) != NULL;

		if (is_accepted != result->accepted)
			set_failure(sim, "operator was given the wrong outcome",
			    result->id, result->accepted);
	}
}

/* Checks that all nodes have the same versions at the end. */
static void
check_equal_versions(struct sim *sim)
{
	struct digest expected = config_fold_digest(&sim->reference);

	for (uint64_t i = 0; i < NODES; i++) {
		struct config_fold *fold = &sim->nodes[i].fold;
		struct digest digest;

		read_stream(sim, fold);
		digest = config_fold_digest(fold);
		if (!digest_equal(&digest, &expected))
			set_failure(sim, "versions of a node differ at the end",
			    i, fold->version);
	}
}

static void
sim_free(struct sim *sim)
{
	for (size_t i = 0; i < sim->count; i++)
		buf_reset(&sim->entries[i].wire);
	for (size_t i = 0; i < sim->late_record_count; i++)
		buf_reset(&sim->late_records[i].wire);
	for (size_t i = 0; i < MAX_ENTRIES; i++)
		free(sim->documents[i]);
	for (int i = 0; i < NODES; i++)
		config_fold_reset(&sim->nodes[i].fold);
	for (int i = 0; i < OPERATORS; i++)
		config_fold_reset(&sim->operators[i].node.fold);
	config_fold_reset(&sim->reference);
	free(sim);
}

void
config_run(struct config_run *run)
{
	struct sim *sim = xcalloc(1, sizeof(*sim));

	sim->run = run;
	rng_init(&sim->rng, run->seed);
	config_fold_init(&sim->reference);
	for (int i = 0; i < NODES; i++)
		config_fold_init(&sim->nodes[i].fold);
	for (int i = 0; i < OPERATORS; i++)
		config_fold_init(&sim->operators[i].node.fold);
	while (sim->now_us < SECONDS(RUN_S) && run->failure[0] == '\0') {
		sim->now_us += MS(TICK_MS);
		sim_log_advance(sim);
		for (uint32_t i = 0; i < NODES; i++)
			node_step(sim, &sim->nodes[i], i);
		for (int i = 0; i < OPERATORS; i++)
			operator_step(sim, &sim->operators[i]);
	}
	run->versions = sim->reference.version;
	if (run->failure[0] == '\0') {
		check_operator_results(sim);
		check_equal_versions(sim);
	}
	sim_free(sim);
}
