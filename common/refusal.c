#include "common/refusal.h"

enum {
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_CALLER_GONE = 499,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503,
	STATUS_GATEWAY_TIMEOUT = 504,
};

const char *
refusal_name(enum refusal reason)
{
	static const char *const names[] = {
#define REFUSAL_NAME(name, text, status, after_s) [REFUSAL_##name] = text,
	    REFUSAL_LIST(REFUSAL_NAME)
#undef REFUSAL_NAME
	};

	return names[reason];
}

int
refusal_http_status(enum refusal reason)
{
	static const int statuses[] = {
#define REFUSAL_STATUS(name, text, status, after_s) [REFUSAL_##name] = status,
	    REFUSAL_LIST(REFUSAL_STATUS)
#undef REFUSAL_STATUS
	};

	return statuses[reason];
}

enum refusal_class
refusal_class(enum refusal reason)
{
	if (reason == REFUSAL_OVERLOADED)
		return REFUSAL_CLASS_OVERLOAD;
	switch (refusal_http_status(reason)) {
	case STATUS_TOO_MANY_REQUESTS:
		return REFUSAL_CLASS_LIMIT;
	case STATUS_UNAVAILABLE:
		return REFUSAL_CLASS_UNAVAILABLE;
	case STATUS_BAD_GATEWAY:
	case STATUS_GATEWAY_TIMEOUT:
		return REFUSAL_CLASS_FAILED;
	case STATUS_CALLER_GONE:
		return REFUSAL_CLASS_CALLER_GONE;
	default:
		return REFUSAL_CLASS_REQUEST;
	}
}

const char *refusal_class_name(enum refusal_class class)
{
	static const char *const names[] = {
#define REFUSAL_CLASS_NAME(name, text) [REFUSAL_CLASS_##name] = text,
	    REFUSAL_CLASS_LIST(REFUSAL_CLASS_NAME)
#undef REFUSAL_CLASS_NAME
	};

	return names[class];
}

int
refusal_retry_after_s(enum refusal reason)
{
	static const int delays[] = {
#define REFUSAL_DELAY(name, text, status, after_s) [REFUSAL_##name] = after_s,
	    REFUSAL_LIST(REFUSAL_DELAY)
#undef REFUSAL_DELAY
	};

	return delays[reason];
}

const char *
retry_reason_name(enum retry_reason reason)
{
	static const char *const names[] = {
#define RETRY_NAME(name, text) [RETRY_##name] = text,
	    RETRY_LIST(RETRY_NAME)
#undef RETRY_NAME
	};

	return names[reason];
}

const char *
execution_state_name(enum execution_state state)
{
	switch (state) {
	case EXECUTION_NOT_STARTED:
		return "not run";
	case EXECUTION_FINISHED:
		return "ran";
	case EXECUTION_UNKNOWN:
		break;
	}
	return "outcome unknown";
}
