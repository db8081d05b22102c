/** @file
 * A backend server as the platform's list of servers describes it.
 */
#ifndef DISPATCH_BACKEND_ENTRY_H
#define DISPATCH_BACKEND_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "record/record.h"

enum {
	BACKEND_ADDRESS_BYTES = 32, /**< "IP:port" */
};

/** Entry of the platform's list. */
struct backend_entry {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[BACKEND_ADDRESS_BYTES];
	char failure_domain[NAME_BYTES];
	uint32_t slots;     /**< number of requests that it runs at once */
	bool draining;      /**< true if it accepts no new requests */
	int64_t warm_up_us; /**< time until it has warmed up after its start */
	/** Start time; differs after a restart under the same id. */
	int64_t started_wall_ms;
};

#endif
