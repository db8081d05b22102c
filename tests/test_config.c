#include <check.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "config/check.h"
#include "config/config.h"
#include "tests/runner.h"

static struct config *
parse(const char *text, struct findings *findings)
{
	json_error_t json_err;
	json_t *document = json_loads(text, 0, &json_err);
	struct config *config;

	ck_assert_msg(document != NULL, "%s", json_err.text);
	findings_init(findings);
	config = config_from_json(document, 3, findings);
	json_decref(document);
	return config;
}

static bool
has_finding(
    const struct findings *findings, const char *location, const char *text)
{
	list_for_each (finding, &findings->items, struct finding, link) {
		if (strcmp(finding->location, location) == 0 &&
		    strstr(finding->text, text) != NULL)
			return true;
	}
	return false;
}

static const char valid_document[] =
    "{'models': {'m-b': {'version': '2', 'context_tokens': 1000},"
    " 'm-a': {'version': '1', 'context_tokens': 500,"
    "  'prefill_tokens_per_s': 4000.5}},"
    " 'servers': {'s-1': {'address': '127.0.0.1', 'port': 9001,"
    "  'failure_domain': 'a', 'region': 'r', 'role': 'decode',"
    "  'models': ['m-a', 'm-b'], 'kv_tokens': 100, 'max_running': 4,"
    "  'checks_fencing': true}},"
    " 'services': {'app': {'timeout_ms': 1500, 'repeatable': true,"
    "  'endpoints': {'one': {'address': '::1', 'port': 1,"
    "   'failure_domain': 'a', 'region': 'r'}}}},"
    " 'tools': {'look': {'service': 'app', 'path': '/look'},"
    "  'pay': {'service': 'app', 'path': '/pay', 'repeatable': false,"
    "   'timeout_ms': 9}},"
    " 'workspaces': {'w': {'budget_tokens': 77}},"
    " 'limits': {'max_turns': 5, 'address_ttl_s': 2, 'retry_share': 0.5}}";

/* Parses a document in which single quotes stand for double quotes. */
static struct config *
parse_quoted(const char *text, struct findings *findings)
{
	char buffer[4096];

	ck_assert_uint_lt(strlen(text), sizeof(buffer));
	snprintf(buffer, sizeof(buffer), "%s", text);
	for (char *at = buffer; *at != '\0'; at++) {
		if (*at == '\'')
			*at = '"';
	}
	return parse(buffer, findings);
}

START_TEST(valid_document_is_parsed)
{
	struct findings findings;
	struct config *config = parse_quoted(valid_document, &findings);
	const struct config_server *server;

	findings_print(&findings, stderr);
	ck_assert_uint_eq(findings.count, 0);
	ck_assert_uint_eq(config->version, 3);
	ck_assert_str_eq(config->models[0].name, "m-a");
	ck_assert_uint_eq(
	    config_find_model(config, "m-b")->context_tokens, 1000);
	ck_assert_ptr_null(config_find_model(config, "m-c"));
	server = config_find_server(config, "s-1");
	ck_assert_int_eq(server->role, SERVER_ROLE_DECODE);
	ck_assert_str_eq(server->models[1], "m-b");
	ck_assert(server->checks_fencing);
	ck_assert_int_eq(
	    config_find_service(config, "app")->endpoints[0].port, 1);
	ck_assert(config_find_tool(config, "look")->repeatable);
	ck_assert_int_eq(config_find_tool(config, "look")->timeout_us, 1500000);
	ck_assert(!config_find_tool(config, "pay")->repeatable);
	ck_assert_int_eq(config_find_tool(config, "pay")->timeout_us, 9000);
	ck_assert_double_eq(config_find_workspace(config, "w")->share, 1);
	ck_assert_uint_eq(config->limits.max_turns, 5);
	ck_assert_int_eq(config->limits.address_ttl_us, 2000000);
	ck_assert_uint_gt(config->limits.shards, 0);
	config_destroy(config);
}
END_TEST

START_TEST(findings_have_json_pointers)
{
	struct findings findings;
	struct config *config = parse_quoted(
	    "{'modles': {}, 'models': {'a/b~c': {'version': 1,"
	    "  'context_tokens': 0, 'colour': 1}},"
	    " 'adapters': {'x': {'model': 'none'}},"
	    " 'servers': {'s': {'address': 'localhost', 'port': 70000,"
	    "  'failure_domain': 'a', 'region': 'r', 'models': ['q', 7],"
	    "  'kv_tokens': 1.5, 'max_running': 1, 'role': 'boss'},"
	    "  't': [], 'u': {'address': '127.0.0.1', 'port': 5,"
	    "  'failure_domain': 'a', 'region': 'r', 'models': [],"
	    "  'kv_tokens': 1, 'max_running': 1},"
	    "  'v': {'address': '127.0.0.1', 'port': 5,"
	    "  'failure_domain': 'a', 'region': 'r', 'models': [],"
	    "  'kv_tokens': 1, 'max_running': 1}},"
	    " 'services': {'e': {'endpoints': {}}},"
	    " 'tools': {'t': {'service': 'nope', 'path': 'x',"
	    "  'repeatable': 'no'}},"
	    " 'workspaces': {'w': {'key_hash': 'zz'}},"
	    " 'limits': {'lanes': 2000, 'shards': 10}}",
	    &findings);

	ck_assert(has_finding(&findings, "/modles", "unknown"));
	ck_assert(has_finding(&findings, "/models/a~1b~0c", "not a name"));
	ck_assert(has_finding(&findings, "/models/a~1b~0c/version", "string"));
	ck_assert(
	    has_finding(&findings, "/models/a~1b~0c/context_tokens", "within"));
	ck_assert(has_finding(&findings, "/models/a~1b~0c/colour", "unknown"));
	ck_assert(
	    has_finding(&findings, "/adapters/x/model", "no model: none"));
	ck_assert(has_finding(&findings, "/servers/s/address", "IP address"));
	ck_assert(has_finding(&findings, "/servers/s/port", "within"));
	ck_assert(has_finding(&findings, "/servers/s/models", "no model: q"));
	ck_assert(has_finding(&findings, "/servers/s/models/1", "not a name"));
	ck_assert(has_finding(&findings, "/servers/s/kv_tokens", "integer"));
	ck_assert(has_finding(&findings, "/servers/s/role", "mixed"));
	ck_assert(has_finding(&findings, "/servers/t", "not an object"));
	ck_assert(has_finding(&findings, "/servers/v/address", "server u"));
	ck_assert(
	    has_finding(&findings, "/services/e/endpoints", "no endpoint"));
	ck_assert(
	    has_finding(&findings, "/tools/t/service", "no service: nope"));
	ck_assert(has_finding(&findings, "/tools/t/path", "begin with /"));
	ck_assert(
	    has_finding(&findings, "/tools/t/repeatable", "true or false"));
	ck_assert(
	    has_finding(&findings, "/workspaces/w/key_hash", "hexadecimal"));
	ck_assert(
	    has_finding(&findings, "/workspaces/w/budget_tokens", "missing"));
	ck_assert(
	    has_finding(&findings, "/limits/lanes", "greater than shards"));
	ck_assert_uint_eq(findings.count, 21);
	findings_reset(&findings);
	config_destroy(config);
}
END_TEST

START_TEST(endpoints_may_be_an_array)
{
	struct findings findings;
	struct config *config = parse_quoted(
	    "{'services': {'app': {'endpoints': [{'address': '::1', 'port': 1,"
	    " 'failure_domain': 'a', 'region': 'r'}, {'port': 0}]}}}",
	    &findings);

	ck_assert_uint_eq(config->services[0].endpoint_count, 2);
	ck_assert_int_eq(config->services[0].endpoints[0].port, 1);
	ck_assert(
	    has_finding(&findings, "/services/app/endpoints/1/port", "within"));
	ck_assert_uint_eq(findings.count, 4);
	findings_reset(&findings);
	config_destroy(config);
}
END_TEST

START_TEST(shards_and_lanes_are_fixed_after_first_version)
{
	struct findings findings;
	struct config *before = parse_quoted("{}", &findings);
	struct config *after =
	    parse_quoted("{'limits': {'shards': 7, 'lanes': 7}}", &findings);

	config_check_change(before, after, &findings);
	ck_assert(has_finding(&findings, "/limits/shards", "fixed"));
	ck_assert(has_finding(&findings, "/limits/lanes", "fixed"));
	findings_reset(&findings);
	before->version = 0;
	config_check_change(before, after, &findings);
	ck_assert_uint_eq(findings.count, 0);
	config_destroy(before);
	config_destroy(after);
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {
	    valid_document_is_parsed,
	    findings_have_json_pointers,
	    endpoints_may_be_an_array,
	    shards_and_lanes_are_fixed_after_first_version,
	};

	return run_tests("config", tests, sizeof(tests) / sizeof(tests[0]));
}
