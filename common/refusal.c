#include "common/refusal.h"

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
