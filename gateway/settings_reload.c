#include <sys/stat.h>

#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/diag.h"
#include "common/trace.h"
#include "gateway/settings_reload.h"

enum {
	/* Between checks of the file's modification time. */
	CHECK_INTERVAL_US = 1 * US_PER_S,
};

static bool
load_settings(
    struct settings *settings, const char *path, struct findings *findings)
{
	if (!settings_load(settings, path, findings))
		return false;
	if (settings->gateway)
		return true;
	finding_add(findings, path, 0, "section [gateway] is missing");
	return false;
}

static int64_t
file_modified_us(const char *path)
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
	gateway->settings_modified_us = file_modified_us(path);
	findings_init(&findings);
	ok = load_settings(&gateway->settings, path, &findings);
	if (!ok)
		findings_print(&findings, stderr);
	findings_reset(&findings);
	return ok;
}

static void
apply_settings(struct gateway *gateway, const struct settings *new_settings)
{
	struct settings *settings = &gateway->settings;

	settings->log_level = new_settings->log_level;
	settings->stop_grace_us = new_settings->stop_grace_us;
	settings->gateway_drain_us = new_settings->gateway_drain_us;
	settings->gateway_config_apply_us =
	    new_settings->gateway_config_apply_us;
	settings->gateway_record_max_bytes =
	    new_settings->gateway_record_max_bytes;
	settings->gateway_append_max_bytes =
	    new_settings->gateway_append_max_bytes;
	memcpy(settings->domains, new_settings->domains,
	    sizeof(settings->domains));
	settings->domain_count = new_settings->domain_count;
	diag_set_level(settings->log_level);
	if (strcmp(settings->gateway_callers, new_settings->gateway_callers) !=
		0 ||
	    strcmp(settings->gateway_store, new_settings->gateway_store) != 0 ||
	    settings->gateway_partitions != new_settings->gateway_partitions)
		diag(LOG_WARNING, NULL,
		    "addresses and partitions change at the next start");
}

void
settings_reload_now(struct gateway *gateway, const char *cause)
{
	struct findings findings;
	struct settings new_settings;
	struct trace trace;
	bool ok;

	gateway->settings_modified_us =
	    file_modified_us(gateway->settings_path);
	findings_init(&findings);
	ok = load_settings(&new_settings, gateway->settings_path, &findings);
	trace_begin_unlimited(&trace, "settings_read");
	trace_text(&trace, "cause", cause);
	trace_number(&trace, "findings", (int64_t)findings.count);
	trace_end(&trace);
	list_for_each (finding, &findings.items, struct finding, link)
		diag(LOG_ERR, NULL, "%s:%d: %s", finding->location,
		    finding->line, finding->text);
	findings_reset(&findings);
	if (ok)
		apply_settings(gateway, &new_settings);
}

void
settings_reload_tick(struct gateway *gateway)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us - gateway->settings_checked_us < CHECK_INTERVAL_US)
		return;
	gateway->settings_checked_us = now_us;
	if (file_modified_us(gateway->settings_path) !=
	    gateway->settings_modified_us)
		settings_reload_now(gateway, "file changed");
}
