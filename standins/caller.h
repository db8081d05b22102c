/** @file
 * Shared by the files of standin-caller: programs of dependent model calls.
 */
#ifndef STANDINS_CALLER_H
#define STANDINS_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "common/buf.h"
#include "common/list.h"
#include "experiment/measure.h"
#include "net/http.h"

enum {
	CALLER_ADDRESSES = 64,
	CALLER_NAME_BYTES = 96,
};

struct caller_address {
	char ip[64];
	int port;
};

struct caller_settings {
	char *addresses; /**< "IP:PORT,IP:PORT" */
	bool guavakeel;
	int64_t programs;
	double programs_per_s;
	int64_t turns;
	int64_t prompt_tokens;
	int64_t answer_tokens;
	int64_t pause_ms;
	char *workspace;
	char *model;
	char *class;
};

struct caller_results {
	struct samples first_token_ms;
	struct samples inter_token_ms;
	struct samples program_ms;
	uint64_t requests;
	uint64_t retries;
	uint64_t tokens;
	uint64_t cached_tokens;
	uint64_t prompt_tokens;
	uint64_t programs_done;
	uint64_t programs_failed;
	uint64_t wrong_answers; /**< of another request */
};

struct caller {
	uv_loop_t loop;
	struct net *net;
	uv_timer_t arrivals;
	struct caller_settings settings;
	struct caller_address addresses[CALLER_ADDRESSES];
	size_t address_count;
	int64_t started_programs;
	int64_t finished_programs;
	int64_t begun_us;
	struct caller_results results;
};

/** A program of the load. */
struct load_program {
	struct caller *caller;
	struct caller_address address;
	uv_timer_t timer; /**< pause, or delay before a retry */
	int64_t number;
	char id[CALLER_NAME_BYTES];
	int64_t turn; /**< of the present call, from 1 */
	int attempts; /**< of the present step */
	json_t *history;
	char *content; /**< last message sent */
	int64_t begun_us;
	struct load_response *response; /**< under way */
};

/** A streamed answer as it comes in. */
struct load_response {
	struct load_program *program;
	struct buf input; /**< events not yet whole */
	struct buf text;  /**< content so far */
	int64_t sent_us;
	int64_t last_token_us; /**< 0: none yet */
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	bool done; /**< data: [DONE] */
};

/* ---- caller_program.c ---- */

/** Starts a program, which ends in caller_program_finished(). */
void load_program_start(struct caller *caller, int64_t number);
/** The present call has its whole answer. */
void load_program_turn_done(
    struct load_program *program, struct load_response *response);
/** The present step failed; it is tried again, at the owner if the answer names
 * one, or the program is given up. answer may be NULL. */
void load_program_retry(struct load_program *program, const json_t *response);

/* ---- caller_chat.c ---- */

/** Sends the program's present call. */
void load_chat_send(struct load_program *program);

/* ---- caller.c ---- */

void caller_program_finished(struct caller *load);
/** Reads "IP:PORT"; returns false when it is malformed. */
bool caller_parse_address(const char *text, struct caller_address *address);

#endif
