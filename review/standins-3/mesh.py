"""Stand-ins of the platform's store, of instances and of clients, and a runner of hornbeamd processes.

They follow PROTOCOL.md. Everything runs in one asyncio loop; only hornbeamd runs as separate processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "hornbeamd")
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 6, "propagationMs": 2000, "budgetSlack": 56,
          "retryBudgetRatio": 0.2, "lossSlackMs": 200}


def trouble():
    """Whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers (lower-case names), or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Platform:
    """The platform's key-value store: linearizable, with leases and long polls."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 10
        self.next_lease = 700
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def text(self, key):
        """The value of a key as text; empty if there is none."""
        return base64.b64decode(self.items[key]["value"]).decode() if key in self.items else ""

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [it for it, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [it for it, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                self.expire()
                method, target, _ = head[0].split(" ")
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        parts = url.path.split("/")
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (
                404, {"storeRevision": self.revision})
        if url.path == "/v1/kv-range":
            keys = sorted(it for it in self.items if it.startswith(query["prefix"]) and it > query.get("after", ""))
            return 200, {"items": [self.items[it] for it in keys], "morePages": False, "storeRevision": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        if url.path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if url.path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(parts[-1]) if parts[-1].isdigit() else 0
        if url.path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if url.path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [it for it in self.history if it["revision"] > after and it["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        rows = body.get("expectedRevision", [])
        current = {row["key"]: self.items.get(row["key"], {}).get("revision", 0) for row in rows}
        if any(current[row["key"]] != row["revision"] for row in rows):
            return 412, {"items": [self.items[it] for it in current if it in self.items]}
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in body.get("writes", [])):
            return 404, {}
        for it in body.get("writes", []):
            self.put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def settings(ip, zone, service, store, link_mbps, rollouts):
    """The settings file as deploy/hornbeamd.json makes it for one machine of a small deployment."""
    limits = {"rollout": {"canaryShare": 0.1, "canarySlack": 50, "rollbackMs": 5000}} if rollouts else {}
    return {**limits, "environment": "platform", "node": {"zone": zone, "region": "region", "targetService": service},
            "traffic": {"listen": f"{ip}:8147", "relayListen": f"{ip}:8146", "threads": 1, "maxConnections": 3000,
                        "idleTimeoutMs": 60000, "stopGraceSeconds": BOUNDS["graceS"], "stopNoticeMs": 2500,
                        "slowStartMs": 3000, "linkMegabitsPerSecond": link_mbps,
                        "retryBudgetRatio": BOUNDS["retryBudgetRatio"], "retryBudgetReserve": BOUNDS["budgetSlack"]},
            "admin": {"listen": f"{ip}:8144", "healthListen": f"{ip}:8141", "metricsListen": f"{ip}:7395"},
            "peer": {"listen": f"{ip}:7380"}, "store": {"endpoints": [store], "requestTimeoutMs": 1000},
            "log": {"level": "info"}}


class Node:
    """A hornbeamd process on a machine of its own, that is a loopback address."""

    def __init__(self, mesh, ip, zone, service):
        self.mesh = mesh
        self.ip = ip
        self.file = os.path.join(mesh.folder, ip + ".json")
        self.log = os.path.join(mesh.folder, ip + ".log")
        self.process = None
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(settings(ip, zone, service, f"{mesh.platform.address}:{mesh.platform.port}",
                               mesh.link_mbps, mesh.rollouts), out)

    async def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(PROGRAM, "--settings", self.file, stdout=log,
                                                                stderr=log, cwd=ROOT)
        self.mesh.record.line(f"node {self.ip} starts")

    async def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.mesh.record.line(f"node {self.ip} gets {signal.Signals(number).name}")
            self.process.send_signal(number)
            await self.process.wait()

    async def ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ip, 8141, "GET", "/v1/ready"), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer[0] == 200


async def call(ip, port, method, path, body=b"", headers=None):
    """Sends one request on a connection of its own; returns status, headers and body, or None without an answer."""
    reader, writer = await asyncio.open_connection(ip, port, local_addr=(ip, 0))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Returns status, headers and body of the next answer, or None if it is missing or incomplete."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return int(head[0].split(" ")[1]), head[1], body


class Instance:
    """An application instance: runs `capacity` requests at a time, announces itself to the node of its machine."""

    def __init__(self, mesh, node, service, name, zone, capacity=9):
        self.mesh = mesh
        self.node = node
        self.service = service
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.version = "v1"
        self.bad = 0  # If it is not 0, all answers but each so many-th are failures.
        self.work = 0.05
        self.size = 1500
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.arrived = {}  # Request id: times of arrival.
        self.completed = set()
        self.server = None
        self.beats = None
        self.silent_beats = False

    async def start(self, announce=True):
        self.server = await asyncio.start_server(self.serve, self.node.ip, 8145)
        if announce:
            self.announce()

    def announce(self):
        """The start of the instance, as far as anyone else can see."""
        self.born = int(time.time() * 1000)
        self.beats = asyncio.create_task(self.beat_forever())

    def beat_body(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"{self.node.ip}:8145", "zone": self.zone,
                           "version": self.version, "capacity": self.capacity, "state": self.state, "warmupLeftMs": 0,
                           "sequence": self.sequence, "born": self.born}).encode()

    async def tell(self, what, body):
        """Sends a heartbeat or a deregistration; returns whether it was acknowledged within a second."""
        path = f"/v1/rpc?call=instances.{what}&of={self.name}"
        try:
            answer = await asyncio.wait_for(call(self.node.ip, 8144, "POST", path, body), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and 200 <= answer[0] < 300

    async def beat_forever(self):
        await asyncio.sleep(random.uniform(0, 1.5))
        while True:
            if not self.silent_beats:
                await self.tell("heartbeat", self.beat_body())
            await asyncio.sleep(1.5)

    async def leave(self):
        """Deregisters without reporting `draining` first; the instance goes on serving. Returns the time of the ack."""
        self.silent_beats = True
        while not await self.tell("deregister", json.dumps({"born": self.born}).encode()):
            await asyncio.sleep(0.1)
        return self.mesh.record.now()

    async def end(self):
        """Deregisters and stops at once, without draining."""
        await self.leave()
        self.server.close()
        self.mesh.record.line(f"{self.name} has ended")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.respond(head, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, head, body, writer):
        request = head[1].get("request-id", "")
        record = self.mesh.record
        if head[0].startswith("GET /health"):
            writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if head[1].get("expected-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.name}\r\nRequest-Id: {request}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        if self.running >= self.capacity:
            writer.write(f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {request}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.running += 1
        self.arrived.setdefault(request, []).append(record.now())
        record.line(f"{self.name} runs {request} {head[0].split(' ')[1]}")
        try:
            await asyncio.sleep(self.work)
            answer = (request + "|").encode() * (self.size // (len(request) + 1) + 1)
            failed = self.bad and len(self.arrived) % self.bad
            if failed:
                self.mesh.failures.add(request)
            status = "500 Internal Server Error" if failed else "200 OK"
            text = (f"HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nResponse-Signature: s.{request}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer
            writer.write(text)
            await writer.drain()
            self.completed.add(request)
        finally:
            self.running -= 1
        return True


class Mesh:
    """The platform, the nodes and the instances of one case."""

    def __init__(self, folder, case):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="hornbeam-review-")
        self.network = f"127.{80 + case}.{1 + os.getpid() % 200}"
        self.platform = Platform(self.record, f"{self.network}.1")
        self.link_mbps = 1000.0
        self.rollouts = False
        self.failures = set()  # Ids of requests that instances answered with a failure.
        self.nodes = []
        self.instances = []

    async def start(self, machines, config, later=()):
        """
        `machines`: zone, service and name of each instance; `later`: those that do not announce themselves yet.
        Returns whether all nodes are ready in time.
        """
        await self.platform.start()
        self.platform.put("op/config", json.dumps(config).encode())
        for n, (zone, service, name) in enumerate(machines):
            node = Node(self, f"{self.network}.{10 + n}", zone, service)
            self.nodes.append(node)
            self.instances.append(Instance(self, node, service, name, zone))
            await node.start()
        for instance in self.instances:
            await instance.start(instance.name not in later)
        return await self.all_ready(10, 3)

    async def all_ready(self, seconds, further):
        """Waits until all nodes are ready, and `further` seconds more. False if they are not ready in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await node.ready() for node in self.nodes]):
                await asyncio.sleep(further)
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for instance in self.instances:
            if instance.beats is not None:
                instance.beats.cancel()
        for node in self.nodes:
            await node.kill()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, services, routes):
    """`routes`: name, prefix, kind, service, timeoutMs, targetLatencyMs and priority of each."""
    paths = [{"name": name, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
              "priority": priority, "service": service, "attempts": 2}
             for name, prefix, kind, service, timeout, aim, priority in routes]
    return {"version": f"r{version}",
            "services": [{"name": it, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
                         for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": "mesh.example", "paths": paths}]}


async def ask(node, method, path, request, deadline_ms, body=b""):
    """Sends one request to the node of its machine on a new connection; returns its status, 0 without an answer."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(node.ip, 8147, local_addr=(node.ip, 0)), 1)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        writer.write(request_text(method, path, request, deadline_ms, body))
        answer = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError):
        answer = None
    finally:
        writer.close()
    return answer[0] if answer else 0


def request_text(method, path, request, deadline_ms, body=b""):
    text = (f"{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {request}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n")
    if body or method != "GET":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


def main(folder, case, play):
    """Runs `play(mesh)`, which returns whether the rule held, or None if the case could not run."""
    async def run():
        mesh = Mesh(folder, case)
        try:
            return await asyncio.wait_for(play(mesh), 110)
        except (asyncio.TimeoutError, OSError) as error:
            mesh.record.line(f"the case could not run: {error!r}")
            return None
        finally:
            await mesh.stop()

    if not os.path.exists(PROGRAM):
        print("the release build is missing")
        raise SystemExit(2)
    held = asyncio.run(run())
    raise SystemExit(2 if held is None else 0 if held else 1)
