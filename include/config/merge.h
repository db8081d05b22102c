/** @file
 * JSON merge patches (RFC 7396).
 */
#ifndef CONFIG_MERGE_H
#define CONFIG_MERGE_H

#include <stddef.h>

#include <jansson.h>

/** Parses a JSON object. Returns NULL unless text is a well-formed object
 * without duplicate members. The caller frees it with json_decref(). */
json_t *merge_parse(const void *text, size_t len, json_error_t *error);
/** Applies a patch to target; both must be objects. */
void merge_apply(json_t *target, const json_t *patch);
/** Returns the patch that turns one object into the other. The caller frees it
 * with json_decref(). */
json_t *merge_diff(const json_t *from, const json_t *to);
/** Appends to the array out the JSON pointers (as strings) of the members that
 * both patches change. pointer is the JSON pointer to a and b themselves. */
void merge_conflicts(
    const json_t *a, const json_t *b, const char *pointer, json_t *out);

#endif
