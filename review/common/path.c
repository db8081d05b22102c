#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "review/common/path.h"

enum {
	CHUNK_BYTES = 65536,
	WAIT_US = 5000,
	BACKLOG = 128,
};

struct path {
	int listener;
	int target_port;
	volatile bool *partitioned;
};

/** One direction of a connection. */
struct direction {
	int from;
	int to;
	volatile bool *partitioned;
};

static void
wait_while_partitioned(const volatile bool *partitioned)
{
	while (*partitioned)
		usleep(WAIT_US);
}

static void *
pump(void *context)
{
	struct direction direction = *(struct direction *)context;
	char data[CHUNK_BYTES];
	ssize_t len;

	free(context);
	while ((len = recv(direction.from, data, sizeof(data), 0)) > 0) {
		ssize_t sent = 0;

		wait_while_partitioned(direction.partitioned);
		while (sent < len) {
			ssize_t now = send(direction.to, data + sent,
			    (size_t)(len - sent), MSG_NOSIGNAL);

			if (now <= 0)
				break;
			sent += now;
		}
		if (sent < len)
			break;
	}
	wait_while_partitioned(direction.partitioned);
	/* The other direction's thread notices, and both sockets are left to
	 * the end of the process: a case opens a few hundred at most. */
	shutdown(direction.to, SHUT_RDWR);
	shutdown(direction.from, SHUT_RDWR);
	return NULL;
}

static void
start_pump(int from, int to, volatile bool *partitioned)
{
	struct direction *direction = malloc(sizeof(*direction));
	pthread_t thread;

	if (direction == NULL)
		abort();
	*direction = (struct direction){from, to, partitioned};
	pthread_create(&thread, NULL, pump, direction);
	pthread_detach(thread);
}

static struct sockaddr_in
loopback(int port)
{
	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
	    .sin_port = htons((uint16_t)port),
	};
}

static void *
serve(void *context)
{
	const struct path *path = context;
	int fd;

	while ((fd = accept(path->listener, NULL, NULL)) >= 0) {
		struct sockaddr_in address = loopback(path->target_port);
		int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (connect(target, (struct sockaddr *)&address,
			sizeof(address)) != 0) {
			close(target);
			close(fd);
			continue;
		}
		start_pump(fd, target, path->partitioned);
		start_pump(target, fd, path->partitioned);
	}
	return NULL;
}

int
path_start(int target_port, volatile bool *partitioned)
{
	struct path *path = calloc(1, sizeof(*path));
	struct sockaddr_in address = loopback(0);
	socklen_t len = sizeof(address);
	pthread_t thread;

	if (path == NULL)
		return 0;
	path->target_port = target_port;
	path->partitioned = partitioned;
	path->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(path->listener, (struct sockaddr *)&address,
		sizeof(address)) != 0 ||
	    listen(path->listener, BACKLOG) != 0 ||
	    getsockname(path->listener, (struct sockaddr *)&address, &len) !=
		0) {
		free(path);
		return 0;
	}
	pthread_create(&thread, NULL, serve, path);
	pthread_detach(thread);
	return ntohs(address.sin_port);
}
