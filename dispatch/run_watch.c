#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/memory.h"
#include "dispatch/run_watch.h"

void
run_watch_init(struct run_watch *watch)
{
	*watch = (struct run_watch){0};
	list_init(&watch->senders);
}

static void
free_sender(struct watched_sender *sender)
{
	struct list *item;

	while ((item = list_pop(&sender->runs)) != NULL)
		free(list_entry(item, struct watched_run, link));
	free(sender);
}

void
run_watch_reset(struct run_watch *watch)
{
	struct list *item;

	while ((item = list_pop(&watch->senders)) != NULL)
		free_sender(list_entry(item, struct watched_sender, link));
	watch->run_count = 0;
}

static struct watched_sender *
find_sender(struct run_watch *watch, const char *vm, uint64_t incarnation)
{
	list_for_each (sender, &watch->senders, struct watched_sender, link) {
		if (sender->incarnation == incarnation &&
		    strcmp(sender->vm, vm) == 0)
			return sender;
	}
	return NULL;
}

static struct watched_run *
find_run(struct watched_sender *sender, uint64_t number)
{
	list_for_each (run, &sender->runs, struct watched_run, link) {
		if (run->number == number)
			return run;
	}
	return NULL;
}

static struct watched_sender *
add_sender(struct run_watch *watch, const char *vm, uint64_t incarnation)
{
	struct watched_sender *sender = xcalloc(1, sizeof(*sender));

	snprintf(sender->vm, sizeof(sender->vm), "%s", vm);
	sender->incarnation = incarnation;
	list_init(&sender->runs);
	list_append(&watch->senders, &sender->link);
	return sender;
}

void
run_watch_begin(struct run_watch *watch, const char *vm, uint64_t incarnation,
    const struct watched_run *run)
{
	struct watched_sender *sender = find_sender(watch, vm, incarnation);
	struct watched_run *added;

	if (watch->run_count == WATCHED_RUNS_MAX)
		return;
	if (sender == NULL)
		sender = add_sender(watch, vm, incarnation);
	if (find_run(sender, run->number) != NULL)
		return;
	added = xcalloc(1, sizeof(*added));
	*added = *run;
	list_append(&sender->runs, &added->link);
	watch->run_count++;
}

void
run_watch_end(struct run_watch *watch, const char *vm, uint64_t incarnation,
    uint64_t number)
{
	struct watched_sender *sender = find_sender(watch, vm, incarnation);
	struct watched_run *run =
	    sender != NULL ? find_run(sender, number) : NULL;

	if (run == NULL)
		return;
	list_remove(&run->link);
	free(run);
	watch->run_count--;
}

bool
run_watch_take(struct run_watch *watch, struct watched_sender *sender,
    struct watched_run *run)
{
	struct watched_run *first;

	if (list_empty(&sender->runs)) {
		list_remove(&sender->link);
		free(sender);
		return false;
	}
	first = list_entry(list_pop(&sender->runs), struct watched_run, link);
	*run = *first;
	free(first);
	watch->run_count--;
	return true;
}
