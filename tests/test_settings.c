#include <check.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

#include "config/settings.h"
#include "tests/runner.h"

/* The settings that a daemon requires; more keys of [log] may follow. */
#define DAEMON_SETTINGS \
	"[vm]\nname = entry-1\nfailure_domain = eu-vest-a\nregion = eu-vest\n" \
	"[listen]\naddress = 127.0.0.1\n[log]\naddress = 127.0.0.1\n" \
	"port = 7000\n"

static bool
load(const char *text, struct settings *settings, struct findings *findings)
{
	char path[] = "settings-XXXXXX";
	int fd = mkstemp(path);
	bool ok;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	findings_init(findings);
	ok = settings_load(settings, path, findings);
	unlink(path);
	return ok;
}

static bool
has_finding(const struct findings *findings, int line, const char *text)
{
	list_for_each (finding, &findings->items, struct finding, link) {
		if (finding->line == line &&
		    strstr(finding->text, text) != NULL)
			return true;
	}
	return false;
}

START_TEST(units_and_defaults_apply)
{
	struct settings settings;
	struct findings findings;

	ck_assert(load(DAEMON_SETTINGS
	    "retention = 2 h\n[members]\naddress = ::1\nport = 9\n  poll_interval = 250 ms\n"
	    "[limits]\nmax_body = 2 MiB ; comment\nstop_grace=5 min\n"
	    "max_connections = 12\n[diagnostics]\nlevel = debug\n",
	    &settings, &findings));
	ck_assert_str_eq(settings.vm_name, "entry-1");
	ck_assert_int_eq(settings.log_port, 7000);
	ck_assert_int_eq(settings.log_retention_us, INT64_C(7200000000));
	ck_assert_int_eq(settings.members_poll_us, 250000);
	ck_assert_uint_eq(settings.max_body_bytes, 2 << 20);
	ck_assert_int_eq(settings.stop_grace_us, 300000000);
	ck_assert_int_eq(settings.max_connections, 12);
	ck_assert_int_eq(settings.log_level, LOG_DEBUG);
	ck_assert_uint_eq(settings.max_header_bytes, 8192);
	findings_reset(&findings);
}
END_TEST

START_TEST(findings_have_line_numbers)
{
	struct settings settings;
	struct findings findings;

	ck_assert(!load("stray = 1\n"           /* 1 */
			"[vm]\n"                /* 2 */
			"name = a\n"            /* 3 */
			"name = b\n"            /* 4 */
			"colour = red\n"        /* 5 */
			"no value\n"            /* 6 */
			"[nowhere]\n"           /* 7 */
			"x = 1\n"               /* 8 */
			"[limits\n"             /* 9 */
			"[limits]\n"            /* 10 */
			"max_body = 8\n"        /* 11 */
			"stop_grace = 3 MiB\n"  /* 12 */
			"max_connections = 0\n" /* 13 */
			"[listen]\n"            /* 14 */
			"address = localhost\n" /* 15 */
			"port = 70000\n"        /* 16 */
			"[keys]\n"              /* 17 */
			"tls_key = k.pem\n"     /* 18 */
			"[diagnostics]\n"       /* 19 */
			"level = loud\n",       /* 20 */
	    &settings, &findings));
	ck_assert(has_finding(&findings, 1, "before the first section"));
	ck_assert(has_finding(&findings, 4, "set in line 3"));
	ck_assert(has_finding(&findings, 5, "unknown key colour"));
	ck_assert(has_finding(&findings, 6, "key = value"));
	ck_assert(has_finding(&findings, 7, "unknown section [nowhere]"));
	ck_assert(has_finding(&findings, 9, "without ]"));
	ck_assert(has_finding(&findings, 11, "unit B"));
	ck_assert(has_finding(&findings, 12, "unit us"));
	ck_assert(has_finding(&findings, 13, "out of range"));
	ck_assert(has_finding(&findings, 15, "IP address"));
	ck_assert(has_finding(&findings, 16, "out of range"));
	ck_assert(has_finding(&findings, 18, "needs tls_certificate"));
	ck_assert(has_finding(&findings, 20, "debug"));
	ck_assert(
	    has_finding(&findings, 0, "region in section [vm] is missing"));
	ck_assert(
	    has_finding(&findings, 0, "port in section [log] is missing"));
	ck_assert_uint_eq(findings.count, 17);
	findings_reset(&findings);
}
END_TEST

START_TEST(long_lines_and_equal_ports_are_findings)
{
	struct settings settings;
	struct findings findings;
	char text[1024];

	snprintf(text, sizeof(text),
	    DAEMON_SETTINGS "[keys]\ntls_key = %0400d\n[listen]\nport = 5\n"
			    "peer_port = 5\n",
	    7);
	ck_assert(!load(text, &settings, &findings));
	ck_assert(has_finding(&findings, 11, "longer than"));
	ck_assert(has_finding(&findings, 14, "same as port in line 13"));
	findings_reset(&findings);
}
END_TEST

/* The settings that a gateway requires, except partitions. */
#define GATEWAY_SETTINGS \
	"[vm]\nname = e-1\nfailure_domain = a\nregion = r\n[gateway]\n" \
	"callers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n" \
	"directory = 10.0.0.1:82\npeers = 10.0.0.1:83\nstore = 10.0.0.9:9\n"

START_TEST(gateway_requires_no_daemon_settings)
{
	struct settings settings;
	struct findings findings;
	char address[SETTING_BYTES];
	int port;

	ck_assert(load(GATEWAY_SETTINGS "partitions = 24\nlease = 1500 ms\n"
					"record_max = 128 KiB\n"
					"[failure_domains]\na = r\nb = r\n",
	    &settings, &findings));
	ck_assert_int_eq(settings.gateway_partitions, 24);
	ck_assert_int_eq(settings.gateway_lease_us, INT64_C(1500000));
	ck_assert_uint_eq(settings.gateway_record_max_bytes, 128 << 10);
	ck_assert_uint_eq(settings.gateway_append_max_bytes, 2 << 20);
	settings_split_endpoint(settings.gateway_store, address, &port);
	ck_assert_str_eq(address, "10.0.0.9");
	ck_assert_int_eq(port, 9);
	findings_reset(&findings);
}
END_TEST

START_TEST(gateway_findings_have_line_numbers)
{
	struct settings settings;
	struct findings findings;

	ck_assert(!load("[vm]\nname = e-1\nfailure_domain = a\nregion = r\n"
			"[gateway]\ncallers = nonsense\npartitions = 900\n"
			"lease = soon\nnothing = 1\n",
	    &settings, &findings));
	ck_assert(has_finding(&findings, 6, "IP:PORT"));
	ck_assert(has_finding(&findings, 7, "out of range"));
	ck_assert(has_finding(&findings, 8, "duration"));
	ck_assert(has_finding(&findings, 9, "unknown key"));
	ck_assert(
	    has_finding(&findings, 0, "store in section [gateway] is missing"));
	findings_reset(&findings);
}
END_TEST

START_TEST(missing_file_is_a_finding)
{
	struct settings settings;
	struct findings findings;

	findings_init(&findings);
	ck_assert(!settings_load(&settings, "absent.ini", &findings));
	ck_assert_uint_eq(findings.count, 1);
	findings_reset(&findings);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    units_and_defaults_apply,
	    findings_have_line_numbers,
	    long_lines_and_equal_ports_are_findings,
	    gateway_requires_no_daemon_settings,
	    gateway_findings_have_line_numbers,
	    missing_file_is_a_finding,
	};

	return run_tests("settings", tests, sizeof(tests) / sizeof(tests[0]));
}
