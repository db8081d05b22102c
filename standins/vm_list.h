/** @file
 * The platform's list of VMs, in which each change becomes visible with a
 * delay. Does no I/O.
 */
#ifndef STANDINS_VM_LIST_H
#define STANDINS_VM_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"

struct vm_list;

/** Creates an empty list whose changes become visible after lag_us. */
struct vm_list *vm_list_create(int64_t lag_us);
void vm_list_destroy(struct vm_list *list);
/** Adds or replaces a VM. Errors: ERROR_INVALID. */
bool vm_list_put(struct vm_list *list, const char *vm, const json_t *entry,
    int64_t now_us, struct error *err);
void vm_list_remove(struct vm_list *list, const char *vm, int64_t now_us);
/** Returns {"vms":[...]} as the list was one lag ago. */
json_t *vm_list_show(struct vm_list *list, int64_t now_us);
/** Returns the number of changes that are not visible yet. */
size_t vm_list_pending(const struct vm_list *list);

#endif
