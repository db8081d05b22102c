#include "gateway/dependency.h"

#include "common/trace.h"

void
dependency_trace_unreachable(const char *dependency, enum store_status status)
{
	struct trace trace;

	trace_begin_unlimited(&trace, "dependency_lost");
	trace_text(&trace, "dependency", dependency);
	trace_text(&trace, "store_status", store_status_name(status));
	trace_end(&trace);
}

void
dependency_trace_recovered(const char *dependency, int64_t unreachable_us)
{
	struct trace trace;

	trace_begin_unlimited(&trace, "dependency_regained");
	trace_text(&trace, "dependency", dependency);
	if (unreachable_us >= 0)
		trace_ms(&trace, "lost_ms", unreachable_us);
	trace_end(&trace);
}
