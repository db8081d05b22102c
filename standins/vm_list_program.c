/** @file
 * standin-vmlist: a stand-in for the platform's list of live and leaving VMs,
 * which shows changes with a delay.
 */
#include <string.h>

#include "common/clock.h"
#include "standins/programs.h"
#include "standins/vm_list.h"

static int64_t lag_ms = 5000;
static struct vm_list *list;

static void
handle_put(struct standin_request *request, const char *vm)
{
	json_t *entry = standin_request_json(request);
	struct error err = {0};

	if (vm_list_put(list, vm, entry, clock_monotonic_us(), &err))
		standin_reply(request, 200, json_object());
	else
		standin_reply_error(request, 400, err.text);
	json_decref(entry);
}

static void
handle(struct standin_request *request)
{
	const char *vm = standin_path_suffix(request, "/v1/vms/");
	int64_t now_us = clock_monotonic_us();

	if (request->method == HTTP_GET &&
	    strcmp(request->path, "/v1/vms") == 0) {
		standin_reply(request, 200, vm_list_show(list, now_us));
	} else if (request->method == HTTP_PUT && vm != NULL && *vm != '\0') {
		handle_put(request, vm);
	} else if (request->method == HTTP_DELETE && vm != NULL) {
		vm_list_remove(list, vm, now_us);
		standin_reply(request, 200, json_object());
	} else {
		standin_reply_error(request, 404, "unknown_path");
	}
}

static json_t *
stats(struct standin *standin)
{
	(void)standin;
	return json_pack(
	    "{s:I}", "changes_not_shown", (json_int_t)vm_list_pending(list));
}

static void
start(struct standin *standin)
{
	(void)standin;
	list = vm_list_create(lag_ms * US_PER_MS);
}

static void
stop(struct standin *standin)
{
	(void)standin;
	vm_list_destroy(list);
}

static const struct field options[] = {
    {"lag_ms", "MS", "Delay after which a change becomes visible",
	FIELD_INTEGER, {.integer = &lag_ms}},
};
const struct standin_program vmlist_program = {
    .name = "standin-vmlist",
    .summary =
	"Stand-in for the platform's list of VMs, which shows changes late.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .start = start,
    .stop = stop,
    .handle = handle,
    .stats = stats,
};
