#include <sys/stat.h>

#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/trace.h"
#include "gateway/settings_reload.h"

enum {
	CHECK_US = 1 * US_PER_S, /* between looks at the file's time */
};

static bool
load(struct settings *settings, const char *path, struct findings *findings)
{
	if (!settings_load(settings, path, findings))
		return false;
	if (settings->gateway)
		return true;
	finding_add(findings, path, 0, "section [gateway] is missing");
	return false;
}

static int64_t
modified_us(const char *path)
{
	struct stat status;

	if (stat(path, &status) != 0)
		return 0;
	return (int64_t)status.st_mtim.tv_sec * US_PER_S +
	    status.st_mtim.tv_nsec / 1000;
}

bool
settings_reload_initial(struct gateway *gateway, const char *path)
{
	struct findings findings;
	bool ok;

	gateway->settings_path = path;
	gateway->settings_modified_us = modified_us(path);
	findings_init(&findings);
	ok = load(&gateway->settings, path, &findings);
	if (!ok)
		findings_print(&findings, stderr);
	findings_reset(&findings);
	return ok;
}

static void
apply(struct gateway *gateway, const struct settings *fresh)
{
	struct settings *settings = &gateway->settings;

	settings->log_level = fresh->log_level;
	settings->stop_grace_us = fresh->stop_grace_us;
	settings->gateway_drain_us = fresh->gateway_drain_us;
	settings->gateway_config_apply_us = fresh->gateway_config_apply_us;
	memcpy(settings->domains, fresh->domains, sizeof(settings->domains));
	settings->domain_count = fresh->domain_count;
	diag_set_level(settings->log_level);
	if (strcmp(settings->gateway_callers, fresh->gateway_callers) != 0 ||
	    strcmp(settings->gateway_store, fresh->gateway_store) != 0 ||
	    settings->gateway_partitions != fresh->gateway_partitions)
		diag(LOG_WARNING, NULL,
		    "addresses and partitions change at the next start");
}

void
settings_reload_now(struct gateway *gateway, const char *cause)
{
	struct findings findings;
	struct settings fresh;
	struct trace trace;
	bool ok;

	gateway->settings_modified_us = modified_us(gateway->settings_path);
	findings_init(&findings);
	ok = load(&fresh, gateway->settings_path, &findings);
	trace_begin_unlimited(&trace, "settings_read");
	trace_text(&trace, "cause", cause);
	trace_number(&trace, "findings", (int64_t)findings.count);
	trace_end(&trace);
	list_for_each (finding, &findings.items, struct finding, link)
		diag(LOG_ERR, NULL, "%s:%d: %s", finding->location,
		    finding->line, finding->text);
	findings_reset(&findings);
	if (ok)
		apply(gateway, &fresh);
}

void
settings_reload_tick(struct gateway *gateway)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us - gateway->settings_checked_us < CHECK_US)
		return;
	gateway->settings_checked_us = now_us;
	if (modified_us(gateway->settings_path) !=
	    gateway->settings_modified_us)
		settings_reload_now(gateway, "file changed");
}
