"""A stand-in for the platform's store, as PROTOCOL.md describes it.

Topics are partitioned logs. Records expire after `retention_s` and when a
partition holds more than `part_mb`. Keyed topics keep the newest record of
each key. Groups deal partitions to members; a partition that a member no
longer has in its list goes to another one when the member has joined with the
new generation, has left, or has been silent for its ttl.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from http_parts import HttpServer

RESERVED = ("keyed.op", "keyed.servers")


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []  # (time, bytes)
        self.bytes = 0

    @property
    def end(self):
        return self.first + len(self.records)


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}  # name -> {"until", "ttl", "seen"}
        self.topics = []
        self.planned = {}  # (topic, part) -> member
        self.holder = {}  # (topic, part) -> member


class Store:
    def __init__(self, parts=12, retention_s=300, part_mb=200,
                 record_bytes=262144, call_bytes=2097152, answer_s=0.004):
        self.parts = parts
        self.retention_s = retention_s
        self.part_bytes = part_mb << 20
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.answer_s = answer_s
        self.partitions = {}
        self.keyed = {}  # topic -> {key: (offset, value)}
        self.groups = {}
        self.changed = asyncio.Event()
        self.calls = 0

    # The log.

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def expire(self, topic, partition):
        if topic.startswith("keyed."):
            return
        oldest = time.monotonic() - self.retention_s
        drop = 0
        held = partition.bytes
        for at, data in partition.records:
            if at >= oldest and held <= self.part_bytes:
                break
            held -= len(data)
            drop += 1
        if drop:
            del partition.records[:drop]
            partition.first += drop
            partition.bytes = held

    def append(self, topic, part, records):
        partition = self.partition(topic, part)
        self.expire(topic, partition)
        first = partition.end
        now = time.monotonic()
        for data in records:
            if topic.startswith("keyed."):
                size = data[0]
                key, value = data[1:1 + size], data[1 + size:]
                newest = self.keyed.setdefault(topic, {})
                if value:
                    newest[key] = (partition.end, value)
                else:
                    newest.pop(key, None)
            partition.records.append((now, data))
            partition.bytes += len(data)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return first, partition.end

    def put(self, topic, key, value):
        """Writes a keyed record as the operator or a server."""
        key = key.encode()
        self.append(topic, 0, [bytes([len(key)]) + key + value])

    def split(self, body):
        records, at = [], 0
        while at < len(body):
            if at + 4 > len(body):
                return None
            size = struct.unpack_from(">I", body, at)[0]
            at += 4
            if at + size > len(body) or size > self.record_bytes:
                return None
            records.append(body[at:at + size])
            at += size
        if sum(map(len, records)) > self.call_bytes:
            return None
        return records

    async def log_append(self, query, body):
        topic, part = query["topic"], int(query.get("part", 0))
        if topic in RESERVED:
            return 403, {}
        records = self.split(body)
        if records is None:
            return 400, {}
        first, end = self.append(topic, part, records)
        return 200, {"offset": first, "end": end}

    async def log_read(self, query):
        topic, part = query["topic"], int(query.get("part", 0))
        start = int(query.get("from", 0))
        most = int(query.get("maxKb", 1024)) * 1024
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        partition = self.partition(topic, part)
        while partition.end <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        self.expire(topic, partition)
        if start < partition.first:
            return 410, {"first": partition.first}
        out = [struct.pack(">QQ", partition.end, partition.first)]
        size = 0
        for _, data in partition.records[start - partition.first:]:
            if size and size + len(data) + 4 > most:
                break
            out += [struct.pack(">I", len(data)), data]
            size += len(data) + 4
        return 200, b"".join(out)

    async def log_newest(self, query):
        topic = query["topic"]
        after = query.get("after", "").encode()
        newest = self.keyed.get(topic, {})
        items, size = [], 0
        more = False
        for key in sorted(newest):
            if after and key <= after:
                continue
            offset, value = newest[key]
            if len(items) == 500 or (items and size + len(value) > 1 << 20):
                more = True
                break
            items.append({"key": key.decode("utf-8", "replace"),
                          "value": base64.b64encode(value).decode(),
                          "offset": offset})
            size += len(value) + len(key)
        return 200, {"items": items, "hasMore": more,
                     "end": self.partition(topic, 0).end}

    # Groups.

    def plan(self, group):
        """Deals the partitions evenly, with few moves."""
        names = sorted(group.members)
        keys = [(t, p) for t in group.topics for p in range(self.parts)]
        if not names:
            group.planned = {}
            return
        most = -(-len(keys) // len(names))
        least = len(keys) // len(names)
        extra = len(keys) - least * len(names)
        held = {name: [] for name in names}
        rest = []
        for key in keys:
            name = group.planned.get(key)
            if name in held and len(held[name]) < most:
                held[name].append(key)
            else:
                rest.append(key)
        # No more than `extra` members have one more than the others.
        full = [n for n in names if len(held[n]) > least]
        for name in full[extra:]:
            rest.append(held[name].pop())
        for name in names:
            while rest and len(held[name]) < least:
                held[name].append(rest.pop())
        for name in names:
            if rest and len(held[name]) == least:
                held[name].append(rest.pop())
        group.planned = {k: n for n, ks in held.items() for k in ks}

    def refresh(self, group):
        now = time.monotonic()
        gone = [n for n, m in group.members.items() if m["until"] < now]
        for name in gone:
            del group.members[name]
        if gone:
            group.generation += 1
            self.plan(group)
        for key, name in list(group.holder.items()):
            member = group.members.get(name)
            if member is None or (group.planned.get(key) != name and
                                  member["seen"] >= group.generation):
                del group.holder[key]

    async def log_join(self, body):
        ask = json.loads(body)
        group = self.groups.setdefault(ask["group"], Group())
        name, ttl = ask["member"], max(int(ask["ttlMs"]), 1000) / 1000
        self.refresh(group)
        group.topics = list(ask["topics"])
        new = name not in group.members
        member = group.members.setdefault(name, {"seen": 0})
        member["until"] = time.monotonic() + ttl
        member["seen"] = max(member["seen"], int(ask.get("generation", 0)))
        if new:
            member["seen"] = 0
            group.generation += 1
            self.plan(group)
        self.refresh(group)
        parts = []
        for key, planned in sorted(group.planned.items()):
            if planned == name and group.holder.get(key, name) == name:
                group.holder[key] = name
                parts.append([key[0], key[1], 0])
        return 200, {"generation": group.generation,
                     "ttlMs": int(ttl * 1000), "parts": parts}

    async def log_leave(self, body):
        ask = json.loads(body)
        group = self.groups.setdefault(ask["group"], Group())
        if group.members.pop(ask["member"], None) is not None:
            group.generation += 1
            self.plan(group)
        self.refresh(group)
        return 200, {}

    async def log_owners(self, query):
        group = self.groups.setdefault(query["group"], Group())
        self.refresh(group)
        rows = [[t, p, n, 0] for (t, p), n in sorted(group.holder.items())]
        return 200, {"parts": rows}

    # HTTP.

    async def handle(self, request):
        self.calls += 1
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.rpartition("/v1/log-")[2]
        await asyncio.sleep(self.answer_s)
        if name == "append":
            status, answer = await self.log_append(query, request.body)
        elif name == "read":
            status, answer = await self.log_read(query)
        elif name == "newest":
            status, answer = await self.log_newest(query)
        elif name == "owners":
            status, answer = await self.log_owners(query)
        elif name == "join":
            status, answer = await self.log_join(request.body)
        elif name == "leave":
            status, answer = await self.log_leave(request.body)
        elif name in ("trim", "commit"):
            status, answer = 200, {}
        else:
            status, answer = 404, {}
        if isinstance(answer, bytes):
            return status, {"Content-Type": "application/octet-stream"}, answer
        return (status, {"Content-Type": "application/json"},
                json.dumps(answer).encode())

    async def start(self, host, port):
        self.server = HttpServer(self.handle)
        await self.server.start(host, port)
