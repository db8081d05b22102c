#include <arpa/inet.h>
#include <math.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"
#include "config/field.h"

struct json_location
json_location_member(const struct json_location *location, const char *key)
{
	struct json_location result = *location;
	size_t len = strlen(result.pointer);

	if (len + 1 < sizeof(result.pointer))
		result.pointer[len++] = '/';
	for (; *key != '\0' && len + 2 < sizeof(result.pointer); key++) {
		if (*key == '~' || *key == '/') {
			result.pointer[len++] = '~';
			result.pointer[len++] = *key == '~' ? '0' : '1';
		} else {
			result.pointer[len++] = *key;
		}
	}
	result.pointer[len] = '\0';
	return result;
}

void
json_location_report(const struct json_location *location, const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	finding_add(location->findings,
	    location->pointer[0] != '\0' ? location->pointer : "/", 0, "%s",
	    text);
}

bool
schema_is_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-";
	size_t len = strlen(text);

	return len > 0 && len < NAME_BYTES && strspn(text, allowed) == len;
}

static bool
is_ip_address(const char *text)
{
	unsigned char address[16];

	return inet_pton(AF_INET, text, address) == 1 ||
	    inet_pton(AF_INET6, text, address) == 1;
}

static bool
is_plain_text(const char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ')
			return false;
	}
	return true;
}

static void
read_text(const json_t *value, const struct json_location *location,
    const struct schema_field *field, char *dest)
{
	const char *text = json_string_value(value);

	if (text == NULL)
		json_location_report(location, "is not a string");
	else if (strlen(text) >= field->size)
		json_location_report(
		    location, "is longer than %zu bytes", field->size - 1);
	else if (field->kind == SCHEMA_NAME && !schema_is_name(text))
		json_location_report(location, "is not a name");
	else if (field->kind == SCHEMA_ADDRESS && !is_ip_address(text))
		json_location_report(location, "is not an IP address");
	else if (!is_plain_text(text))
		json_location_report(location, "has control characters");
	else
		memcpy(dest, text, strlen(text) + 1);
}

static bool
is_in_range(const struct schema_field *field,
    const struct json_location *location, double number)
{
	if (number >= field->min && number <= field->max)
		return true;
	json_location_report(
	    location, "is not within %.15g .. %.15g", field->min, field->max);
	return false;
}

static void
read_integer(const json_t *value, const struct json_location *location,
    const struct schema_field *field, void *dest)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value)) {
		json_location_report(location, "is not an integer");
		return;
	}
	if (!is_in_range(field, location, (double)number))
		return;
	if (field->scale != 0)
		number *= field->scale;
	if (field->size == sizeof(uint32_t))
		*(uint32_t *)dest = (uint32_t)number;
	else
		*(int64_t *)dest = number;
}

static void
read_number(const json_t *value, const struct json_location *location,
    const struct schema_field *field, double *dest)
{
	if (!json_is_number(value))
		json_location_report(location, "is not a number");
	else if (is_in_range(field, location, json_number_value(value)))
		*dest = json_number_value(value);
}

static void
read_role(const json_t *value, const struct json_location *location,
    enum server_role *dest)
{
	static const char *const names[] = {
	    [SERVER_ROLE_MIXED] = "mixed",
	    [SERVER_ROLE_PREFILL] = "prefill",
	    [SERVER_ROLE_DECODE] = "decode",
	};
	const char *text = json_string_value(value);

	for (int i = 0; text != NULL && i < 3; i++) {
		if (strcmp(names[i], text) == 0) {
			*dest = (enum server_role)i;
			return;
		}
	}
	json_location_report(location, "is not one of mixed, prefill, decode");
}

static void
read_field(const json_t *value, const struct json_location *location,
    const struct schema_field *field, void *dest)
{
	switch (field->kind) {
	case SCHEMA_NAME:
	case SCHEMA_TEXT:
	case SCHEMA_ADDRESS:
		read_text(value, location, field, dest);
		break;
	case SCHEMA_INTEGER:
		read_integer(value, location, field, dest);
		break;
	case SCHEMA_NUMBER:
		read_number(value, location, field, dest);
		break;
	case SCHEMA_BOOL:
		if (json_is_boolean(value))
			*(bool *)dest = json_is_true(value);
		else
			json_location_report(location, "is not true or false");
		break;
	case SCHEMA_ROLE:
		read_role(value, location, dest);
		break;
	case SCHEMA_OTHER:
		break;
	}
}

static const struct schema_field *
find_field(const struct schema *schema, const char *key)
{
	for (size_t i = 0; i < schema->count; i++) {
		if (strcmp(schema->fields[i].key, key) == 0)
			return &schema->fields[i];
	}
	return NULL;
}

bool
schema_read(const json_t *value, const struct json_location *location,
    const struct schema *schema, void *target)
{
	const char *key;
	json_t *member;

	if (!json_is_object(value)) {
		json_location_report(location, "is not an object");
		return false;
	}
	json_object_foreach ((json_t *)value, key, member) {
		const struct schema_field *field = find_field(schema, key);
		struct json_location member_location =
		    json_location_member(location, key);

		if (field == NULL)
			json_location_report(&member_location, "is unknown");
		else
			read_field(member, &member_location, field,
			    (char *)target + field->offset);
	}
	for (size_t i = 0; i < schema->count; i++) {
		const struct schema_field *field = &schema->fields[i];
		struct json_location member_location =
		    json_location_member(location, field->key);

		if (field->required &&
		    json_object_get(value, field->key) == NULL)
			json_location_report(&member_location, "is missing");
	}
	return true;
}
