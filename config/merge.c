#include <stdio.h>

#include "config/field.h"
#include "config/merge.h"

json_t *
merge_parse(const void *text, size_t len, json_error_t *error)
{
	json_t *object = json_loadb(text, len, JSON_REJECT_DUPLICATES, error);

	if (object != NULL && !json_is_object(object)) {
		json_decref(object);
		if (error != NULL)
			snprintf(
			    error->text, sizeof(error->text), "not an object");
		return NULL;
	}
	return object;
}

/* Returns a copy of a patch member without its nulls. This is the value that
 * the member gives to a target that lacks it. */
static json_t *
without_nulls(const json_t *patch)
{
	json_t *value;

	if (!json_is_object(patch))
		return json_deep_copy(patch);
	value = json_object();
	merge_apply(value, patch);
	return value;
}

void
merge_apply(json_t *target, const json_t *patch)
{
	const char *key;
	json_t *member;

	json_object_foreach ((json_t *)patch, key, member) {
		json_t *old = json_object_get(target, key);

		if (json_is_null(member))
			json_object_del(target, key);
		else if (json_is_object(member) && json_is_object(old))
			merge_apply(old, member);
		else
			json_object_set_new(target, key, without_nulls(member));
	}
}

json_t *
merge_diff(const json_t *from, const json_t *to)
{
	json_t *patch = json_object();
	const char *key;
	json_t *member;

	json_object_foreach ((json_t *)from, key, member) {
		if (json_object_get(to, key) == NULL)
			json_object_set_new(patch, key, json_null());
	}
	json_object_foreach ((json_t *)to, key, member) {
		const json_t *old = json_object_get(from, key);

		if (old != NULL && json_equal(old, member))
			continue;
		if (json_is_object(old) && json_is_object(member))
			json_object_set_new(
			    patch, key, merge_diff(old, member));
		else
			json_object_set_new(patch, key, json_deep_copy(member));
	}
	return patch;
}

void
merge_conflicts(
    const json_t *a, const json_t *b, const char *pointer, json_t *out)
{
	const char *key;
	json_t *member;

	json_object_foreach ((json_t *)a, key, member) {
		const json_t *other = json_object_get(b, key);
		struct json_location location = {{0}};

		if (other == NULL)
			continue;
		snprintf(
		    location.pointer, sizeof(location.pointer), "%s", pointer);
		location = json_location_member(&location, key);
		if (json_is_object(member) && json_is_object(other))
			merge_conflicts(member, other, location.pointer, out);
		else
			json_array_append_new(
			    out, json_string(location.pointer));
	}
}
