#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "common/memory.h"
#include "gateway/workspace_counters.h"
#include "record/record.h"

/** The counters of a workspace. */
struct entry {
	UT_hash_handle hh; /**< by name */
	char name[NAME_BYTES];
	uint64_t requests;
	uint64_t refused[REFUSAL_CLASS_COUNT];
};

struct workspace_counters {
	struct entry *by_name; /**< uthash */
	struct entry dropped;  /**< sum of those that are no longer kept */
};

struct workspace_counters *
workspace_counters_create(void)
{
	return xcalloc(1, sizeof(struct workspace_counters));
}

void
workspace_counters_destroy(struct workspace_counters *counters)
{
	struct entry *entry, *next;

	HASH_ITER (hh, counters->by_name, entry, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): uthash relinks */
		HASH_DEL(counters->by_name, entry);
		free(entry);
	}
	free(counters);
}

static void
add(struct entry *sum, const struct entry *entry)
{
	sum->requests += entry->requests;
	for (int i = 0; i < REFUSAL_CLASS_COUNT; i++)
		sum->refused[i] += entry->refused[i];
}

/* Moves the counters of the workspace with the fewest requests to the sum. */
static void
drop_smallest(struct workspace_counters *counters)
{
	struct entry *smallest = counters->by_name;

	for (struct entry *entry = counters->by_name; entry != NULL;
	     entry = entry->hh.next) {
		if (entry->requests < smallest->requests)
			smallest = entry;
	}
	add(&counters->dropped, smallest);
	HASH_DEL(counters->by_name, smallest);
	free(smallest);
}

static struct entry *
find_or_add(struct workspace_counters *counters, const char *workspace)
{
	struct entry *entry = NULL;

	HASH_FIND_STR(counters->by_name, workspace, entry);
	if (entry != NULL)
		return entry;
	if (HASH_COUNT(counters->by_name) >= WORKSPACE_COUNTERS_MAX)
		drop_smallest(counters);
	entry = xcalloc(1, sizeof(*entry));
	snprintf(entry->name, sizeof(entry->name), "%s", workspace);
	HASH_ADD_STR(counters->by_name, name, entry);
	return entry;
}

void
workspace_counters_add_request(
    struct workspace_counters *counters, const char *workspace)
{
	find_or_add(counters, workspace)->requests++;
}

void
workspace_counters_add_refusal(struct workspace_counters *counters,
    const char *workspace, enum refusal reason)
{
	find_or_add(counters, workspace)->refused[refusal_class(reason)]++;
}

/* Inserts an entry into the largest ones, which are sorted by requests. Returns
 * their number. */
static size_t
insert_largest(const struct entry *largest[WORKSPACE_COUNTERS_SHOWN],
    size_t count, const struct entry *entry)
{
	size_t at = count;

	if (count == WORKSPACE_COUNTERS_SHOWN) {
		if (largest[count - 1]->requests >= entry->requests)
			return count;
		at = count - 1;
	}
	while (at > 0 && largest[at - 1]->requests < entry->requests) {
		largest[at] = largest[at - 1];
		at--;
	}
	largest[at] = entry;
	return count < WORKSPACE_COUNTERS_SHOWN ? count + 1 : count;
}

/* Appends the value of a label. */
static void
render_value(struct buf *out, const char *text)
{
	buf_append_text(out, "\"");
	for (; *text != '\0'; text++) {
		if (*text == '"' || *text == '\\')
			buf_append_text(out, "\\");
		buf_append(out, text, 1);
	}
	buf_append_text(out, "\"");
}

static void
render_requests(struct buf *out, const struct entry *entry)
{
	buf_append_text(out, "guavakeel_workspace_requests_total{workspace=");
	render_value(out, entry->name);
	buf_printf(out, "} %llu\n", (unsigned long long)entry->requests);
}

static void
render_refused(struct buf *out, const struct entry *entry)
{
	for (int i = 0; i < REFUSAL_CLASS_COUNT; i++) {
		if (entry->refused[i] == 0)
			continue;
		buf_append_text(
		    out, "guavakeel_workspace_refused_total{workspace=");
		render_value(out, entry->name);
		buf_printf(out, ",class=\"%s\"} %llu\n",
		    refusal_class_name((enum refusal_class)i),
		    (unsigned long long)entry->refused[i]);
	}
}

/* The sum of the others falls when one of them becomes one of the largest, so
 * it is no counter in the sense of the format. */
static void
render_others(struct buf *out, const struct entry *others)
{
	buf_printf(out,
	    "# HELP guavakeel_other_workspaces_requests Requests of the other "
	    "workspaces since the start\n"
	    "# TYPE guavakeel_other_workspaces_requests gauge\n"
	    "guavakeel_other_workspaces_requests %llu\n"
	    "# HELP guavakeel_other_workspaces_refused Requests of the other "
	    "workspaces refused or failed since the start, by class\n"
	    "# TYPE guavakeel_other_workspaces_refused gauge\n",
	    (unsigned long long)others->requests);
	for (int i = 0; i < REFUSAL_CLASS_COUNT; i++)
		buf_printf(out,
		    "guavakeel_other_workspaces_refused{class=\"%s\"} %llu\n",
		    refusal_class_name((enum refusal_class)i),
		    (unsigned long long)others->refused[i]);
}

static bool
is_among(
    const struct entry *const *largest, size_t count, const struct entry *entry)
{
	for (size_t i = 0; i < count; i++) {
		if (largest[i] == entry)
			return true;
	}
	return false;
}

void
workspace_counters_render(
    const struct workspace_counters *counters, struct buf *out)
{
	const struct entry *largest[WORKSPACE_COUNTERS_SHOWN];
	struct entry others = counters->dropped;
	const struct entry *entry;
	size_t count = 0;

	if (counters->by_name == NULL)
		return;
	for (entry = counters->by_name; entry != NULL; entry = entry->hh.next)
		count = insert_largest(largest, count, entry);
	for (entry = counters->by_name; entry != NULL; entry = entry->hh.next) {
		if (!is_among(largest, count, entry))
			add(&others, entry);
	}
	buf_append_text(out,
	    "# HELP guavakeel_workspace_requests_total Requests of the largest "
	    "workspaces\n"
	    "# TYPE guavakeel_workspace_requests_total counter\n");
	for (size_t i = 0; i < count; i++)
		render_requests(out, largest[i]);
	buf_append_text(out,
	    "# HELP guavakeel_workspace_refused_total Requests of the largest "
	    "workspaces refused or failed, by class\n"
	    "# TYPE guavakeel_workspace_refused_total counter\n");
	for (size_t i = 0; i < count; i++)
		render_refused(out, largest[i]);
	render_others(out, &others);
}
