#include "common/list.h"

void
list_init(struct list *list)
{
	list->prev = list;
	list->next = list;
}

void
list_insert(struct list *position, struct list *item)
{
	item->prev = position;
	item->next = position->next;
	position->next->prev = item;
	position->next = item;
}

void
list_append(struct list *head, struct list *item)
{
	list_insert(head->prev, item);
}

void
list_remove(struct list *item)
{
	item->prev->next = item->next;
	item->next->prev = item->prev;
	list_init(item);
}

struct list *
list_pop(struct list *head)
{
	struct list *item = head->next;

	if (item == head)
		return NULL;
	list_remove(item);
	return item;
}

bool
list_empty(const struct list *head)
{
	return head->next == head;
}

size_t
list_length(const struct list *head)
{
	size_t count = 0;

	for (const struct list *item = head->next; item != head;
	     item = item->next)
		count++;
	return count;
}
