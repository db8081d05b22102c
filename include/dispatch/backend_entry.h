/** @file
 * A backend server as it describes itself in the platform's list.
 */
#ifndef DISPATCH_BACKEND_ENTRY_H
#define DISPATCH_BACKEND_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "record/record.h"

enum {
	BACKEND_ADDRESS_BYTES = 32, /**< "IP:port" */
};

struct backend_entry {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[BACKEND_ADDRESS_BYTES];
	char failure_domain[NAME_BYTES];
	uint32_t slots;       /**< requests that it runs at once */
	bool draining;        /**< takes no new work */
	int64_t cold_us;      /**< how much longer it is slow after its start */
	int64_t born_wall_ms; /**< its start; tells lives of one id apart */
};

#endif
