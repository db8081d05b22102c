/** @file
 * Commands that send a request to a daemon.
 */
#ifndef GUAVAKEEL_QUERY_H
#define GUAVAKEEL_QUERY_H

#include "guavakeel/options.h"
#include "net/http.h"

/** Prints the body of a successful response (status 2xx). */
typedef void (*query_printer)(const char *body, size_t len, bool json);

/** Parses a command's arguments, sends its request to the daemon and prints the
 * response. Returns an enum command_exit. */
int query_run(const char *doc, enum http_method method, const char *path,
    query_printer print, int argc, char **argv);
/** Prints a JSON response, as tables unless json is true. */
void query_print_json(const char *body, size_t len, bool json);

#endif
