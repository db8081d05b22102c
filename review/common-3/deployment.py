"""Starts gateways as the deploy file does, on loopback addresses.

Each gateway gets an address of its own in 127.0.0.0/8, and its settings are
deploy/gateway.ini filled in with the values of a small deployment.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http_parts import Client
from platform_store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


started = []  # all processes


class CannotRun(Exception):
    pass


class Record:
    """record.txt of the case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def note(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.started, text)
        print(line, file=self.file, flush=True)

    def tell(self, text):
        self.note(text)
        print(text, flush=True)


# A machine of a small deployment, in the fields of DEPLOY.md.
FIELDS = {
    "zones": {"ro-nord-a": "ro-nord", "ro-sud-a": "ro-sud",
              "eu-vest-a": "eu-vest"},
    "bounds.drainMs": 2500,
    "bounds.configApplyMs": 2500,
    "bounds.graceS": 8,
    "limits.memoryMb": 130,
    "platform.parts": 12,
    "platform.recordBytes": 262144,
    "platform.callBytes": 2097152,
    "platform.ttlMinMs": 1000,
}


def fill(template, fields):
    def section(match):
        return "".join(
            match.group(2).replace("{{@}}", key).replace("{{.}}", value)
            for key, value in fields[match.group(1)].items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(fields.get(match.group(1), "")), text)


class Gateway:
    def __init__(self, deployment, number, zone, fields):
        ip = deployment.address()
        ports = deployment.ports
        self.deployment = deployment
        self.name = "edge-%s-%d" % (zone, number)
        self.fields = dict(FIELDS, **fields)
        self.fields.update({
            "nodeName": self.name,
            "zone": zone,
            "region": self.fields["zones"][zone],
            "ip": ip,
            "listen.http": "%s:%d" % (ip, ports["http"]),
            "listen.readiness": "%s:%d" % (ip, ports["readiness"]),
            "listen.control": "%s:%d" % (ip, ports["control"]),
            "listen.directory": "%s:%d" % (ip, ports["directory"]),
            "portRange.0": ports["relay"],
            "platform.address": deployment.store_address,
        })
        self.callers = self.fields["listen.http"]
        self.process = None
        self.starts = 0

    def start(self):
        deploy = self.deployment
        self.fields["seeds"] = ",".join(
            gateway.fields["listen.control"]
            for gateway in deploy.gateways[:3])
        path = os.path.join(deploy.folder, self.name + ".conf")
        with open(os.path.join(ROOT, "deploy", "gateway.ini")) as template:
            text = fill(template.read(), self.fields)
        with open(path, "w") as settings:
            settings.write(text)
        self.starts += 1
        log = open(os.path.join(
            deploy.folder, "%s.%d.log" % (self.name, self.starts)), "w")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/guavakeel/guavakeel"), "gateway",
             path], stdout=log, stderr=subprocess.STDOUT, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "GUAVAKEEL_BOOT": path})
        started.append(self.process)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        client = Client(self.fields["listen.readiness"])
        answer = await client.request("GET", "/v1/readyz",
                                      {"Host": "readiness"}, timeout=0.5)
        client.close()
        return answer.status == 200


def free_ports(host, names):
    """Returns a free port for each name; all machines use the same ones."""
    ports = {}
    while len(ports) < len(names):
        port = random.randint(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if port not in ports.values():
            ports[names[len(ports)]] = port
    return ports


class Deployment:
    def __init__(self, record, **store_options):
        self.record = record
        self.gateways = []
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.net = "127.%d.%d" % (random.randint(10, 250),
                                  random.randint(1, 250))
        self.used = 9
        self.store = Store(**store_options)
        self.ports = free_ports(self.net + ".9", (
            "http", "readiness", "control", "directory", "relay", "store",
            "server"))
        self.store_address = "%s:%d" % (self.address(), self.ports["store"])
        self.version = 0

    def address(self):
        self.used += 1
        return "%s.%d" % (self.net, self.used)

    async def start_store(self):
        host, port = self.store_address.split(":")
        await self.store.start(host, int(port))

    def add_gateway(self, zone, **fields):
        gateway = Gateway(self, len(self.gateways) + 1, zone, fields)
        self.gateways.append(gateway)
        return gateway

    def publish(self, routes, services, **more):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": services,
                  "limits": {"maxHeaderBytes": 16384,
                             "maxBodyBytes": 4194304,
                             "headerTimeoutMs": 3000,
                             "idleTimeoutMs": 15000}}
        config.update(more)
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def wait_ready(self, gateways=None, seconds=10):
        until = time.monotonic() + seconds
        for gateway in gateways or self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until or not gateway.is_running():
                    raise CannotRun(gateway.name + " is not ready")
                await asyncio.sleep(0.1)

    async def restart_in_turn(self, grace_s=8):
        """Planned work: each gateway gets a SIGTERM and starts again when it
        has ended, one after the other."""
        for gateway in self.gateways:
            self.record.tell("SIGTERM to " + gateway.name)
            gateway.signal(signal.SIGTERM)
            until = time.monotonic() + grace_s
            while gateway.is_running() and time.monotonic() < until:
                await asyncio.sleep(0.05)
            gateway.kill()
            gateway.start()
            await self.wait_ready([gateway])

    def stop(self):
        for gateway in self.gateways:
            gateway.kill()
        if "KEEP_LOGS" in os.environ:
            print("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Server:
    """A backend server that registers itself; a case gives its connections to
    a function of its own."""

    def __init__(self, deployment, service, zone, serve, slots=6):
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.serve = serve
        self.slots = slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.host = deployment.address()
        self.port = deployment.ports["server"]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.tasks = []

    async def start(self, sock=None):
        if sock is not None:
            self.server = await asyncio.start_server(
                self.handle, sock=sock, limit=1 << 16)
        else:
            self.server = await asyncio.start_server(
                self.handle, self.host, self.port, backlog=256, limit=1 << 16)
        self.tasks.append(asyncio.ensure_future(self.register()))

    async def handle(self, reader, writer):
        try:
            await self.serve(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def register(self):
        while True:
            self.sequence += 1
            self.deployment.store.put("keyed.servers", self.id, json.dumps({
                "service": self.service, "address": "%s:%d" % (self.host, self.port),
                "zone": self.zone, "version": "v1", "maxBatch": self.slots,
                "state": "ready", "coldLeftMs": 0, "born": self.born,
                "sequence": self.sequence}).encode())
            await asyncio.sleep(1.2)

    def proof(self, request_id):
        return {"Request-Id": request_id,
                "Response-Signature": "%s.%s" % (self.id, request_id)}


_next_id = [random.getrandbits(40) << 20]


def new_id():
    _next_id[0] += 1
    return "%016x" % _next_id[0]


def run_case(main, folder):
    """Runs a case and exits with 0, 1 or 2. All else than a broken or kept rule
    is a 2: the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record.tell("trouble: %s" % ("yes" if trouble() else "no"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main(record))
    except SystemExit:
        record.tell("the case was ended from outside")
        code = 2
    except Exception as err:
        record.tell("the case can't run: %s: %s" % (type(err).__name__, err))
        code = 2
    for process in started:
        if process.poll() is None:
            process.kill()
            process.wait()
    record.tell("exit: %d" % code)
    sys.stdout.flush()
    os._exit(code)
