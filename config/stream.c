#include "config/stream.h"

static void
count_verdict(struct counters *counters, enum config_verdict verdict)
{
	if (counters == NULL)
		return;
	if (verdict == CONFIG_ACCEPTED)
		counters->config_patches_total++;
	if (verdict == CONFIG_STALE_BASE || verdict == CONFIG_MALFORMED)
		counters->config_rejects_total++;
}

bool
config_stream_feed(struct config_fold *fold, const struct plog_read *read,
    struct counters *counters)
{
	config_fold_set_oldest_offset(fold, read->oldest_offset);
	for (size_t i = 0; i < read->count; i++) {
		const struct plog_record *record = &read->records[i];
		enum config_verdict verdict;

		verdict = config_fold_apply_encoded(
		    fold, record->offset, record->data, record->len);
		count_verdict(counters, verdict);
		/* The snapshot moved next_offset back. Records after that
		 * offset, ignored while the fold was incomplete, are read
		 * again. */
		if (verdict == CONFIG_ADOPTED)
			break;
	}
	return fold->next_offset >= read->end_offset;
}
