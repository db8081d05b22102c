#include <stdarg.h>
#include <stdio.h>

#include "common/error.h"

bool
error_set(struct error *err, enum error_code code, const char *fmt, ...)
{
	va_list args;

	if (err == NULL)
		return false;
	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, args);
	va_end(args);
	return false;
}

const char *
error_code_name(enum error_code code)
{
	static const char *const names[] = {
	    [ERROR_NONE] = "none",
	    [ERROR_INVALID] = "invalid",
	    [ERROR_NOT_FOUND] = "not_found",
	    [ERROR_CONFLICT] = "conflict",
	    [ERROR_LIMIT] = "limit",
	    [ERROR_IO] = "io",
	    [ERROR_TIMEOUT] = "timeout",
	    [ERROR_STATE] = "state",
	    [ERROR_MEMORY] = "memory",
	};

	return names[code];
}
