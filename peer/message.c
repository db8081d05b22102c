#include <string.h>

#include <msgpack.h>

#include "common/pack.h"
#include "common/wire.h"
#include "peer/message.h"

enum {
	ENVELOPE_ITEMS = 4,
};

/* Describes a list: a pointer directly followed by its count, as in struct
 * wire_list. */
#define LIST(key, pointer, item_layout) \
	{ \
		key, WIRE_LIST, offsetof(struct message, pointer), \
		    sizeof(struct wire_list), item_layout, \
		    sizeof(*((struct message *)0)->pointer) \
	}
#define LIST_IS_ADJACENT(pointer, count) \
	_Static_assert(offsetof(struct message, count) == \
		offsetof(struct message, pointer) + sizeof(void *), \
	    "the count must directly follow the pointer")
LIST_IS_ADJACENT(view.members, view.member_count);
LIST_IS_ADJACENT(stream.records, stream.record_count);
LIST_IS_ADJACENT(append.records, append.record_count);
LIST_IS_ADJACENT(subscribe.lanes, subscribe.lane_count);
LIST_IS_ADJACENT(gateway_heartbeat.loads, gateway_heartbeat.load_count);
LIST_IS_ADJACENT(
    gateway_heartbeat.cached_prefixes, gateway_heartbeat.cached_prefix_count);
LIST_IS_ADJACENT(gateway_heartbeat.reachable_gateways,
    gateway_heartbeat.reachable_gateway_count);
LIST_IS_ADJACENT(
    gateway_heartbeat.measurements, gateway_heartbeat.measurement_count);
LIST_IS_ADJACENT(turn_begin_reply.chain, turn_begin_reply.chain_count);
LIST_IS_ADJACENT(turn_end.ancestors, turn_end.ancestor_count);
LIST_IS_ADJACENT(turn_find_reply.chain, turn_find_reply.chain_count);
LIST_IS_ADJACENT(history.turns, history.turn_count);
LIST_IS_ADJACENT(store_append.records, store_append.record_count);
LIST_IS_ADJACENT(servers.servers, servers.server_count);
LIST_IS_ADJACENT(suspects.crashes, suspects.crash_count);
LIST_IS_ADJACENT(runs.runs, runs.run_count);

#define FIELD(key, kind, member) WIRE_FIELD(struct message, key, kind, member)
/* Layout of a map that leaves out zero values. */
#define SPARSE(name, table) \
	{ \
		name, table, sizeof(table) / sizeof((table)[0]), true \
	}

#define MEMBER(key, kind, member) \
	WIRE_FIELD(struct message_member, key, kind, member)
static const struct wire_field member_fields[] = {
    MEMBER(1, WIRE_TEXT, vm),
    MEMBER(2, WIRE_TEXT, address),
    MEMBER(3, WIRE_UNSIGNED, port),
    MEMBER(4, WIRE_TEXT, peer_address),
    MEMBER(5, WIRE_UNSIGNED, peer_port),
    MEMBER(6, WIRE_TEXT, failure_domain),
    MEMBER(7, WIRE_TEXT, region),
    MEMBER(8, WIRE_UNSIGNED, incarnation),
    MEMBER(9, WIRE_UNSIGNED, config_version),
    MEMBER(10, WIRE_UNSIGNED, owned_shards),
    MEMBER(11, WIRE_BOOL, draining),
    MEMBER(12, WIRE_BOOL, log_unreachable),
    MEMBER(13, WIRE_BOOL, gone),
    MEMBER(14, WIRE_BOOL, partial),
};
static const struct wire_layout member_layout = SPARSE("member", member_fields);

static const struct wire_field record_fields[] = {
    WIRE_FIELD(struct message_record, 1, WIRE_UNSIGNED, offset),
    WIRE_FIELD(struct message_record, 2, WIRE_BYTES, data),
};
static const struct wire_layout record_layout = SPARSE("record", record_fields);

static const struct wire_field subscribe_lane_fields[] = {
    WIRE_FIELD(struct message_subscribe_lane, 1, WIRE_UNSIGNED, lane),
    WIRE_FIELD(struct message_subscribe_lane, 2, WIRE_UNSIGNED, from),
};
static const struct wire_layout subscribe_lane_layout =
    SPARSE("want_item", subscribe_lane_fields);

static const struct wire_field heartbeat_fields[] = {
    FIELD(1, WIRE_TEXT, heartbeat.self.vm),
    FIELD(2, WIRE_TEXT, heartbeat.self.address),
    FIELD(3, WIRE_UNSIGNED, heartbeat.self.port),
    FIELD(4, WIRE_TEXT, heartbeat.self.peer_address),
    FIELD(5, WIRE_UNSIGNED, heartbeat.self.peer_port),
    FIELD(6, WIRE_TEXT, heartbeat.self.failure_domain),
    FIELD(7, WIRE_TEXT, heartbeat.self.region),
    FIELD(8, WIRE_UNSIGNED, heartbeat.self.incarnation),
    FIELD(9, WIRE_UNSIGNED, heartbeat.self.config_version),
    FIELD(10, WIRE_UNSIGNED, heartbeat.self.owned_shards),
    FIELD(11, WIRE_BOOL, heartbeat.self.draining),
    FIELD(12, WIRE_BOOL, heartbeat.self.log_unreachable),
    FIELD(20, WIRE_UNSIGNED, heartbeat.acked_incarnation),
    FIELD(21, WIRE_UNSIGNED, heartbeat.acked_version),
};
static const struct wire_field view_fields[] = {
    FIELD(1, WIRE_UNSIGNED, view.incarnation),
    FIELD(2, WIRE_UNSIGNED, view.version),
    FIELD(3, WIRE_UNSIGNED, view.config_version),
    FIELD(4, WIRE_UNSIGNED, view.config_end),
    FIELD(5, WIRE_SIGNED, view.log_age_us),
    LIST(6, view.members, &member_layout),
    FIELD(7, WIRE_UNSIGNED, view.base_version),
    FIELD(8, WIRE_UNSIGNED, view.acked_incarnation),
    FIELD(9, WIRE_UNSIGNED, view.acked_version),
};
static const struct wire_field stream_fields[] = {
    FIELD(1, WIRE_UNSIGNED, stream.lane),
    FIELD(2, WIRE_UNSIGNED, stream.from),
    FIELD(3, WIRE_UNSIGNED, stream.next),
    FIELD(4, WIRE_UNSIGNED, stream.end),
    FIELD(5, WIRE_SIGNED, stream.age_us),
    LIST(6, stream.records, &record_layout),
};
static const struct wire_field append_fields[] = {
    FIELD(1, WIRE_UNSIGNED, append.lane),
    FIELD(2, WIRE_UNSIGNED, append.number),
    FIELD(3, WIRE_BOOL, append.priority),
    LIST(4, append.records, &record_layout),
};
static const struct wire_field append_reply_fields[] = {
    FIELD(1, WIRE_UNSIGNED, append_reply.number),
    FIELD(2, WIRE_UNSIGNED, append_reply.result),
    FIELD(3, WIRE_UNSIGNED, append_reply.first_offset),
};
static const struct wire_field subscribe_fields[] = {
    FIELD(1, WIRE_BOOL, subscribe.config),
    FIELD(2, WIRE_UNSIGNED, subscribe.config_from),
    LIST(3, subscribe.lanes, &subscribe_lane_layout),
};
static const struct wire_field drain_fields[] = {
    FIELD(1, WIRE_TEXT, drain.vm),
    FIELD(2, WIRE_BOOL, drain.draining),
};
static const struct wire_field status_fields[] = {
    FIELD(1, WIRE_UNSIGNED, status.config_version),
    FIELD(2, WIRE_BOOL, status.config_maybe_stale),
    FIELD(3, WIRE_BOOL, status.draining),
    FIELD(4, WIRE_UNSIGNED, status.owned_shards),
    FIELD(5, WIRE_UNSIGNED, status.open_calls),
    FIELD(6, WIRE_UNSIGNED, status.backlog_bytes),
};

static const struct wire_field load_fields[] = {
    WIRE_FIELD(struct message_load, 1, WIRE_UNSIGNED, server_hash),
    WIRE_FIELD(struct message_load, 2, WIRE_UNSIGNED, running),
};
static const struct wire_layout load_layout = SPARSE("load", load_fields);

static const struct wire_field cached_prefix_fields[] = {
    WIRE_FIELD(struct message_cached_prefix, 1, WIRE_UNSIGNED, prefix_hash),
    WIRE_FIELD(struct message_cached_prefix, 2, WIRE_UNSIGNED, server_hash),
    WIRE_FIELD(struct message_cached_prefix, 3, WIRE_UNSIGNED, tokens),
};
static const struct wire_layout cached_prefix_layout =
    SPARSE("part", cached_prefix_fields);

static const struct wire_field reachable_gateway_fields[] = {
    WIRE_FIELD(struct message_reachable_gateway, 1, WIRE_UNSIGNED, vm_hash),
};
static const struct wire_layout reachable_gateway_layout =
    SPARSE("heard", reachable_gateway_fields);

#define MEASUREMENT(key, kind, member) \
	WIRE_FIELD(struct message_measurement, key, kind, member)
static const struct wire_field measurement_fields[] = {
    MEASUREMENT(1, WIRE_UNSIGNED, server_hash),
    MEASUREMENT(2, WIRE_UNSIGNED, load),
    MEASUREMENT(3, WIRE_UNSIGNED, uncached_tokens),
    MEASUREMENT(4, WIRE_UNSIGNED, first_us),
    MEASUREMENT(5, WIRE_UNSIGNED, token_ns),
    MEASUREMENT(6, WIRE_UNSIGNED, response_us),
};
static const struct wire_layout measurement_layout =
    SPARSE("measurement", measurement_fields);

static const struct wire_field turn_ref_fields[] = {
    WIRE_FIELD(struct turn_ref, 1, WIRE_TEXT, turn),
    WIRE_FIELD(struct turn_ref, 2, WIRE_UNSIGNED, partition),
    WIRE_FIELD(struct turn_ref, 3, WIRE_UNSIGNED, offset),
    WIRE_FIELD(struct turn_ref, 4, WIRE_UNSIGNED, bytes),
};
static const struct wire_layout turn_ref_layout =
    SPARSE("turn_ref", turn_ref_fields);

#define HISTORY_TURN(key, kind, member) \
	WIRE_FIELD(struct message_history_turn, key, kind, member)
static const struct wire_field history_turn_fields[] = {
    HISTORY_TURN(1, WIRE_TEXT, turn),
    HISTORY_TURN(2, WIRE_TEXT, previous),
    HISTORY_TURN(3, WIRE_UNSIGNED, partition),
    HISTORY_TURN(4, WIRE_UNSIGNED, offset),
    HISTORY_TURN(5, WIRE_UNSIGNED, bytes),
    HISTORY_TURN(6, WIRE_BYTES, input),
    HISTORY_TURN(7, WIRE_BYTES, output),
};
static const struct wire_layout history_turn_layout =
    SPARSE("history_turn", history_turn_fields);

static const struct wire_field gateway_heartbeat_fields[] = {
    FIELD(1, WIRE_TEXT, gateway_heartbeat.self.vm),
    FIELD(2, WIRE_TEXT, gateway_heartbeat.self.address),
    FIELD(3, WIRE_UNSIGNED, gateway_heartbeat.self.port),
    FIELD(4, WIRE_TEXT, gateway_heartbeat.self.peer_address),
    FIELD(5, WIRE_UNSIGNED, gateway_heartbeat.self.peer_port),
    FIELD(6, WIRE_TEXT, gateway_heartbeat.self.failure_domain),
    FIELD(7, WIRE_TEXT, gateway_heartbeat.self.region),
    FIELD(8, WIRE_UNSIGNED, gateway_heartbeat.self.incarnation),
    FIELD(9, WIRE_UNSIGNED, gateway_heartbeat.self.config_version),
    FIELD(11, WIRE_BOOL, gateway_heartbeat.self.draining),
    FIELD(12, WIRE_BOOL, gateway_heartbeat.self.log_unreachable),
    FIELD(20, WIRE_UNSIGNED, gateway_heartbeat.ownership_generation),
    FIELD(21, WIRE_UNSIGNED, gateway_heartbeat.owned_partitions),
    LIST(22, gateway_heartbeat.loads, &load_layout),
    FIELD(23, WIRE_BOOL, gateway_heartbeat.reply_requested),
    LIST(24, gateway_heartbeat.cached_prefixes, &cached_prefix_layout),
    LIST(25, gateway_heartbeat.reachable_gateways, &reachable_gateway_layout),
    FIELD(26, WIRE_UNSIGNED, gateway_heartbeat.relay_port),
    FIELD(27, WIRE_BOOL, gateway_heartbeat.servers_unreachable),
    FIELD(28, WIRE_UNSIGNED, gateway_heartbeat.suspects_digest),
    FIELD(29, WIRE_UNSIGNED, gateway_heartbeat.config_age_us),
    FIELD(40, WIRE_BOOL, gateway_heartbeat.isolated),
    FIELD(60, WIRE_UNSIGNED, gateway_heartbeat.servers_digest),
    FIELD(61, WIRE_SIGNED, gateway_heartbeat.servers_age_us),
    FIELD(32, WIRE_BYTES, gateway_heartbeat.other_domains),
    LIST(33, gateway_heartbeat.measurements, &measurement_layout),
};
static const struct wire_field domain_loads_fields[] = {
    FIELD(1, WIRE_BYTES, domain_loads.sums),
};
static const struct wire_field turn_begin_fields[] = {
    FIELD(1, WIRE_TEXT, turn_begin.turn),
    FIELD(2, WIRE_TEXT, turn_begin.program),
    FIELD(3, WIRE_TEXT, turn_begin.previous),
    FIELD(4, WIRE_BOOL, turn_begin.has_budget),
    FIELD(5, WIRE_UNSIGNED, turn_begin.budget_tokens),
    FIELD(6, WIRE_UNSIGNED, turn_begin.max_tokens),
    FIELD(7, WIRE_SIGNED, turn_begin.remaining_us),
    FIELD(8, WIRE_BOOL, turn_begin.needs_chain),
    FIELD(9, WIRE_TEXT, turn_begin.session),
};
static const struct wire_field turn_begin_reply_fields[] = {
    FIELD(1, WIRE_TEXT, turn_begin_reply.turn),
    FIELD(2, WIRE_UNSIGNED, turn_begin_reply.result),
    FIELD(3, WIRE_UNSIGNED, turn_begin_reply.epoch),
    FIELD(4, WIRE_BOOL, turn_begin_reply.previous_known),
    LIST(5, turn_begin_reply.chain, &turn_ref_layout),
    FIELD(6, WIRE_TEXT, turn_begin_reply.previous_vm),
    FIELD(7, WIRE_TEXT, turn_begin_reply.cache_server),
};
static const struct wire_field turn_end_fields[] = {
    FIELD(1, WIRE_UNSIGNED, turn_end.type),
    FIELD(2, WIRE_TEXT, turn_end.turn),
    FIELD(3, WIRE_TEXT, turn_end.program),
    FIELD(4, WIRE_UNSIGNED, turn_end.epoch),
    FIELD(5, WIRE_UNSIGNED, turn_end.spent_tokens),
    FIELD(6, WIRE_UNSIGNED, turn_end.max_tokens),
    FIELD(7, WIRE_UNSIGNED, turn_end.budget_tokens),
    FIELD(8, WIRE_TEXT, turn_end.previous),
    FIELD(9, WIRE_TEXT, turn_end.server),
    FIELD(10, WIRE_UNSIGNED, turn_end.offset),
    FIELD(11, WIRE_UNSIGNED, turn_end.bytes),
    LIST(12, turn_end.ancestors, &turn_ref_layout),
    FIELD(13, WIRE_TEXT, turn_end.session),
};
static const struct wire_field turn_end_reply_fields[] = {
    FIELD(1, WIRE_TEXT, turn_end_reply.turn),
    FIELD(2, WIRE_BOOL, turn_end_reply.is_owner),
};
static const struct wire_field turn_find_fields[] = {
    FIELD(1, WIRE_TEXT, turn_find.turn),
    FIELD(2, WIRE_UNSIGNED, turn_find.partition),
    FIELD(3, WIRE_BOOL, turn_find.read_log),
};
static const struct wire_field turn_find_reply_fields[] = {
    FIELD(1, WIRE_TEXT, turn_find_reply.turn),
    FIELD(2, WIRE_UNSIGNED, turn_find_reply.partition),
    FIELD(3, WIRE_UNSIGNED, turn_find_reply.result),
    FIELD(4, WIRE_BOOL, turn_find_reply.known),
    LIST(5, turn_find_reply.chain, &turn_ref_layout),
    FIELD(6, WIRE_TEXT, turn_find_reply.previous_vm),
    FIELD(7, WIRE_TEXT, turn_find_reply.cache_server),
};
static const struct wire_field history_get_fields[] = {
    FIELD(1, WIRE_TEXT, history_get.turn),
};
static const struct wire_field history_fields[] = {
    FIELD(1, WIRE_TEXT, history.turn),
    LIST(2, history.turns, &history_turn_layout),
};
static const struct wire_field server_crashed_fields[] = {
    FIELD(1, WIRE_UNSIGNED, server_crashed.fingerprint),
    FIELD(2, WIRE_TEXT, server_crashed.server),
    FIELD(3, WIRE_SIGNED, server_crashed.started_wall_ms),
};
static const struct wire_field gateway_config_fields[] = {
    FIELD(1, WIRE_BYTES, gateway_config.data),
    FIELD(2, WIRE_UNSIGNED, gateway_config.version),
    FIELD(3, WIRE_UNSIGNED, gateway_config.age_us),
    FIELD(4, WIRE_SIGNED, gateway_config.asked_us),
};
static const struct wire_field gateway_config_get_fields[] = {
    FIELD(1, WIRE_UNSIGNED, gateway_config_get.known_version),
    FIELD(2, WIRE_SIGNED, gateway_config_get.asked_us),
};
#define SERVER(key, kind, member) \
	WIRE_FIELD(struct message_server, key, kind, member)
static const struct wire_field server_fields[] = {
    SERVER(1, WIRE_TEXT, id),
    SERVER(2, WIRE_TEXT, service),
    SERVER(3, WIRE_TEXT, address),
    SERVER(4, WIRE_TEXT, failure_domain),
    SERVER(5, WIRE_UNSIGNED, slots),
    SERVER(6, WIRE_BOOL, draining),
    SERVER(7, WIRE_SIGNED, warm_up_us),
    SERVER(8, WIRE_SIGNED, started_wall_ms),
};
static const struct wire_layout server_layout = SPARSE("server", server_fields);

static const struct wire_field servers_fields[] = {
    LIST(1, servers.servers, &server_layout),
    FIELD(2, WIRE_SIGNED, servers.reachable_us),
};
static const struct wire_field store_append_fields[] = {
    FIELD(1, WIRE_UNSIGNED, store_append.number),
    FIELD(2, WIRE_UNSIGNED, store_append.partition),
    LIST(3, store_append.records, &record_layout),
};
static const struct wire_field store_append_reply_fields[] = {
    FIELD(1, WIRE_UNSIGNED, store_append_reply.number),
    FIELD(2, WIRE_BOOL, store_append_reply.ok),
    FIELD(3, WIRE_UNSIGNED, store_append_reply.first_offset),
    FIELD(4, WIRE_BOOL, store_append_reply.rejected),
};

#define LIMIT_FIELDS(limit) \
	FIELD(1, WIRE_UNSIGNED, limit.server_hash), \
	    FIELD(2, WIRE_SIGNED, limit.started_wall_ms), \
	    FIELD(3, WIRE_BOOL, limit.limited), \
	    FIELD(4, WIRE_UNSIGNED, limit.per_1000_s), \
	    FIELD(5, WIRE_SIGNED, limit.age_us)
static const struct wire_field server_limit_fields[] = {
    LIMIT_FIELDS(server_limit),
};
static const struct wire_field permit_get_fields[] = {
    LIMIT_FIELDS(permit_get.limit),
    FIELD(20, WIRE_UNSIGNED, permit_get.number),
    FIELD(21, WIRE_TEXT, permit_get.failure_domain),
    FIELD(22, WIRE_SIGNED, permit_get.max_wait_us),
};
static const struct wire_field permit_fields[] = {
    LIMIT_FIELDS(permit.limit),
    FIELD(20, WIRE_UNSIGNED, permit.number),
    FIELD(21, WIRE_BOOL, permit.granted),
    FIELD(22, WIRE_SIGNED, permit.wait_us),
};

#define CAP_FIELDS(cap) \
	FIELD(1, WIRE_UNSIGNED, cap.version), \
	    FIELD(2, WIRE_UNSIGNED, cap.per_1000_s), \
	    FIELD(3, WIRE_UNSIGNED, cap.burst_1000)
static const struct wire_field cap_get_fields[] = {
    CAP_FIELDS(cap_get.cap),
    FIELD(20, WIRE_UNSIGNED, cap_get.number),
    FIELD(21, WIRE_TEXT, cap_get.workspace),
    FIELD(22, WIRE_UNSIGNED, cap_get.program),
    FIELD(23, WIRE_BOOL, cap_get.has_begun),
    FIELD(24, WIRE_SIGNED, cap_get.max_wait_us),
    FIELD(25, WIRE_UNSIGNED, cap_get.wanted),
    FIELD(26, WIRE_UNSIGNED, cap_get.used),
    FIELD(27, WIRE_BOOL, cap_get.returned),
    FIELD(28, WIRE_BOOL, cap_get.began_program),
};
static const struct wire_field cap_fields[] = {
    CAP_FIELDS(cap.cap),
    FIELD(20, WIRE_UNSIGNED, cap.number),
    FIELD(21, WIRE_UNSIGNED, cap.result),
    FIELD(22, WIRE_SIGNED, cap.wait_us),
    FIELD(23, WIRE_UNSIGNED, cap.leased),
    FIELD(24, WIRE_UNSIGNED, cap.demand_per_1000_s),
    FIELD(25, WIRE_BOOL, cap.began_program),
    FIELD(26, WIRE_UNSIGNED, cap.workspace_hash),
};

#define SUSPECT_CRASH(key, kind, member) \
	WIRE_FIELD(struct message_suspect_crash, key, kind, member)
static const struct wire_field suspect_crash_fields[] = {
    SUSPECT_CRASH(1, WIRE_UNSIGNED, fingerprint),
    SUSPECT_CRASH(2, WIRE_UNSIGNED, epoch),
    SUSPECT_CRASH(3, WIRE_UNSIGNED, round),
    SUSPECT_CRASH(4, WIRE_UNSIGNED, crash),
    SUSPECT_CRASH(5, WIRE_SIGNED, age_us),
};
static const struct wire_layout suspect_crash_layout =
    SPARSE("suspect_crash", suspect_crash_fields);

static const struct wire_field suspects_fields[] = {
    LIST(1, suspects.crashes, &suspect_crash_layout),
    FIELD(2, WIRE_BOOL, suspects.is_reply),
};

#define RUN(key, kind, member) WIRE_FIELD(struct message_run, key, kind, member)
static const struct wire_field run_fields[] = {
    RUN(1, WIRE_UNSIGNED, state),
    RUN(2, WIRE_UNSIGNED, number),
    RUN(3, WIRE_UNSIGNED, vm_hash),
    RUN(4, WIRE_UNSIGNED, fingerprint),
    RUN(5, WIRE_UNSIGNED, epoch),
    RUN(6, WIRE_UNSIGNED, server),
    RUN(7, WIRE_SIGNED, started_wall_ms),
    RUN(8, WIRE_SIGNED, sent_age_us),
    RUN(9, WIRE_SIGNED, ended_age_us),
    RUN(10, WIRE_BOOL, broken),
};
static const struct wire_layout run_layout = SPARSE("run", run_fields);

static const struct wire_field runs_fields[] = {
    FIELD(1, WIRE_UNSIGNED, runs.incarnation),
    LIST(2, runs.runs, &run_layout),
};

/* The names appear in error texts and through message_type_name(). They must
 * not change, even where they differ from the names of the types. */
static const struct wire_layout layouts[] = {
    [MESSAGE_HEARTBEAT] = SPARSE("hello", heartbeat_fields),
    [MESSAGE_VIEW] = SPARSE("view", view_fields),
    [MESSAGE_CONFIG] = SPARSE("config", stream_fields),
    [MESSAGE_APPEND] = SPARSE("append", append_fields),
    [MESSAGE_APPEND_REPLY] = SPARSE("appended", append_reply_fields),
    [MESSAGE_LANE] = SPARSE("lane", stream_fields),
    [MESSAGE_SUBSCRIBE] = SPARSE("want", subscribe_fields),
    [MESSAGE_DRAIN] = SPARSE("drain", drain_fields),
    [MESSAGE_STATUS] = SPARSE("status", status_fields),
    [MESSAGE_GATEWAY_HEARTBEAT] = SPARSE("pulse", gateway_heartbeat_fields),
    [MESSAGE_TURN_BEGIN] = SPARSE("turn_begin", turn_begin_fields),
    [MESSAGE_TURN_BEGIN_REPLY] =
	SPARSE("turn_granted", turn_begin_reply_fields),
    [MESSAGE_TURN_END] = SPARSE("turn_end", turn_end_fields),
    [MESSAGE_TURN_END_REPLY] = SPARSE("turn_ended", turn_end_reply_fields),
    [MESSAGE_TURN_FIND] = SPARSE("turn_find", turn_find_fields),
    [MESSAGE_TURN_FIND_REPLY] = SPARSE("turn_found", turn_find_reply_fields),
    [MESSAGE_HISTORY_GET] = SPARSE("history_get", history_get_fields),
    [MESSAGE_HISTORY] = SPARSE("history", history_fields),
    [MESSAGE_SERVER_CRASHED] = SPARSE("crashed", server_crashed_fields),
    [MESSAGE_GATEWAY_CONFIG] = SPARSE("declared", gateway_config_fields),
    [MESSAGE_STORE_APPEND] = SPARSE("store", store_append_fields),
    [MESSAGE_STORE_APPEND_REPLY] = SPARSE("stored", store_append_reply_fields),
    [MESSAGE_GATEWAY_CONFIG_GET] =
	SPARSE("declared_get", gateway_config_get_fields),
    [MESSAGE_SERVERS_GET] = {"servers_get", NULL, 0, true},
    [MESSAGE_SERVERS] = SPARSE("servers", servers_fields),
    [MESSAGE_SERVER_LIMIT] = SPARSE("server_limit", server_limit_fields),
    [MESSAGE_PERMIT_GET] = SPARSE("permit_get", permit_get_fields),
    [MESSAGE_PERMIT] = SPARSE("permit", permit_fields),
    [MESSAGE_SUSPECTS] = SPARSE("suspects", suspects_fields),
    [MESSAGE_SUSPECTS_GET] = {"suspects_get", NULL, 0, true},
    [MESSAGE_CAP_GET] = SPARSE("cap_get", cap_get_fields),
    [MESSAGE_CAP] = SPARSE("cap", cap_fields),
    [MESSAGE_DOMAIN_LOADS] = SPARSE("domain_loads", domain_loads_fields),
    [MESSAGE_RUNS] = SPARSE("runs", runs_fields),
    [MESSAGE_CONTENT_APPEND] = SPARSE("store_content", store_append_fields),
};

static const struct wire_layout *
layout_of(uint64_t type)
{
	if (type == MESSAGE_NONE ||
	    type >= sizeof(layouts) / sizeof(layouts[0]) ||
	    layouts[type].name == NULL)
		return NULL;
	return &layouts[type];
}

const char *
message_type_name(enum message_type type)
{
	const struct wire_layout *layout = layout_of(type);

	return layout != NULL ? layout->name : "unknown";
}

void
message_encode(const struct message *message, struct buf *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, pack_to_buf);
	msgpack_pack_array(&packer, ENVELOPE_ITEMS);
	msgpack_pack_uint32(&packer, MESSAGE_FORMAT);
	msgpack_pack_uint32(&packer, (uint32_t)message->type);
	msgpack_pack_str_with_body(
	    &packer, message->sender, strlen(message->sender));
	wire_pack(&packer, layout_of(message->type), message);
}

static bool
unpack_sender(const msgpack_object *value, char sender[NAME_BYTES])
{
	if (value->type != MSGPACK_OBJECT_STR || value->via.str.size == 0 ||
	    value->via.str.size >= NAME_BYTES ||
	    memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL)
		return false;
	memcpy(sender, value->via.str.ptr, value->via.str.size);
	return true;
}

static bool
unpack_envelope(
    const msgpack_object *root, struct message *message, struct error *err)
{
	const msgpack_object *parts = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size < ENVELOPE_ITEMS ||
	    parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    !unpack_sender(&parts[2], message->sender))
		return error_set(err, ERROR_INVALID, "not a message envelope");
	if (parts[0].via.u64 == 0 || parts[0].via.u64 > UINT32_MAX ||
	    parts[1].via.u64 == 0 || parts[1].via.u64 > INT32_MAX)
		return error_set(err, ERROR_INVALID, "envelope out of range");
	message->format = (uint32_t)parts[0].via.u64;
	message->type = (enum message_type)parts[1].via.u64;
	return wire_unpack(&parts[3], layout_of(message->type), message, err);
}

bool
message_decode(
    const uint8_t *data, size_t len, struct message *message, struct error *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	memset(message, 0, sizeof(*message));
	ok = pack_unpack(data, len, &unpacked, err) &&
	    unpack_envelope(&unpacked.data, message, err);
	if (!ok)
		message_reset(message);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void
message_reset(struct message *message)
{
	wire_free(layout_of(message->type), message);
}
