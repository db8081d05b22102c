#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "standins/fields.h"

static bool
parse_integer(const char *arg, int64_t *value)
{
	char *end = NULL;

	errno = 0;
	*value = strtoll(arg, &end, 10);
	return errno == 0 && end != arg && *end == '\0' && *value >= 0;
}

static bool
parse_real(const char *arg, double *value)
{
	char *end = NULL;

	*value = strtod(arg, &end);
	return end != arg && *end == '\0' && isfinite(*value) && *value >= 0;
}

static void
set_string(char **text, const char *value)
{
	free(*text);
	*text = value != NULL ? xstrdup(value) : NULL;
}

bool
field_set_text(const struct field *field, const char *arg, struct error *err)
{
	bool yes = strcmp(arg, "yes") == 0;
	bool ok = true;

	switch (field->type) {
	case FIELD_INTEGER:
		ok = parse_integer(arg, field->integer);
		break;
	case FIELD_REAL:
		ok = parse_real(arg, field->real);
		break;
	case FIELD_TEXT:
		set_string(field->text, arg);
		break;
	case FIELD_BOOL:
		*field->flag = yes;
		ok = yes || strcmp(arg, "no") == 0;
		break;
	}
	if (ok)
		return true;
	return error_set(
	    err, ERROR_INVALID, "invalid value of %s: %s", field->name, arg);
}

static const struct field *
find_field(const struct field *fields, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

static bool
type_fits(const struct field *field, const json_t *value)
{
	switch (field->type) {
	case FIELD_INTEGER:
		return json_is_integer(value) && json_integer_value(value) >= 0;
	case FIELD_REAL:
		return json_is_number(value) && json_number_value(value) >= 0;
	case FIELD_TEXT:
		return json_is_string(value) || json_is_null(value);
	case FIELD_BOOL:
		return json_is_boolean(value);
	}
	return false;
}

static void
set_value(const struct field *field, const json_t *value)
{
	switch (field->type) {
	case FIELD_INTEGER:
		*field->integer = json_integer_value(value);
		break;
	case FIELD_REAL:
		*field->real = json_number_value(value);
		break;
	case FIELD_TEXT:
		set_string(field->text, json_string_value(value));
		break;
	case FIELD_BOOL:
		*field->flag = json_is_true(value);
		break;
	}
}

bool
fields_set_json(const struct field *fields, size_t count, const json_t *object,
    struct error *err)
{
	const char *name;
	json_t *value;

	if (!json_is_object(object))
		return error_set(err, ERROR_INVALID, "not a JSON object");
	json_object_foreach ((json_t *)object, name, value) {
		const struct field *field = find_field(fields, count, name);

		if (field == NULL)
			return error_set(
			    err, ERROR_INVALID, "unknown name: %s", name);
		if (!type_fits(field, value))
			return error_set(
			    err, ERROR_INVALID, "invalid value of %s", name);
	}
	json_object_foreach ((json_t *)object, name, value)
		set_value(find_field(fields, count, name), value);
	return true;
}

void
fields_clear(const struct field *fields, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		switch (fields[i].type) {
		case FIELD_INTEGER:
			*fields[i].integer = 0;
			break;
		case FIELD_REAL:
			*fields[i].real = 0;
			break;
		case FIELD_TEXT:
			set_string(fields[i].text, NULL);
			break;
		case FIELD_BOOL:
			*fields[i].flag = false;
			break;
		}
	}
}

static json_t *
field_json(const struct field *field)
{
	switch (field->type) {
	case FIELD_INTEGER:
		return json_integer(*field->integer);
	case FIELD_REAL:
		return json_real(*field->real);
	case FIELD_TEXT:
		return *field->text != NULL ? json_string(*field->text)
					    : json_null();
	case FIELD_BOOL:
		return json_boolean(*field->flag);
	}
	return json_null();
}

json_t *
fields_json(const struct field *fields, size_t count)
{
	json_t *object = json_object();

	for (size_t i = 0; i < count; i++)
		json_object_set_new(
		    object, fields[i].name, field_json(&fields[i]));
	return object;
}
