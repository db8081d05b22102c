/** @file
 * A backend server in a process of its own that sends whatever bytes a test
 * wants, on connections that it handles one after another.
 */
#ifndef TESTS_RAW_SERVER_H
#define TESTS_RAW_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include "standins/cluster.h"
#include "tests/calls.h"

/** The server's process, and the socket that it listens on. */
struct raw_server {
	pid_t pid;
	int listener;
};

/** Handles a connection in the server's process, which closes it afterwards.
 * script is what raw_server_start() got. */
typedef void (*raw_server_handler)(int fd, const void *script);

/** Starts the server and waits until gateways have it in their list, as "raw-0"
 * of a service. */
struct raw_server raw_server_start(struct cluster *cluster, const char *service,
    raw_server_handler handler, const void *script);
/** Ends the process. Does nothing if the server was not started. */
void raw_server_stop(struct raw_server *server);

/** Sends bytes; returns false if the connection is gone. */
bool raw_server_send(int fd, const char *data, size_t len);
/** Reads a request without a body or with a short one, and copies its id, ""
 * if the connection was closed. */
void raw_server_read_id(int fd, char id[CALL_REQUEST_BYTES]);

#endif
