/** @file
 * Declarations shared by the source files of the store client; see
 * platform/store.h for its interface.
 */
#ifndef PLATFORM_STORE_INTERNAL_H
#define PLATFORM_STORE_INTERNAL_H

#include <uv.h>

#include "common/list.h"
#include "h1/client.h"
#include "platform/store.h"

enum call_kind {
	CALL_APPEND,
	CALL_READ,
	CALL_NEWEST,
	CALL_JOIN,
	CALL_OWNERS,
	CALL_STATUS_ONLY, /**< reports only the status */
};

struct store {
	uv_timer_t *timer; /**< fires at the earliest deadline of a call */
	struct h1_client *client;
	struct counters *counters;
	char address[H1_ADDRESS_BYTES];
	struct list calls;
	/** Earliest time of the next log line on ignored records. */
	int64_t ignored_log_due_us;
};

struct store_call {
	struct list link;
	struct store *store;
	struct h1_call *http;
	enum call_kind kind;
	int64_t started_us;
	int64_t deadline_us;
	uint64_t from;               /**< first offset wanted; reads only */
	struct store_cursor *cursor; /**< of CALL_NEWEST */
	const char *topic;           /**< the same; a constant */
	int status;                  /**< HTTP status; 0: no response yet */
	struct buf response;         /**< body */
	union {
		void (*append)(void *, const struct store_appended *);
		void (*read)(void *, const struct store_read *);
		void (*newest)(void *, const struct store_newest *);
		void (*join)(void *, const struct store_joined *);
		void (*owners)(void *, const struct store_owners *);
		void (*status_only)(void *, enum store_status);
	} done;
	void *context;
};

/* store_response.c: decode the response of a call and run its callback. */
void store_finish_append(struct store_call *call, enum store_status status);
void store_finish_read(struct store_call *call, enum store_status status);
void store_finish_newest(struct store_call *call, enum store_status status);
void store_finish_join(struct store_call *call, enum store_status status);
void store_finish_owners(struct store_call *call, enum store_status status);

#endif
