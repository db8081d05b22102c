/** @file
 * What suspect_days.c and suspect_open.c share: the VMs of a simulated fleet,
 * their messages, the store and the list of servers.
 */
#ifndef TESTS_SUSPECT_WORLD_H
#define TESTS_SUSPECT_WORLD_H

#include "common/clock.h"
#include "common/rng.h"
#include "dispatch/run_watch.h"
#include "tests/suspect_days.h"

enum {
	VMS_MAX = 300,
	STEP_US = 10 * US_PER_MS,
	START_US = 10 * US_PER_S,
	DOWN_MAX_US = 2 * US_PER_S,
	TROUBLE_MAX_US = 5 * US_PER_S,
	/* A request that crashes servers comes again after this time. */
	RETURN_US = 1900 * US_PER_MS,
	/* Time until a VM knows that a server has ended: by a connection of its
	 * own, or, in one of LISTED_EVERY cases, only by the list. */
	NOTICE_US = 20 * US_PER_MS,
	NOTICE_LISTED_US = 4100 * US_PER_MS,
	/* The same where servers fall silent and the list is slow, and the time
	 * after which such a request comes again. */
	NOTICE_SLOW_US = 7 * US_PER_S,
	RETURN_SOON_MIN_US = 400 * US_PER_MS,
	RETURN_SOON_MAX_US = 1600 * US_PER_MS,
	LISTED_EVERY = 8,
	HEARTBEAT_EVERY = 10, /* steps */
	DELAY_MAX_STEPS = 3,  /* of a message */
	LOSS_PERCENT = 10,
	MESSAGES_MAX = 1 << 16,
	RECORDS_MAX = 4096,
	UNWRITTEN_MAX = 64,
	LIST_MAX = 512,
	ENDS_LISTED_MAX = 1024,
	ENDS_MAX = 16,  /* of servers that a VM has not noticed yet */
	OPEN_MAX = 256, /* runs under way */
	/* Of the servers, in a day with servers in trouble. */
	IN_TROUBLE_PERCENT = 35,
	/* Of the crashes, those after which a new process serves at the address
	 * before the list shows it. */
	REBORN_PERCENT = 30,
};

/** The end of a server that a VM will notice. */
struct server_end {
	struct server_start start;
	int64_t notice_us; /**< 0: unused entry */
	int64_t reborn_us; /**< when a new process responds; 0: it doesn't */
};

enum stored_kind {
	STORED_CRASH,
	STORED_RUN, /* whose outcome is not known yet */
	STORED_RUN_REMOVED,
};

/** A record of the store. */
struct stored {
	enum stored_kind kind;
	struct suspect_crash crash;
	struct server_start start; /* of a run */
	const struct vm *writer;
};

/** A VM and its troubles; times until which they last. */
struct vm {
	struct suspects suspects;
	struct unfinished unfinished;
	int64_t down_until_us;
	int64_t frozen_until_us;
	int64_t cut_until_us;       /* from the other VMs */
	int64_t store_cut_until_us; /* from the store */
	int64_t troubled_us;        /* last moment of any trouble */
	size_t read;                /* records of the store */
	bool runs_loaded;           /* from the store since the start */
	struct stored unwritten[UNWRITTEN_MAX];
	size_t unwritten_count;
	struct server_end ends[ENDS_MAX];
	int64_t listed_since_us;
	size_t ends_read;     /* of the list of servers */
	uint64_t incarnation; /* of its process */
	int64_t reached_us;   /* last heartbeat that others heard */
	struct run_watch watch;
};

enum delivery_kind {
	DELIVER_CRASH,
	DELIVER_BEGUN,  /* a run is under way */
	DELIVER_OPEN,   /* its outcome is open */
	DELIVER_SPREAD, /* the same, told to all */
};

/** A message to a VM. */
struct delivery {
	int64_t due_us;
	enum delivery_kind kind;
	int to;
	struct suspect_crash crash;
	/* Of a run: the VM that tells, its process and its number of the run.
	 */
	int from;
	uint64_t incarnation;
	struct unfinished_run run;
};

/** A run that has a duration; times are INT64_MAX if it never happens. */
struct open_run {
	int vm;
	uint64_t incarnation; /**< of the process that sent it */
	int64_t crash_us;     /**< the server ends */
	int64_t break_us;     /**< its connection breaks */
	int64_t leave_us;     /**< the caller leaves */
	int64_t kill_us;      /**< its VM is killed */
	bool crashed;
	bool told;
	bool silent;
	struct unfinished_run run;
};

/** A fleet, its messages and its store. */
struct world {
	struct rng rng;
	int64_t now_us;
	int vm_count;
	struct vm vms[VMS_MAX];
	struct delivery messages[MESSAGES_MAX];
	size_t message_count;
	struct stored records[RECORDS_MAX];
	size_t record_count;
	int64_t store_away_until_us;
	struct server_end ends_listed[ENDS_LISTED_MAX]; /* by the list */
	size_t ends_listed_count;
	uint64_t last_server;
	struct open_run open[OPEN_MAX];
	size_t open_count;
	int crashes;
	int64_t third_crash_us;
	int sends_after; /* by VMs that had no trouble for SUSPECT_SETTLE_US */
};

extern struct world world;

static const uint64_t CRASHER = 7;

/* suspect_days.c */
bool world_happens(uint64_t percent);
/** Returns whether a VM runs, and reaches the other VMs. */
bool vm_runs(const struct vm *vm);
bool vm_reaches_vms(const struct vm *vm);
/** Returns the VM that tries the request again, and that counts the runs which
 * others know of: the first that runs, as the others see it. */
struct vm *world_coordinator(void);
void world_send(const struct delivery *message);
/** Notes that a server has ended; the list tells it after notice_us. */
void world_note_crash(const struct server_start *start, int64_t notice_us);
/** Lets a VM notice the end of a server soon, by a connection of its own. */
void vm_note_end(struct vm *vm, const struct server_start *start);
/** Ends a VM's process; a new one starts later. */
void vm_kill(struct vm *vm);

/* suspect_open.c */
/** Sends the request from a VM to a server that it crashes. */
void open_run_begin(struct vm *vm, const struct troubles *troubles);
/** Notes a run of a VM of which nothing shows that it came to its end, and
 * tells the VMs that answer for it if that VM dies. */
void open_run_add(struct vm *vm, const struct unfinished_run *run);
/** Lets the runs of all VMs go on. */
void open_runs_step(void);
/** Lets a VM take over the runs of VMs that are gone. */
void open_runs_watch(struct vm *vm);
void open_run_deliver(struct vm *vm, const struct delivery *message);
/** Tells all VMs of the open runs that a VM knows if they must know. */
void open_runs_spread(struct vm *vm);
/** Lets a VM learn the open runs that another one was told of. */
void open_runs_compare(struct vm *vm, const struct vm *other);

#endif
