/*
 * A configuration with two routes of model servers, their entries in the list,
 * and the streams that they answer with.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "review/common-2/case.h"

enum {
	US_PER_MS_ = 1000,
};

/* Turns at /turn/ are retained, those at /stream/ are not. Both are like the
 * routes of lumaris-render. */
static const char CONFIG[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"turn\",\"host\":\"h.example\",\"pathPrefix\":\"/turn/\","
    "\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":300,"
    "\"priority\":1,\"service\":\"models\",\"maxAttempts\":1,"
    "\"retained\":true,\"retentionS\":%d,\"sessionAffinity\":true,"
    "\"resumable\":false,\"gapAimMs\":250},"
    "{\"name\":\"stream\",\"host\":\"h.example\",\"pathPrefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":300,"
    "\"priority\":0,\"service\":\"models\",\"maxAttempts\":1,"
    "\"retained\":false,\"sessionAffinity\":true,\"resumable\":true,"
    "\"gapAimMs\":250}],"
    "\"services\":[{\"name\":\"models\",\"healthPath\":\"/healthz\","
    "\"maxConnections\":180,\"engine\":{\"maxBatch\":16,"
    "\"kvCapacity\":444000,\"tokensPerEvent\":35}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static const char ENTRY[] =
    "{\"service\":\"models\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-0\","
    "\"version\":\"v1\",\"maxBatch\":16,\"state\":\"ready\","
    "\"coldLeftMs\":0,\"sequence\":1,\"born\":%ld}";

void
case_publish(struct case_store *store, int retention_s)
{
	char value[2048];

	snprintf(value, sizeof(value), CONFIG, retention_s);
	case_store_put(store, "keyed.op", "config", value);
}

void
case_put_server(
    struct case_store *store, const char *id, int port, long born_ms)
{
	char value[512];

	snprintf(value, sizeof(value), ENTRY, port, born_ms);
	case_store_put(store, "keyed.servers", id, value);
}

void
case_start_servers(struct case_store *store, case_handler handle,
    struct case_server *servers, int count)
{
	for (int i = 0; i < count; i++) {
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i);
		servers[i].port = case_serve(handle, &servers[i]);
		if (servers[i].port == 0)
			case_end(CASE_NOT_RUN);
		case_put_server(store, servers[i].id, servers[i].port, 1);
	}
}

bool
case_begin_stream(const struct case_request *request)
{
	char id[CASE_ID_BYTES];
	char out[512];

	case_field(request, "request-id", id, sizeof(id));
	snprintf(out, sizeof(out),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, id);
	return case_send(request->fd, out, strlen(out));
}

bool
case_send_event(const struct case_request *request, int number)
{
	char event[64];
	char out[128];

	snprintf(
	    event, sizeof(event), "id: %d\ndata: event %d\n\n", number, number);
	snprintf(out, sizeof(out), "%zx\r\n%s\r\n", strlen(event), event);
	return case_send(request->fd, out, strlen(out));
}

bool
case_end_stream(const struct case_request *request)
{
	return case_send(request->fd, "0\r\n\r\n", 5);
}

bool
case_send_stream(const struct case_request *request, int events, int event_ms)
{
	if (!case_begin_stream(request))
		return false;
	for (int i = 1; i <= events; i++) {
		usleep((useconds_t)event_ms * US_PER_MS_);
		if (!case_send_event(request, i))
			return false;
	}
	return case_end_stream(request);
}
