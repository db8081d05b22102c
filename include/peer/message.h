/** @file
 * Messages between the daemons of one deployment.
 *
 * The wire form is a MessagePack array [format, type, sender, body]. The body
 * is a map with integer keys that leaves out zero values. Readers skip unknown
 * keys and types, so that different program versions can communicate.
 */
#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buf.h"
#include "common/error.h"
#include "record/record.h"
#include "turn/record.h"

enum {
	MESSAGE_FORMAT = 1,
};

enum message_type {
	MESSAGE_NONE = 0,
	MESSAGE_HEARTBEAT = 1,
	MESSAGE_VIEW = 2,         /**< members that the sender knows about */
	MESSAGE_CONFIG = 3,       /**< records of the configuration stream */
	MESSAGE_APPEND = 4,       /**< records for a relay to append */
	MESSAGE_APPEND_REPLY = 5, /**< result of MESSAGE_APPEND */
	MESSAGE_LANE = 6,         /**< records of a lane */
	MESSAGE_SUBSCRIBE = 7,    /**< streams that a daemon subscribes to */
	MESSAGE_DRAIN = 8,        /**< starts or cancels the drain of a VM */
	MESSAGE_STATUS = 9,       /**< state of a daemon, for operators */
	/* between gateways */
	MESSAGE_GATEWAY_HEARTBEAT = 10,
	MESSAGE_TURN_BEGIN = 11, /**< asks a program's owner to grant a turn */
	MESSAGE_TURN_BEGIN_REPLY = 12,
	MESSAGE_TURN_END = 13, /**< reports the end of a turn to its owner */
	MESSAGE_TURN_END_REPLY = 14, /**< acknowledges MESSAGE_TURN_END */
	MESSAGE_TURN_FIND = 15,      /**< asks an owner for a retained turn */
	MESSAGE_TURN_FIND_REPLY = 16,
	MESSAGE_HISTORY_GET = 17, /**< asks for a turn and those before it */
	MESSAGE_HISTORY = 18,     /**< reply to MESSAGE_HISTORY_GET */
	/** Of earlier versions: a backend server crashed while it ran a
	 * request. */
	MESSAGE_SERVER_CRASHED = 19,
	MESSAGE_GATEWAY_CONFIG = 20, /**< an encoded gateway configuration */
	/** Records for another gateway to append to the store. */
	MESSAGE_STORE_APPEND = 21,
	MESSAGE_STORE_APPEND_REPLY = 22, /**< result of MESSAGE_STORE_APPEND */
	/** Asks for the gateway configuration in force. */
	MESSAGE_GATEWAY_CONFIG_GET = 23,
	MESSAGE_SERVERS_GET = 24, /**< asks for the list of backend servers */
	MESSAGE_SERVERS = 25,     /**< reply to MESSAGE_SERVERS_GET */
	/** A backend server began, changed or ended a limit on requests. */
	MESSAGE_SERVER_LIMIT = 26,
	/** Asks a server's coordinator for a permit to send it a request. */
	MESSAGE_PERMIT_GET = 27,
	MESSAGE_PERMIT = 28, /**< reply to MESSAGE_PERMIT_GET */
	/** Crashes of backend servers, by the requests that they ran. */
	MESSAGE_SUSPECTS = 29,
	/** Asks for all such crashes that the receiver knows. */
	MESSAGE_SUSPECTS_GET = 30,
	/** Asks the coordinator of a workspace for a permit for a request, or
	 * gives one back. */
	MESSAGE_CAP_GET = 31,
	MESSAGE_CAP = 32, /**< reply to MESSAGE_CAP_GET */
	/** Requests of the sender's failure domain by backend server. */
	MESSAGE_DOMAIN_LOADS = 33,
	/** Runs of requests at backend servers, and how they end. */
	MESSAGE_RUNS = 34,
	/** As MESSAGE_STORE_APPEND, for parts of the content of turns. */
	MESSAGE_CONTENT_APPEND = 35,
};

/** Description of a daemon, given by itself or by a relay. */
struct message_member {
	char vm[NAME_BYTES];
	char address[NAME_BYTES]; /**< IP address for callers */
	uint32_t port;
	char peer_address[NAME_BYTES]; /**< IP address for daemons */
	uint32_t peer_port;
	char failure_domain[NAME_BYTES];
	char region[NAME_BYTES];
	uint64_t incarnation; /**< random; new at each start */
	uint64_t config_version;
	uint32_t owned_shards;
	bool draining;
	bool log_unreachable; /**< the daemon can't reach the platform's log */
	/* MESSAGE_VIEW only */
	bool gone;    /**< no sign of life for too long */
	bool partial; /**< only vm, config_version, owned_shards and gone are
		       filled in; the rest has not changed */
};

struct message_heartbeat {
	struct message_member self;
	/** Incarnation of the receiver whose views the sender has applied. */
	uint64_t acked_incarnation;
	uint64_t acked_version; /**< version of the last such view */
};

struct message_view {
	uint64_t incarnation;  /**< incarnation of the sender */
	uint64_t base_version; /**< version up to which changes are left out */
	uint64_t version;      /**< number of the sender's last change of a
				  member */
	uint64_t acked_incarnation; /**< as in struct message_heartbeat */
	uint64_t acked_version;     /**< as in struct message_heartbeat */
	uint64_t config_version;
	uint64_t config_end; /**< end of the configuration stream */
	int64_t log_age_us;  /**< time since the sender last reached the log */
	struct message_member *members; /**< changed after base_version */
	size_t member_count;
};

/** Record of a stream, as read from the log. */
struct message_record {
	uint64_t offset;
	struct wire_bytes data;
};

/** Body of MESSAGE_CONFIG and MESSAGE_LANE: the records of a stream from one
 * offset to another, without gaps. */
struct message_stream {
	uint32_t lane;  /**< MESSAGE_LANE only */
	uint64_t from;  /**< offset from which the records are complete */
	uint64_t next;  /**< offset up to which the records are complete */
	uint64_t end;   /**< end of the stream when the sender last read it */
	int64_t age_us; /**< time since the sender last read the stream */
	struct message_record *records;
	size_t record_count;
};

struct message_append {
	uint32_t lane;
	uint64_t number; /**< given by the sender; returned in the reply */
	bool priority; /**< set for claims, intents, outcomes, configuration */
	struct message_record *records; /**< offsets unused */
	size_t record_count;
};

struct message_append_reply {
	uint64_t number;
	uint32_t result;       /**< enum append_result */
	uint64_t first_offset; /**< offset of the first record, if appended */
};

struct message_subscribe_lane {
	uint32_t lane;
	uint64_t from;
};

struct message_subscribe {
	bool config;
	uint64_t config_from;
	/** All lanes that the sender subscribes to. Subscriptions to lanes that
	 * are not listed end. */
	struct message_subscribe_lane *lanes;
	size_t lane_count;
};

struct message_drain {
	char vm[NAME_BYTES];
	bool draining;
};

struct message_status {
	uint64_t config_version;
	bool config_maybe_stale;
	bool draining;
	uint32_t owned_shards;
	uint32_t open_calls;
	uint64_t backlog_bytes; /**< size of the records to be appended */
};

/** Number of requests that a gateway is running on a backend server. */
struct message_load {
	uint64_t server_hash; /**< hash of the server's id */
	uint32_t running;
};

/** Prompt prefix that a backend server's cache holds. */
struct message_cached_prefix {
	uint64_t prefix_hash;
	uint64_t server_hash; /**< hash of the server's id */
	uint32_t tokens;
};

/** As struct backend_measurement. */
struct message_measurement {
	uint64_t server_hash; /**< hash of the server's id */
	uint32_t load;
	uint64_t uncached_tokens;
	uint64_t first_us;
	uint64_t token_ns;
	uint64_t response_us;
};

/** Gateway of another failure domain that the sender has received from. */
struct message_reachable_gateway {
	uint64_t vm_hash; /**< hash of the VM's name */
};

struct message_gateway_heartbeat {
	struct message_member self;
	uint64_t ownership_generation; /**< generation of the assignment of
					  partitions to gateways */
	uint64_t owned_partitions; /**< bit N: the sender owns partition N */
	struct message_load *loads;
	size_t load_count;
	/** Prefixes that requests share. Not in every heartbeat. */
	struct message_cached_prefix *cached_prefixes;
	size_t cached_prefix_count;
	/** Not in every heartbeat. */
	struct message_reachable_gateway *reachable_gateways;
	size_t reachable_gateway_count;
	uint32_t relay_port; /**< for requests of other gateways' callers; 0:
				none */
	bool servers_unreachable; /**< the sender reaches no backend server */
	bool reply_requested;     /**< set by a gateway that has just started */
	uint64_t suspects_digest; /**< of what it knows of crashes */
	/** Time since the sender's configuration was known to be the newest; 0:
	 * not told, by versions that lack this field. */
	uint64_t config_age_us;
	/** The sender hears too few of the gateways that it knows. */
	bool isolated;
	uint64_t servers_digest; /**< of its list of backend servers */
	/** Time since the sender read the list from the store; 0: it does not
	 * read it. */
	int64_t servers_age_us;
	/** What the sender received from other failure domains, as encoded by
	 * fleet_load_encode_received(). Not in every heartbeat. */
	struct wire_bytes other_domains;
	/** What the sender measured since its last heartbeat, in part. */
	struct message_measurement *measurements;
	size_t measurement_count;
};

struct message_domain_loads {
	struct wire_bytes sums; /**< encoded by fleet_load_encode_sums() */
};

struct message_turn_begin {
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	char session[NAME_BYTES];
	char previous[NAME_BYTES];
	bool has_budget;
	uint64_t budget_tokens;
	uint64_t max_tokens;
	int64_t remaining_us; /**< time until the turn's deadline */
	bool needs_chain;     /**< the sender lacks the chain of `previous` */
};

/** Result of MESSAGE_TURN_BEGIN or MESSAGE_TURN_FIND at an owner. */
enum turn_result {
	TURN_RESULT_GRANTED = 1,
	/** What is left of the budget does not cover the turn. */
	TURN_RESULT_BUDGET_EXHAUSTED = 2,
	/** Running turns have reserved the budget; to be retried. */
	TURN_RESULT_BUDGET_IN_USE = 3,
	TURN_RESULT_NOT_OWNER = 4,
	/** The owner can't read the log at present. */
	TURN_RESULT_LOG_UNAVAILABLE = 5,
};

struct message_turn_begin_reply {
	char turn[NAME_BYTES];
	uint32_t result;        /**< enum turn_result */
	uint64_t epoch;         /**< epoch of the ownership that granted it */
	bool previous_known;    /**< the owner retains the previous turn */
	struct turn_ref *chain; /**< previous turn and those before it, oldest
				   first */
	size_t chain_count;
	char previous_vm[NAME_BYTES];  /**< VM that served the previous turn */
	char cache_server[NAME_BYTES]; /**< backend server that has the
					  program's cache */
};

struct message_turn_end {
	uint32_t type; /**< enum turn_record_type */
	char turn[NAME_BYTES];
	char program[NAME_BYTES];
	uint64_t epoch;
	uint64_t spent_tokens;
	uint64_t max_tokens;
	uint64_t budget_tokens;
	char session[NAME_BYTES];
	char server[NAME_BYTES]; /**< backend server that ran it; "": none */
	/* retained turns only */
	char previous[NAME_BYTES];
	uint64_t offset; /**< offset of the turn's record */
	uint32_t bytes;  /**< length of the turn's record */
	struct turn_ref *ancestors;
	size_t ancestor_count;
};

struct message_turn_end_reply {
	char turn[NAME_BYTES];
	bool is_owner; /**< whether the replying gateway owns the program */
};

struct message_turn_find {
	char turn[NAME_BYTES];
	uint32_t partition;
	bool read_log; /**< read the log before reporting it as unknown */
};

struct message_turn_find_reply {
	char turn[NAME_BYTES];
	uint32_t partition;
	/** enum turn_result; TURN_RESULT_GRANTED: `known` is valid. */
	uint32_t result;
	bool known; /**< the owner retains the turn */
	/* as in struct message_turn_begin_reply, for the turn found */
	struct turn_ref *chain;
	size_t chain_count;
	char previous_vm[NAME_BYTES];
	char cache_server[NAME_BYTES];
};

struct message_history_turn {
	char turn[NAME_BYTES];
	char previous[NAME_BYTES];
	uint32_t partition;
	uint64_t offset;
	uint32_t bytes;
	struct wire_bytes input;
	struct wire_bytes output;
};

struct message_history_get {
	char turn[NAME_BYTES];
};

struct message_history {
	char turn[NAME_BYTES];
	struct message_history_turn *turns; /**< oldest first; none if the turn
					       is unknown */
	size_t turn_count;
};

struct message_server_crashed {
	uint64_t fingerprint;
	char server[NAME_BYTES];
	/** Wall-clock time at which the server process started. All gateways
	 * identify a crash by it. */
	int64_t started_wall_ms;
};

/** As struct suspect_crash. */
struct message_suspect_crash {
	uint64_t fingerprint;
	uint32_t epoch;
	uint32_t round;
	uint64_t crash;
	int64_t age_us; /**< time since the crash; negative: not known */
};

struct message_suspects {
	struct message_suspect_crash *crashes;
	size_t crash_count;
	bool is_reply; /**< to MESSAGE_SUSPECTS_GET */
};

/** What a gateway tells of a run. */
enum message_run_state {
	MESSAGE_RUN_BEGUN = 1, /**< it is under way */
	MESSAGE_RUN_ENDED = 2, /**< its gateway knows how it ended */
	/** It may have ended with a crash of the server. */
	MESSAGE_RUN_UNRESOLVED = 3,
	/** The same, told to all gateways. */
	MESSAGE_RUN_SPREAD = 4,
	/** It has not crashed the server; told to all gateways. */
	MESSAGE_RUN_HARMLESS = 5,
};

struct message_run {
	uint32_t state;          /**< enum message_run_state */
	uint64_t number;         /**< of the gateway that sent it */
	uint64_t vm_hash;        /**< of that gateway's VM */
	uint64_t fingerprint;    /**< of the request */
	uint32_t epoch;          /**< of the request, as struct suspect_crash */
	uint64_t server;         /**< hash of its id */
	int64_t started_wall_ms; /**< start of the server */
	int64_t sent_age_us;     /**< time since it was sent */
	/** Time since the server may have run it last; may be negative. */
	int64_t ended_age_us;
	bool broken; /**< its connection broke */
};

struct message_runs {
	uint64_t incarnation; /**< of the sender's process */
	struct message_run *runs;
	size_t run_count;
};

/** Asks for a configuration that is newer than the sender's, and since when it
 * has been known to be the newest. */
struct message_gateway_config_get {
	uint64_t known_version; /**< of the sender; 0: none */
	int64_t asked_us; /**< by the sender's clock; repeated in the reply */
};

struct message_gateway_config {
	struct wire_bytes data; /**< empty: the recipient has this version */
	uint64_t version;
	uint64_t age_us;  /**< time since it was known to be the newest */
	int64_t asked_us; /**< of the question; 0: not told, by versions that
			     lack this field */
};

/** Description of a backend server by another gateway. */
struct message_server {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[NAME_BYTES];
	char failure_domain[NAME_BYTES];
	uint32_t slots;
	bool draining;
	int64_t warm_up_us; /**< time for which the server is still slow after
			       its start */
	int64_t started_wall_ms; /**< wall-clock time of the server's start */
};

struct message_servers {
	struct message_server *servers;
	size_t server_count;
	/** Time for which the sender has read the list without a failure. */
	int64_t reachable_us;
};

/** What the sender knows of a backend server's limit on requests. */
struct message_server_limit {
	uint64_t server_hash;    /**< hash of the server's id */
	int64_t started_wall_ms; /**< start of the server that this is about */
	bool limited;
	uint64_t per_1000_s; /**< requests in 1000 s */
	int64_t age_us;      /**< time since the server stated it */
};

struct message_permit_get {
	uint64_t number; /**< given by the sender; returned in the reply */
	struct message_server_limit limit;
	char failure_domain[NAME_BYTES]; /**< of the backend server */
	int64_t max_wait_us; /**< longest wait that the request accepts */
};

struct message_permit {
	uint64_t number;
	struct message_server_limit limit; /**< may be newer than the sender's
					      of MESSAGE_PERMIT_GET */
	bool granted;
	int64_t wait_us; /**< as in struct permit */
};

/** A workspace's cap, as the sender knows it. */
struct message_workspace_cap {
	uint64_t version;    /**< of the configuration that declares it */
	uint64_t per_1000_s; /**< requests in 1000 s; 0: no cap */
	uint64_t burst_1000; /**< thousandths of a request */
};

struct message_cap_get {
	uint64_t number; /**< given by the sender; returned in the reply */
	char workspace[NAME_BYTES];
	struct message_workspace_cap cap;
	uint64_t program; /**< as in struct cap_claim */
	bool has_begun;
	int64_t max_wait_us;
	uint32_t wanted;
	uint32_t used;
	/** A permit is given back and none asked for; there is no reply. */
	bool returned;
	bool began_program; /**< returned: the permit began its program */
};

/** Answers of a gateway that is asked for a permit. */
enum cap_reply {
	/* 1 to 3: enum cap_result */
	CAP_REPLY_NOT_COORDINATOR = 4, /**< as far as the replying one knows */
};

struct message_cap {
	uint64_t number;
	uint32_t result; /**< enum cap_result or enum cap_reply */
	int64_t wait_us; /**< as in struct cap_permit */
	uint32_t leased;
	/** May be newer than the sender's of MESSAGE_CAP_GET. */
	struct message_workspace_cap cap;
	uint64_t demand_per_1000_s; /**< permits asked for by all VMs */
	bool began_program;         /**< the permit began its program */
	uint64_t workspace_hash;
};

struct message_store_append {
	uint64_t number; /**< given by the sender; returned in the reply */
	uint32_t partition;
	struct message_record *records; /**< offsets unused */
	size_t record_count;
};

struct message_store_append_reply {
	uint64_t number;
	bool ok; /**< whether the records were appended */
	uint64_t first_offset;
	bool rejected; /**< as invalid, so that it is no use to try again */
};

struct message {
	enum message_type type;
	uint32_t format;
	char sender[NAME_BYTES]; /**< name of the sender's VM */
	union {
		struct message_heartbeat heartbeat;
		struct message_view view;
		/** MESSAGE_CONFIG and MESSAGE_LANE. */
		struct message_stream stream;
		struct message_append append;
		struct message_append_reply append_reply;
		struct message_subscribe subscribe;
		struct message_drain drain;
		struct message_status status;
		struct message_gateway_heartbeat gateway_heartbeat;
		struct message_turn_begin turn_begin;
		struct message_turn_begin_reply turn_begin_reply;
		struct message_turn_end turn_end;
		struct message_turn_end_reply turn_end_reply;
		struct message_turn_find turn_find;
		struct message_turn_find_reply turn_find_reply;
		struct message_history_get history_get;
		struct message_history history;
		struct message_server_crashed server_crashed;
		struct message_gateway_config gateway_config;
		struct message_gateway_config_get gateway_config_get;
		struct message_servers servers;
		struct message_store_append store_append;
		struct message_store_append_reply store_append_reply;
		struct message_server_limit server_limit;
		struct message_permit_get permit_get;
		struct message_permit permit;
		struct message_cap_get cap_get;
		struct message_cap cap;
		struct message_suspects suspects;
		struct message_runs runs;
		struct message_domain_loads domain_loads;
	};
};

/** Appends the wire form of a message to out. */
void message_encode(const struct message *message, struct buf *out);
/** Decodes the wire form of a message. After success, the caller frees the
 * message with message_reset(). Byte strings point into data, which must stay
 * valid. A message of an unknown type is decoded with an empty body.
 * Errors: ERROR_INVALID, with the cause in the text. */
bool message_decode(const uint8_t *data, size_t len, struct message *message,
    struct error *err);
/** Frees the lists of a decoded message. */
void message_reset(struct message *message);
/** Returns the name of a type in the wire format, e.g. "view" or "hello" (a
 * heartbeat), or "unknown". */
const char *message_type_name(enum message_type type);

#endif
