#include "common/counter.h"

enum {
	/* Binary logarithms of the bounds of exported buckets. */
	RENDER_BITS_MIN = 10, /* 1,024 microseconds */
	RENDER_BITS_MAX = 26, /* 67 seconds */
};

/* Values below HISTOGRAM_SUB_BUCKETS have a bucket each. Above that, the range
 * from one power of two to the next has HISTOGRAM_SUB_BUCKETS equal buckets. */
static int
bucket_index(uint64_t value)
{
	int shift;
	int index;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (int)value;
	shift = 63 - __builtin_clzll(value) - 3;
	index = (shift + 1) * HISTOGRAM_SUB_BUCKETS +
	    (int)((value >> shift) & (HISTOGRAM_SUB_BUCKETS - 1));
	return index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1;
}

/* Returns the greatest value that a bucket counts. */
static uint64_t
bucket_max(int index)
{
	int shift = index / HISTOGRAM_SUB_BUCKETS - 1;
	uint64_t sub_bucket = (uint64_t)(index % HISTOGRAM_SUB_BUCKETS);

	if (shift < 0)
		return sub_bucket;
	return ((HISTOGRAM_SUB_BUCKETS + sub_bucket + 1) << shift) - 1;
}

void
histogram_add(struct histogram *histogram, int64_t value)
{
	uint64_t sample = value > 0 ? (uint64_t)value : 0;

	histogram->count++;
	histogram->sum += sample;
	histogram->buckets[bucket_index(sample)]++;
}

uint64_t
histogram_quantile(const struct histogram *histogram, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	if (rank >= histogram->count)
		rank = histogram->count - 1;
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > rank)
			return bucket_max(i);
	}
	return bucket_max(HISTOGRAM_BUCKETS - 1);
}

static void
render_counter(
    struct buf *out, const char *name, const char *help, uint64_t value)
{
	buf_printf(out,
	    "# HELP guavakeel_%s %s\n# TYPE guavakeel_%s counter\n"
	    "guavakeel_%s %llu\n",
	    name, help, name, name, (unsigned long long)value);
}

/* Appends a histogram. Its bucket bounds are powers of two, from about a
 * millisecond to about a minute. */
static void
render_histogram(struct buf *out, const char *name, const char *help,
    const struct histogram *histogram)
{
	uint64_t below = 0;
	int index = 0;

	buf_printf(out,
	    "# HELP guavakeel_%s %s\n# TYPE guavakeel_%s histogram\n", name,
	    help, name);
	for (int bits = RENDER_BITS_MIN; bits <= RENDER_BITS_MAX; bits++) {
		uint64_t bound = (uint64_t)1 << bits;

		for (; index < HISTOGRAM_BUCKETS && bucket_max(index) < bound;
		     index++)
			below += histogram->buckets[index];
		buf_printf(out, "guavakeel_%s_bucket{le=\"%llu\"} %llu\n", name,
		    (unsigned long long)bound, (unsigned long long)below);
	}
	buf_printf(out,
	    "guavakeel_%s_bucket{le=\"+Inf\"} %llu\n"
	    "guavakeel_%s_sum %llu\nguavakeel_%s_count %llu\n",
	    name, (unsigned long long)histogram->count, name,
	    (unsigned long long)histogram->sum, name,
	    (unsigned long long)histogram->count);
}

/* Appends one counter per retry reason. */
static void
render_retries(struct buf *out, const char *name, const char *help,
    const uint64_t *counters)
{
	buf_printf(out, "# HELP guavakeel_%s %s\n# TYPE guavakeel_%s counter\n",
	    name, help, name);
	for (int i = 0; i < RETRY_COUNT; i++)
		buf_printf(out, "guavakeel_%s{reason=\"%s\"} %llu\n", name,
		    retry_reason_name((enum retry_reason)i),
		    (unsigned long long)counters[i]);
}

void
counters_render(const struct counters *counters, struct buf *out)
{
	buf_append_text(out,
	    "# HELP guavakeel_refusals_total Requests refused, by reason\n"
	    "# TYPE guavakeel_refusals_total counter\n");
	for (int i = 0; i < REFUSAL_COUNT; i++)
		buf_printf(out,
		    "guavakeel_refusals_total{reason=\"%s\"} %llu\n",
		    refusal_name((enum refusal)i),
		    (unsigned long long)counters->refusals[i]);
	render_retries(out, "retries_total", "Attempts repeated, by reason",
	    counters->retries);
	render_retries(out, "attempt_failures_total",
	    "Attempts at backend servers without an answer, by reason",
	    counters->attempt_failures);
#define COUNTER_RENDER(name, help) \
	render_counter(out, #name, help, counters->name);
	COUNTER_LIST(COUNTER_RENDER)
#undef COUNTER_RENDER
#define HISTOGRAM_RENDER(name, help) \
	render_histogram(out, #name, help, &counters->name);
	HISTOGRAM_LIST(HISTOGRAM_RENDER)
#undef HISTOGRAM_RENDER
}
