#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include <ini.h>

#include "common/clock.h"
#include "common/diag.h"
#include "config/settings.h"
#include "config/settings_table.h"
#include "config/units.h"

enum {
	MAX_PORT = 65535,
};

/* Section that maps names of failure domains to regions. */
static const char DOMAINS_SECTION[] = "failure_domains";

/** State of a reader of one file. */
struct reader {
	struct settings *settings;
	struct findings *findings;
	const char *path;
	FILE *file;
	int line;                 /**< number of the line read last */
	int lines[SETTING_COUNT]; /**< line of each setting; 0: not set */
};

void
settings_defaults(struct settings *settings)
{
	*settings = (struct settings){
	    .log_retention_us = (int64_t)24 * 3600 * US_PER_S,
	    .members_poll_us = (int64_t)2 * US_PER_S,
	    .max_body_bytes = (size_t)8 << 20,
	    .max_header_bytes = (size_t)8 << 10,
	    .max_send_queue_bytes = (size_t)4 << 20,
	    .max_connections = 1024,
	    .stop_grace_us = (int64_t)60 * US_PER_S,
	    .log_level = LOG_INFO,
	    .gateway_drain_us = (int64_t)2500 * US_PER_MS,
	    .gateway_store_readers = 2,
	    .gateway_config_apply_us = (int64_t)2500 * US_PER_MS,
	    .gateway_lease_us = US_PER_S,
	    .gateway_record_max_bytes = (size_t)256 << 10,
	    .gateway_append_max_bytes = (size_t)2 << 20,
	};
}

static bool
is_domains_section(const char *name, size_t len)
{
	return len == strlen(DOMAINS_SECTION) &&
	    memcmp(DOMAINS_SECTION, name, len) == 0;
}

static bool
is_known_section(const char *name, size_t len)
{
	if (is_domains_section(name, len))
		return true;
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (strlen(settings_table[i].section) == len &&
		    memcmp(settings_table[i].section, name, len) == 0)
			return true;
	}
	return false;
}

/* Adds findings about the syntax of a line. The INI library reports only the
 * first malformed line, and does not report unknown sections without keys. */
static void
check_line(struct reader *reader, const char *text)
{
	const char *end;

	if (*text == '\0' || *text == ';' || *text == '#')
		return;
	if (*text != '[') {
		if (strpbrk(text, "=:") == NULL)
			finding_add(reader->findings, reader->path,
			    reader->line, "not of the form key = value");
		return;
	}
	end = strchr(text, ']');
	if (end == NULL)
		finding_add(reader->findings, reader->path, reader->line,
		    "section without ]");
	else if (!is_known_section(text + 1, (size_t)(end - text - 1)))
		finding_add(reader->findings, reader->path, reader->line,
		    "unknown section [%.*s]", (int)(end - text - 1), text + 1);
}

static void
skip_line(FILE *file)
{
	int c;

	do
		c = getc(file);
	while (c != '\n' && c != EOF);
}

/* Returns the next line without leading blanks. The INI library would take an
 * indented line as the continuation of the line before it. */
static char *
read_line(char *text, int size, void *context)
{
	struct reader *reader = context;
	char *start = text;
	size_t len;

	if (fgets(text, size, reader->file) == NULL)
		return NULL;
	reader->line++;
	len = strlen(text);
	if (len + 1 == (size_t)size && text[len - 1] != '\n') {
		finding_add(reader->findings, reader->path, reader->line,
		    "line longer than %d bytes", size - 2);
		skip_line(reader->file);
	}
	text[strcspn(text, "\r\n")] = '\0';
	if (reader->line == 1 && strncmp(text, "\xef\xbb\xbf", 3) == 0)
		start += 3;
	start += strspn(start, " \t");
	memmove(text, start, strlen(start) + 1);
	check_line(reader, text);
	return text;
}

static bool
is_ip_address(const char *text)
{
	unsigned char address[16];

	return inet_pton(AF_INET, text, address) == 1 ||
	    inet_pton(AF_INET6, text, address) == 1;
}

static bool
is_endpoint(const char *text)
{
	const char *colon = strrchr(text, ':');
	char address[SETTING_BYTES];
	int64_t port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(address))
		return false;
	memcpy(address, text, (size_t)(colon - text));
	address[colon - text] = '\0';
	return is_ip_address(address) && units_parse_count(colon + 1, &port) &&
	    port <= MAX_PORT;
}

static bool
parse_number(enum setting_kind kind, const char *value, int64_t *number)
{
	if (kind == SETTING_DURATION)
		return units_parse_duration(value, number);
	if (kind == SETTING_SIZE)
		return units_parse_size(value, number);
	return units_parse_count(value, number);
}

static void
store_number(const struct setting *setting, void *dest, int64_t number)
{
	if (setting->size == sizeof(int))
		*(int *)dest = (int)number;
	else
		*(int64_t *)dest = number;
}

static bool
store_text(const struct setting *setting, char *dest, const char *value)
{
	size_t len = strlen(value);

	if (len == 0 || len >= setting->size)
		return false;
	memcpy(dest, value, len + 1);
	return true;
}

static void
store_value(
    struct reader *reader, const struct setting *setting, const char *value)
{
	void *dest = (char *)reader->settings + setting->offset;
	int64_t number = 0;
	bool ok;

	switch (setting->kind) {
	case SETTING_ENDPOINT:
		ok = is_endpoint(value) && store_text(setting, dest, value);
		break;
	case SETTING_ADDRESS:
		ok = is_ip_address(value) && store_text(setting, dest, value);
		break;
	case SETTING_NAME:
	case SETTING_PATH:
	case SETTING_LIST:
		ok = store_text(setting, dest, value);
		break;
	case SETTING_LEVEL:
		ok = diag_parse_level(value, dest);
		break;
	default:
		ok = parse_number(setting->kind, value, &number);
		if (ok && (number < setting->min || number > setting->max)) {
			finding_add(reader->findings, reader->path,
			    reader->line, "%s: %s is out of range",
			    setting->key, value);
			return;
		}
		if (ok)
			store_number(setting, dest, number);
		break;
	}
	if (!ok)
		finding_add(reader->findings, reader->path, reader->line,
		    "%s: '%s' is not %s", setting->key, value,
		    setting_kind_description(setting->kind));
}

static void
add_domain(struct reader *reader, const char *name, const char *region)
{
	struct settings *settings = reader->settings;
	struct settings_domain *domain =
	    &settings->domains[settings->domain_count];

	if (settings->domain_count == SETTINGS_DOMAINS_MAX ||
	    strlen(name) >= SETTING_BYTES || strlen(region) >= SETTING_BYTES ||
	    region[0] == '\0') {
		finding_add(reader->findings, reader->path, reader->line,
		    "%s: bad region '%s', or too many failure domains", name,
		    region);
		return;
	}
	memcpy(domain->name, name, strlen(name) + 1);
	memcpy(domain->region, region, strlen(region) + 1);
	settings->domain_count++;
}

static int
handle_key(
    void *context, const char *section, const char *name, const char *value)
{
	struct reader *reader = context;

	if (*section == '\0') {
		finding_add(reader->findings, reader->path, reader->line,
		    "%s is set before the first section", name);
		return 1;
	}
	if (!is_known_section(section, strlen(section)))
		return 1;
	if (is_domains_section(section, strlen(section))) {
		add_domain(reader, name, value);
		return 1;
	}
	if (strcmp(section, "gateway") == 0)
		reader->settings->gateway = true;
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(settings_table[i].section, section) != 0 ||
		    strcmp(settings_table[i].key, name) != 0)
			continue;
		if (reader->lines[i] != 0)
			finding_add(reader->findings, reader->path,
			    reader->line, "%s was already set in line %d", name,
			    reader->lines[i]);
		reader->lines[i] = reader->line;
		store_value(reader, &settings_table[i], value);
		return 1;
	}
	finding_add(reader->findings, reader->path, reader->line,
	    "unknown key %s in section [%s]", name, section);
	return 1;
}

static bool
is_required(const struct reader *reader, enum setting_requirement requirement)
{
	switch (requirement) {
	case SETTING_OPTIONAL:
		return false;
	case SETTING_REQUIRED:
		return true;
	case SETTING_DAEMON:
		return !reader->settings->gateway;
	case SETTING_GATEWAY:
		return reader->settings->gateway;
	}
	return false;
}

static void
check_required(struct reader *reader)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (is_required(reader, settings_table[i].requirement) &&
		    reader->lines[i] == 0)
			finding_add(reader->findings, reader->path, 0,
			    "%s in section [%s] is missing",
			    settings_table[i].key, settings_table[i].section);
	}
}

/* Adds a finding if setting a is set without setting b. */
static void
check_requires(struct reader *reader, enum setting_id a, enum setting_id b)
{
	if (reader->lines[a] != 0 && reader->lines[b] == 0)
		finding_add(reader->findings, reader->path, reader->lines[a],
		    "%s needs %s in section [%s]", settings_table[a].key,
		    settings_table[b].key, settings_table[b].section);
}

static void
check_contradictions(struct reader *reader)
{
	const struct settings *settings = reader->settings;
	const char *peer = settings->peer_address[0] != '\0'
	    ? settings->peer_address
	    : settings->listen_address;

	check_requires(reader, KEYS_TLS_CERTIFICATE, KEYS_TLS_KEY);
	check_requires(reader, KEYS_TLS_KEY, KEYS_TLS_CERTIFICATE);
	check_requires(reader, MEMBERS_ADDRESS, MEMBERS_PORT);
	check_requires(reader, MEMBERS_PORT, MEMBERS_ADDRESS);
	if (settings->peer_port != 0 &&
	    settings->peer_port == settings->listen_port &&
	    strcmp(peer, settings->listen_address) == 0)
		finding_add(reader->findings, reader->path,
		    reader->lines[LISTEN_PEER_PORT],
		    "peer_port is the same as port in line %d",
		    reader->lines[LISTEN_PORT]);
}

bool
settings_load(
    struct settings *settings, const char *path, struct findings *findings)
{
	struct reader reader = {
	    .settings = settings,
	    .findings = findings,
	    .path = path,
	};
	size_t before = findings->count;

	settings_defaults(settings);
	reader.file = fopen(path, "re");
	if (reader.file == NULL) {
		finding_add(findings, path, 0, "%s", strerror(errno));
		return false;
	}
	ini_parse_stream(read_line, &reader, handle_key, &reader);
	if (ferror(reader.file))
		finding_add(findings, path, reader.line, "read failed");
	fclose(reader.file);
	check_required(&reader);
	check_contradictions(&reader);
	return findings->count == before;
}

void
settings_split_endpoint(
    const char *endpoint, char address[SETTING_BYTES], int *port)
{
	const char *colon = strrchr(endpoint, ':');

	snprintf(
	    address, SETTING_BYTES, "%.*s", (int)(colon - endpoint), endpoint);
	*port = (int)strtol(colon + 1, NULL, 10);
}

const char *
settings_region(const struct settings *settings, const char *domain)
{
	for (size_t i = 0; i < settings->domain_count; i++) {
		if (strcmp(settings->domains[i].name, domain) == 0)
			return settings->domains[i].region;
	}
	return "";
}
