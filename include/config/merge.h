/** @file
 * JSON merge patches (RFC 7396).
 */
#ifndef CONFIG_MERGE_H
#define CONFIG_MERGE_H

#include <stddef.h>

#include <jansson.h>

/** Parses a JSON object. Returns NULL unless it is a well-formed one without
 * duplicate members. */
json_t *merge_parse(const void *text, size_t len, json_error_t *error);
/** Applies a patch, an object, to a target, an object. */
void merge_apply(json_t *target, const json_t *patch);
/** Returns the patch that turns one object into another. */
json_t *merge_diff(const json_t *from, const json_t *to);
/** Adds to out the JSON pointers (as strings) that two patches both touch. */
void merge_conflicts(
    const json_t *a, const json_t *b, const char *pointer, json_t *out);

#endif
