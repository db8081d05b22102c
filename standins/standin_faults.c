#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "standins/standin_internal.h"

enum {
	COMMON_FAULTS = 14,
	EXIT_STATUS = 70, /**< exit status of exit_requests and exit_replies */
};

void
field_list_add(
    struct field_list *list, const struct field *fields, size_t count)
{
	for (size_t i = 0; i < count && list->count < FIELDS_MAX; i++)
		list->items[list->count++] = fields[i];
}

/* Lists the faults of all stand-ins and those of the program. */
static void
list_faults(struct standin *standin, struct field_list *list)
{
	const struct field common[COMMON_FAULTS] = {
	    {"outage_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->outage_ms}},
	    {"delay_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->delay_ms}},
	    {"reply_delay_ms", "", "", FIELD_INTEGER,
		{.integer = &standin->reply_delay_ms}},
	    {"drop_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->drop_requests}},
	    {"drop_probability", "", "", FIELD_REAL,
		{.real = &standin->drop_probability}},
	    {"lose_replies", "", "", FIELD_INTEGER,
		{.integer = &standin->lose_replies}},
	    {"lose_probability", "", "", FIELD_REAL,
		{.real = &standin->lose_probability}},
	    {"hang_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->hang_requests}},
	    {"hang_replies", "", "", FIELD_INTEGER,
		{.integer = &standin->hang_replies}},
	    {"error_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->error_requests}},
	    {"error_status", "", "", FIELD_INTEGER,
		{.integer = &standin->error_status}},
	    {"exit_requests", "", "", FIELD_INTEGER,
		{.integer = &standin->exit_requests}},
	    {"exit_replies", "", "", FIELD_INTEGER,
		{.integer = &standin->exit_replies}},
	    {"match_path", "", "", FIELD_TEXT, {.text = &standin->match_path}},
	};

	field_list_add(list, common, COMMON_FAULTS);
	field_list_add(
	    list, standin->program->faults, standin->program->fault_count);
}

bool
standin_is_in_outage(const struct standin *standin)
{
	return clock_monotonic_us() < standin->outage_until_us;
}

bool
standin_consume_fault(int64_t *left)
{
	if (*left == 0)
		return false;
	--*left;
	return true;
}

static bool
occurs_randomly(struct standin *standin, double probability)
{
	return probability > 0 && rng_real(&standin->rng) < probability;
}

static bool
is_control_path(const struct standin_request *request)
{
	return strcmp(request->path, "/faults") == 0 ||
	    strcmp(request->path, "/stats") == 0;
}

bool
standin_faults_apply(const struct standin_request *request)
{
	const char *match = request->standin->match_path;

	return !is_control_path(request) &&
	    (match == NULL ||
		strncmp(request->path, match, strlen(match)) == 0);
}

/* Replies are lost only after requests that may have had an effect, which are
 * those of all methods but GET. */
enum reply_fault
standin_faults_choose_reply(const struct standin_request *request)
{
	struct standin *standin = request->standin;
	bool may_have_effect = request->method != HTTP_GET;

	if (!standin_faults_apply(request))
		return REPLY_NORMAL;
	if (may_have_effect &&
	    (standin_consume_fault(&standin->lose_replies) ||
		occurs_randomly(standin, standin->lose_probability)))
		return REPLY_LOST;
	if (may_have_effect && standin_consume_fault(&standin->exit_replies))
		_exit(EXIT_STATUS);
	if (may_have_effect && standin_consume_fault(&standin->hang_replies))
		return REPLY_NEVER_SENT;
	return standin->reply_delay_ms > 0 ? REPLY_DELAYED : REPLY_NORMAL;
}

/* Starts or ends the outage, and informs the program. */
static void
faults_changed(struct standin *standin)
{
	standin->outage_until_us =
	    clock_monotonic_us() + standin->outage_ms * US_PER_MS;
	if (standin->program->faults_changed != NULL)
		standin->program->faults_changed(standin);
}

void
standin_handle_faults(struct standin_request *request)
{
	struct standin *standin = request->standin;
	struct field_list faults = {0};
	struct error err = {0};
	json_t *settings;
	bool ok;

	list_faults(standin, &faults);
	switch (request->method) {
	case HTTP_POST:
		settings = standin_request_json(request);
		ok =
		    fields_set_json(faults.items, faults.count, settings, &err);
		json_decref(settings);
		if (!ok) {
			standin_reply_error(request, 400, err.text);
			return;
		}
		faults_changed(standin);
		break;
	case HTTP_DELETE:
		fields_clear(faults.items, faults.count);
		faults_changed(standin);
		break;
	default:
		break;
	}
	standin_reply(request, 200, fields_json(faults.items, faults.count));
}

/* Handles a request after delay_ms, or refuses it if an outage has begun. */
static void
handle_after_delay(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (standin_is_in_outage(standin))
		standin_reply_error(request, 503, "unavailable");
	else
		standin->program->handle(request);
}

static int
fault_status(const struct standin *standin)
{
	return standin->error_status > 0 ? (int)standin->error_status : 500;
}

bool
standin_faults_intercept(struct standin_request *request)
{
	struct standin *standin = request->standin;

	if (standin_consume_fault(&standin->exit_requests))
		_exit(EXIT_STATUS);
	if (standin_is_in_outage(standin))
		standin_reply_error(request, 503, "unavailable");
	else if (standin_consume_fault(&standin->drop_requests) ||
	    occurs_randomly(standin, standin->drop_probability))
		standin_drop_connection(request);
	else if (standin_consume_fault(&standin->hang_requests))
		standin_never_reply(request);
	else if (standin_consume_fault(&standin->error_requests))
		standin_reply_error(
		    request, fault_status(standin), "ordered_error");
	else if (standin->delay_ms > 0)
		standin_request_delay(
		    request, standin->delay_ms, handle_after_delay);
	else
		return false;
	return true;
}
