/** @file
 * Error value that a caller passes and the called function fills in.
 */
#ifndef COMMON_ERROR_H
#define COMMON_ERROR_H

#include <stdbool.h>

enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID,   /**< malformed input */
	ERROR_NOT_FOUND, /**< the named object does not exist */
	ERROR_CONFLICT,  /**< a concurrent change came first */
	ERROR_LIMIT,     /**< a configured bound was reached */
	ERROR_IO,        /**< the network or a peer failed */
	ERROR_TIMEOUT,   /**< no response in time */
	ERROR_STATE,     /**< not possible in the current state */
	ERROR_MEMORY,    /**< allocation failed */
};

struct error {
	enum error_code code;
	char text[256]; /**< error message */
};

/** Fills err (which may be NULL). Always returns false, so that a function
 * can end with `return error_set(...)`. */
bool error_set(struct error *err, enum error_code code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** Returns the code's name in lower case, e.g. "not_found". */
const char *error_code_name(enum error_code code);

#endif
