/** @file
 * What the parts of the store's client share; see platform/store.h for the
 * whole.
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
	CALL_STATUS_ONLY, /**< only its status is of interest */
};

struct store {
	uv_timer_t *timer; /**< fires at the next call's time limit */
	struct h1_client *client;
	struct counters *counters;
	char address[H1_ADDRESS_BYTES];
	struct list calls;
};

struct store_call {
	struct list link;
	struct store *store;
	struct h1_call *http;
	enum call_kind kind;
	int64_t started_us;
	int64_t ends_us;
	uint64_t from; /**< of a read */
	int status;    /**< of the HTTP answer; 0: none yet */
	struct buf answer;
	union {
		void (*append)(void *, const struct store_appended *);
		void (*read)(void *, const struct store_read *);
		void (*newest)(void *, const struct store_newest *);
		void (*join)(void *, const struct store_joined *);
		void (*owners)(void *, const struct store_owners *);
		void (*plain)(void *, enum store_status);
	} done;
	void *context;
};

/* store_answer.c: decode the answer of a call and hand it to its callback. */
void store_finish_append(struct store_call *call, enum store_status status);
void store_finish_read(struct store_call *call, enum store_status status);
void store_finish_newest(struct store_call *call, enum store_status status);
void store_finish_join(struct store_call *call, enum store_status status);
void store_finish_owners(struct store_call *call, enum store_status status);

#endif
