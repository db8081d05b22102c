/** @file
 * Interfaces between the files of standin-caller, a load generator that runs
 * programs of dependent model calls.
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

/** Values of the command-line options. */
struct caller_settings {
	char *addresses; /**< "IP:PORT,IP:PORT" */
	bool guavakeel;  /**< whether the addresses are guavakeel gateways */
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

/** Measurements of a run. */
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
	uint64_t wrong_answers; /**< answers that belong to another request */
};

/** State of the load generator. */
struct caller {
	uv_loop_t loop;
	struct net *net;
	uv_timer_t arrivals; /**< timer that starts the programs that are due */
	struct caller_settings settings;
	struct caller_address addresses[CALLER_ADDRESSES];
	size_t address_count;
	int64_t started_programs;
	int64_t finished_programs;
	int64_t begun_us;
	struct caller_results results;
};

/** A program that the load generator runs. */
struct load_program {
	struct caller *caller;
	struct caller_address address;
	uv_timer_t timer; /**< pause between turns or delay before a retry */
	int64_t number;
	char id[CALLER_NAME_BYTES];
	int64_t turn;    /**< number of the current turn, from 1 */
	int attempts;    /**< failed attempts of the current step */
	json_t *history; /**< messages to send */
	char *content;   /**< last user message; NULL: not built yet */
	int64_t begun_us;
	struct load_response *response; /**< response that is being read */
};

/** A streamed response while it is received. */
struct load_response {
	struct load_program *program;
	struct buf input; /**< received bytes that are not parsed yet */
	struct buf text;  /**< answer received so far */
	int64_t sent_us;
	int64_t last_token_us; /**< time of the last token; 0: none received */
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	bool done; /**< whether `data: [DONE]` was received */
};

/** Starts a program; caller_program_finished() is called at its end. */
void load_program_start(struct caller *caller, int64_t number);
/** Handles the complete response of a turn: appends the answer to the history
 * and schedules the next turn. */
void load_program_turn_done(
    struct load_program *program, struct load_response *response);
/** Handles a failed step: retries it, at the owner if the response names one,
 * or fails the program after too many attempts. The response may be NULL. */
void load_program_retry(struct load_program *program, const json_t *response);

/** Sends the model call of the program's current turn. */
void load_chat_send(struct load_program *program);

/** Counts an ended program; stops the event loop after the last one. */
void caller_program_finished(struct caller *load);
/** Parses "IP:PORT"; returns false if it is malformed. */
bool caller_parse_address(const char *text, struct caller_address *address);

#endif
