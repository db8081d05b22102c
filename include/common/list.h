/** @file
 * Intrusive doubly linked list. A list head and a member are both a struct
 * list; an initialised head points at itself.
 */
#ifndef COMMON_LIST_H
#define COMMON_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct list {
	struct list *prev;
	struct list *next;
};

/** Initialises a head as empty, or a member as unlinked. */
void list_init(struct list *list);
/** Inserts an item directly after a position. */
void list_insert(struct list *position, struct list *item);
/** Inserts an item at the end of the list. */
void list_append(struct list *head, struct list *item);
/** Unlinks an item. Does nothing if it is initialised but unlinked. */
void list_remove(struct list *item);
/** Unlinks and returns the first item, or returns NULL if the list is empty. */
struct list *list_pop(struct list *head);
bool list_empty(const struct list *head);
/** Returns the number of items by walking the list. */
size_t list_length(const struct list *head);

/** Returns the structure that embeds a list member. */
#define list_entry(item, type, member) \
	((type *)(void *)((char *)(item)-offsetof(type, member)))

/** Iterates over a list. The body must not remove the current item. */
#define list_for_each(pos, head, type, member) \
	for (type *pos = list_entry((head)->next, type, member); \
	     &pos->member != (head); \
	     pos = list_entry(pos->member.next, type, member))

/** Iterates over a list. The body may remove the current item. */
#define list_for_each_safe(pos, tmp, head, type, member) \
	for (type *pos = list_entry((head)->next, type, member), \
		  *tmp = list_entry(pos->member.next, type, member); \
	     &pos->member != (head); \
	     pos = tmp, tmp = list_entry(pos->member.next, type, member))

#endif
