/** @file
 * Limit on the rate of requests that a backend server states in a response.
 */
#ifndef DISPATCH_STATED_LIMIT_H
#define DISPATCH_STATED_LIMIT_H

enum stated_limit_kind {
	LIMIT_ABSENT,    /**< the response states no limit */
	LIMIT_STATED,    /**< per_s is valid */
	LIMIT_MALFORMED, /**< the value is not a decimal number */
};

struct stated_limit {
	enum stated_limit_kind kind;
	/** Requests a second that the server accepts from all VMs together. */
	double per_s;
};

#endif
