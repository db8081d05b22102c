/** @file
 * The platform's list of VMs, which shows each change late. No I/O.
 */
#ifndef STANDINS_VM_LIST_H
#define STANDINS_VM_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"

struct vm_list;

struct vm_list *vm_list_create(int64_t lag_us);
void vm_list_destroy(struct vm_list *list);
/** Adds or changes a VM. Errors: ERROR_INVALID. */
bool vm_list_put(struct vm_list *list, const char *vm, const json_t *entry,
    int64_t now_us, struct error *err);
void vm_list_remove(struct vm_list *list, const char *vm, int64_t now_us);
/** Returns {"vms":[...]} as it was one lag ago. */
json_t *vm_list_show(struct vm_list *list, int64_t now_us);
/** Returns the number of changes that are not shown yet. */
size_t vm_list_pending(const struct vm_list *list);

#endif
