#include "common/counter.h"

enum {
	RENDER_BITS_MIN = 10, /* 1,024 microseconds */
	RENDER_BITS_MAX = 26, /* 67 seconds */
};

/* Values below HISTOGRAM_SUB_BUCKETS have a bucket each; above, a power of
 * two is split into HISTOGRAM_SUB_BUCKETS linear steps. */
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

static uint64_t
bucket_upper(int index)
{
	int shift = index / HISTOGRAM_SUB_BUCKETS - 1;
	uint64_t step = (uint64_t)(index % HISTOGRAM_SUB_BUCKETS);

	if (shift < 0)
		return step;
	return ((HISTOGRAM_SUB_BUCKETS + step + 1) << shift) - 1;
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
			return bucket_upper(i);
	}
	return bucket_upper(HISTOGRAM_BUCKETS - 1);
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

/* Buckets at powers of two, from about a millisecond to about a minute. */
static void
render_histogram(struct buf *out, const char *name, const char *help,
    const struct histogram *histogram)
{
	uint64_t below = 0;
	int at = 0;

	buf_printf(out,
	    "# HELP guavakeel_%s %s\n# TYPE guavakeel_%s histogram\n", name,
	    help, name);
	for (int bits = RENDER_BITS_MIN; bits <= RENDER_BITS_MAX; bits++) {
		uint64_t bound = (uint64_t)1 << bits;

		for (; at < HISTOGRAM_BUCKETS && bucket_upper(at) < bound; at++)
			below += histogram->buckets[at];
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

/* One counter a reason. */
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
