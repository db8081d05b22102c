#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "guavakeel/client.h"
#include "guavakeel/command.h"
#include "guavakeel/output.h"
#include "guavakeel/publish.h"
#include "guavakeel/query.h"

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	(void)arg;
	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = state->input;
	return 0;
}

/* Writes "Bearer KEY" with the key from a file, or "" if path is NULL. Returns
 * false if the file can't be read. */
static bool
read_key(const char *path, char *value, size_t size)
{
	struct buf content = {0};
	bool ok;

	value[0] = '\0';
	if (path == NULL)
		return true;
	ok = publish_read_file(path, &content);
	if (ok) {
		const char *text = buf_text(&content);

		snprintf(value, size, "Bearer %.*s", (int)strcspn(text, "\r\n"),
		    text);
	} else {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
	}
	buf_reset(&content);
	return ok;
}

/* Prints the response or why there is none. Returns an enum command_exit. */
static int
report_response(
    struct client_response *response, query_printer print, bool json)
{
	const char *body = buf_text(&response->body);

	if (response->result == HTTP_RESULT_CONNECT_FAILED ||
	    (response->result != HTTP_RESULT_OK && response->status == 0)) {
		fprintf(stderr, "guavakeel: no answer from the daemon: %s\n",
		    http_result_name(response->result));
		return COMMAND_UNAVAILABLE;
	}
	if (response->result != HTTP_RESULT_OK) {
		fprintf(stderr, "guavakeel: incomplete answer: %s\n",
		    http_result_name(response->result));
		return COMMAND_UNKNOWN;
	}
	if (response->status < 200 || response->status > 299) {
		fprintf(stderr, "guavakeel: HTTP status %d: %s\n",
		    response->status, body);
		return COMMAND_REFUSED;
	}
	print(body, response->body.len, json);
	return COMMAND_OK;
}

static int
send_query(const struct daemon_options *options, enum http_method method,
    const char *path, query_printer print)
{
	char key[HTTP_HEADER_VALUE_BYTES];
	struct http_header headers[] = {{"authorization", key}, {NULL, NULL}};
	struct http_call_params params = {
	    .address = options->address,
	    .port = options->port,
	    .method = method,
	    .path = path,
	};
	struct client client;
	struct client_response response;
	struct error err = {0};
	int code;

	if (!read_key(options->key_file, key, sizeof(key)))
		return COMMAND_FINDINGS;
	if (key[0] != '\0')
		params.headers = headers;
	if (!client_open(&client, &err)) {
		fprintf(stderr, "guavakeel: %s\n", err.text);
		return COMMAND_UNAVAILABLE;
	}
	client_fetch(&client, &params, &response);
	code = report_response(&response, print, options->json);
	buf_reset(&response.body);
	client_close(&client);
	return code;
}

int
query_run(const char *doc, enum http_method method, const char *path,
    query_printer print, int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&daemon_argp, 0, NULL, 0},
	    {0},
	};
	struct argp argp = {
	    .parser = parse_option,
	    .doc = doc,
	    .children = children,
	};
	struct daemon_options options = {0};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	return send_query(&options, method, path, print);
}

void
query_print_json(const char *body, size_t len, bool json)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	if (root == NULL)
		printf("%.*s\n", (int)len, body);
	else if (json)
		output_json(root);
	else
		output_tables(root);
	json_decref(root);
}
