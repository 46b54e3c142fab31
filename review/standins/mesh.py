"""Stand-ins for a small deployment: the platform's store, instances and clients, and the nodes as real processes.

The store, the instances and the clients run in the event loop of the calling script. Each node is a process of its own,
started with the command and the settings template of the deploy file. Every machine has its own loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 6, "lossSlackMs": 200, "propagationMs": 2000, "rollbackSlackMs": 250, "partitionMs": 5000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10, "budgetSlack": 56, "recoveryS": 15}

HEARTBEAT_S = 1.5
ADMIN, READINESS, INBOUND, OUTBOUND, INSTANCE, PEER, METRICS, STORE = 8144, 8141, 8146, 8147, 8145, 7380, 7395, 8142


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes record.txt: one line with the time since the start for each thing sent, answered, run or done."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        line = f"{self.now():9.3f} {what}" + "".join(f" {key}={value}" for key, value in fields.items())
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


class HttpMessage:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])

    def header(self, name):
        return self.headers.get(name.lower())


async def read_message(reader):
    """Reads one request or response. Returns None at the end of the connection before the first byte."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if head:
                raise ConnectionError("the connection ended in a head")
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return HttpMessage(lines[0], headers, body)


def response(status, body=b"", headers=None, reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


class Server:
    """Accepts connections and keeps them, so that a case can cut or silence them."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.writers = set()
        self._server = None

    async def listen(self):
        self._server = await asyncio.start_server(self._connected, self.address, self.port, reuse_address=True)

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    async def crash(self):
        """Ends like a killed process: the port refuses connections and the open ones are closed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: keys with revisions and leases, transactions and long polls."""

    def __init__(self, address, port, record):
        super().__init__(address, port)
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self._changed = asyncio.Event()
        self.silenced = set()

    def silence_open_connections(self):
        """The open connections return nothing further and are not reset; new ones work."""
        self.silenced |= set(self.writers)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self._notify()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self._notify()

    def _expire_leases(self):
        now = time.monotonic()
        for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease and lease != 0]:
            self.delete(key)

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            method, target, _ = request.start.split(" ", 2)
            path, _, query = target.partition("?")
            values = {key: value[0] for key, value in urllib.parse.parse_qs(query).items()}
            await asyncio.sleep(0.004)
            self._expire_leases()
            answer = await self._answer(method, path, values, request.body)
            if writer in self.silenced:
                await asyncio.Event().wait()
            writer.write(answer)
            await writer.drain()

    async def _answer(self, method, path, values, body):
        if path == "/v1/kv-key":
            item = self.items.get(values["key"])
            if item is None:
                return json_response(404, {"storeRevision": self.revision})
            return json_response(200, {**item, "storeRevision": self.revision})
        if path == "/v1/kv-range":
            found = [self.items[key] for key in sorted(self.items) if key.startswith(values["prefix"])]
            return json_response(200, {"items": found, "morePages": False, "storeRevision": self.revision})
        if path == "/v1/kv-watch":
            return await self._watch(values["prefix"], int(values["after"]), int(values["waitMs"]) / 1000)
        if path == "/v1/kv-txn":
            return self._transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return json_response(200, {"lease": self.next_lease, "ttlMs": ttl})
        lease = int(path.rpartition("/")[2]) if path.rpartition("/")[2].isdigit() else 0
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return json_response(404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return json_response(200, {"ttlMs": ttl})
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            self._end_lease(lease)
            return json_response(200, {})
        return json_response(400, {})

    async def _watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            found = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return json_response(200, {"events": found, "storeRevision": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body):
        for row in body.get("expectedRevision", []):
            current = self.items.get(row["key"], {"revision": 0})["revision"]
            if current != row["revision"]:
                keys = [row["key"] for row in body["expectedRevision"]]
                return json_response(412, {"items": [self.items[key] for key in keys if key in self.items]})
        for write in body.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return json_response(404, {})
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return json_response(200, {"revision": self.revision})


class Instance(Server):
    """An instance beside a node. It has slots, a queue, heartbeats, and a drain like the platform's instances."""

    crash_downtime_s = 2.0

    def __init__(self, machine, service, record, work_s=0.02, slots=9, zone=None, port=INSTANCE):
        super().__init__(machine.ip, port)
        self.machine = machine
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = 36
        self.zone = zone or machine.zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.running = 0
        self.waiting = 0
        self.crashes_on = None
        self.on_run = None
        self.padding = 0
        self._slot = asyncio.Semaphore(slots)
        self._beats = None
        self._restart = None

    def heartbeat(self, **changes):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}
        return {**body, **changes}

    async def call(self, call, body, name=None):
        target = f"/v1/rpc?call={call}&of={name or self.id}"
        answer = await self.machine.admin("POST", target, json.dumps(body).encode())
        return answer.status if answer else None

    async def start(self):
        await self.listen()
        self.record.add("instance started", id=self.id, service=self.service, machine=self.machine.name)
        self.resume_heartbeats()

    def resume_heartbeats(self):
        self._beats = asyncio.create_task(self._beat())

    def stop_heartbeats(self):
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def _beat(self):
        while True:
            await self.call("instances.heartbeat", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def crash_and_restart(self, after_s=None):
        """The process ends without a word. With after_s, a new incarnation starts at the address."""
        self.stop_heartbeats()
        self.record.add("instance crashed", id=self.id, machine=self.machine.name)
        await self.crash()
        if after_s is not None:
            await asyncio.sleep(after_s)
            self.id = f"i-{random.getrandbits(32):08x}"
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.running = self.waiting = 0
            self._slot = asyncio.Semaphore(self.slots)
            await self.start()

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            writer.write(await self._run(request))
            await writer.drain()

    async def _run(self, request):
        rid = request.header("request-id")
        echo = {"Request-Id": rid, "Instance-Load": f"{self.running},{self.waiting},{self.slots}"}
        if rid is None:
            return response(400, b"", {"Not-Executed": "1"})
        expected = request.header("expected-instance")
        if expected is not None and expected != self.id:
            return response(421, b"", {**echo, "Instance-Id": self.id})
        if self.waiting >= self.queue:
            return response(503, b"", {**echo, "Not-Executed": "1"})
        deadline = time.monotonic() + int(request.header("deadline-ms") or 60000) / 1000
        self.waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return response(503, b"", {**echo, "Not-Executed": "1"})
            self.running += 1
            method, target, _ = request.start.split(" ", 2)
            run = {"at": self.record.now(), "request": rid, "method": method, "target": target, "instance": self.id,
                   "service": self.service, "caller": request.header("caller-service")}
            self.runs.append(run)
            self.record.add("run", **{key: value for key, value in run.items() if key != "at"})
            if self.crashes_on is not None and self.crashes_on in target:
                self._restart = asyncio.create_task(self.crash_and_restart(self.crash_downtime_s))
                await asyncio.sleep(3600)
            if self.on_run is not None:
                await self.on_run(self, run)
            else:
                await asyncio.sleep(self.work_s)
            run["ended"] = self.record.now()
            self.record.add("run ended", request=rid, instance=self.id)
            body = f"{self.service} {self.id} {target} {rid}\n".encode() + b"." * self.padding
            return response(200, body, {**echo, "Response-Signature": f"sig.{self.id}.{rid}"}, "OK")
        finally:
            self.running = max(self.running - 1, 0)
            self._slot.release()


class Machine:
    """A machine with its node process."""

    def __init__(self, mesh, index, zone, service):
        self.mesh = mesh
        self.name = f"sidecar-{zone}-{index}"
        self.index = index
        self.ip = f"{mesh.block}.{10 + index}"
        self.zone = zone
        self.service = service
        self.process = None
        self.started_at = None
        self.disturbed_at = None
        self._file = mesh.folder / f"node-{index}.json"

    def write_settings(self):
        fields = self.mesh.settings_fields(self)
        self._file.write_text(render(self.mesh.template, fields), encoding="utf-8")

    async def start(self):
        self.write_settings()
        program, *arguments = self.mesh.run_line.split(" ")
        arguments = [str(self._file) if it == "/etc/hornbeamring/node.json" else it for it in arguments]
        log = open(self.mesh.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *arguments, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": os.environ.get("LANG", "C"),
                 "HORNBEAMRING_NODE_FILE": str(self._file)})
        log.close()
        self.started_at = self.disturbed_at = self.mesh.record.now()
        self.mesh.record.add("node started", machine=self.name, pid=self.process.pid)

    def signal(self, number):
        self.disturbed_at = self.mesh.record.now()
        self.mesh.record.add("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self, grace_s=BOUNDS["graceS"]):
        """A planned stop: SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.mesh.record.add("node ended", machine=self.name, status=self.process.returncode)
        return self.process.returncode

    def in_touch(self):
        """No start, signal or end of the process in the last contactMs."""
        alive = self.process is not None and self.process.returncode is None
        return alive and self.mesh.record.now() - self.disturbed_at >= BOUNDS["contactMs"] / 1000

    async def admin(self, method, target, body=b"", port=ADMIN, timeout=1.0):
        """A call to the node's own interface. Returns None without a response in time."""
        request = (f"{method} {target} HTTP/1.1\r\nHost: {self.ip}\r\nContent-Type: application/json\r\n"
                   f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode("latin-1") + body
        try:
            return await asyncio.wait_for(exchange(self.ip, port, request), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None

    async def ready(self):
        answer = await self.admin("GET", "/v1/ready", port=READINESS)
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout=15.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.ready():
                self.mesh.record.add("node ready", machine=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after {timeout} s")


async def exchange(address, port, request, local=None):
    """Sends a request on a new connection and reads one response."""
    reader, writer = await asyncio.open_connection(address, port, local_addr=(local, 0) if local else None)
    try:
        writer.write(request)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


class Mesh:
    """A small deployment: machines in zones, one instance beside each node, one store."""

    def __init__(self, folder, layout):
        """layout has the zone and the service of each machine."""
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block = free_block()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["node"]
        self.run_line = role["run"]
        self.template = (ROOT / role["template"]).read_text(encoding="utf-8")
        if not (ROOT / self.run_line.split(" ")[0]).exists():
            raise CannotRun("build the programs with the build line of deploy/system.toml first")
        self.store_address = f"{self.block}.2"
        self.store = Store(self.store_address, STORE, self.record)
        self.machines = [Machine(self, i, zone, service) for i, (zone, service) in enumerate(layout)]
        self.instances = {}
        self.zones = {zone: "fi-south" for zone, _ in layout}
        self.link_mbps = 1000.0

    def settings_fields(self, machine):
        return {
            "nodeId": machine.name, "role": "node", "machineClass": "sidecar", "serves": ["sidecar"],
            "ip": machine.ip, "zone": machine.zone, "region": "fi-south", "countsAsLoss": False, "bootstrap": True,
            "dataDir": None, "upstream": f"{machine.ip}:{INSTANCE}", "service": machine.service,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": self.link_mbps,
                       "diskMb": 0},
            "listen": {"inbound": f"{machine.ip}:{INBOUND}", "outbound": f"{machine.ip}:{OUTBOUND}",
                       "readiness": f"{machine.ip}:{READINESS}", "admin": f"{machine.ip}:{ADMIN}"},
            "internalPorts": [PEER, METRICS], "seeds": [], "zones": self.zones,
            "platform": {"address": f"{self.store_address}:{STORE}", "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
        }

    async def start(self, work_s=0.02, slots=9):
        await self.store.listen()
        await asyncio.gather(*(machine.start() for machine in self.machines))
        for machine in self.machines:
            instance = Instance(machine, machine.service, self.record, work_s=work_s, slots=slots)
            self.instances[machine] = instance
            await instance.start()
        await asyncio.gather(*(machine.wait_ready() for machine in self.machines))

    def confirm(self, config):
        """The operator writes a configuration. Returns the time of the store's acknowledgement."""
        self.store.put("op/config", json.dumps(config).encode())
        at = self.record.now()
        self.record.add("configuration acknowledged", version=config["version"],
                        routes=",".join(path["prefix"] for host in config["virtualHosts"] for path in host["paths"]))
        return at

    async def request(self, machine, method, path, deadline_ms=1500, body=b"", host="rota.example", timeout=None,
                      rid=None, leave_after=None):
        """A client on the machine sends one request on a new connection. Returns its status, or a text."""
        rid = rid or f"{random.getrandbits(64):016x}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {rid}\r\nDeadline-Ms: {deadline_ms}\r\n")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        sent = self.record.now()
        in_touch = machine.in_touch()
        self.record.add("sent", request=rid, machine=machine.name, method=method, path=path, inTouch=in_touch)
        status, answer = "no answer", None
        try:
            limit = leave_after if leave_after is not None else (timeout or deadline_ms / 1000 + 1)
            answer = await asyncio.wait_for(exchange(machine.ip, OUTBOUND, (head + "\r\n").encode() + body), limit)
            status = answer.status if answer else "closed"
        except asyncio.TimeoutError:
            status = "left" if leave_after is not None else "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            status = f"{type(error).__name__}"
        self.record.add("answered" if answer else "unanswered", request=rid, machine=machine.name, status=status)
        return {"id": rid, "sent": sent, "ended": self.record.now(), "status": status, "answer": answer,
                "in_touch": in_touch, "machine": machine, "path": path}

    async def close(self):
        for instance in self.instances.values():
            instance.stop_heartbeats()
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for server in [self.store, *self.instances.values()]:
            await server.crash()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs: {self.folder}", file=sys.stderr)
        self.record.close()


def free_block():
    """Three bytes of a loopback address whose ports are free."""
    for _ in range(100):
        block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (ADMIN, READINESS, INBOUND, OUTBOUND, INSTANCE, PEER, METRICS, STORE):
                with socket.socket() as probe:
                    probe.bind((f"{block}.10", port))
            return block
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """The placeholders that the project's template uses: {{name}} and {{name|json}}."""
    def value_of(match):
        value = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value_of, template)


def route(name, prefix, service, kind="idempotent", timeout_ms=800, latency_ms=400, priority=1, attempts=2):
    return {"name": name, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": latency_ms,
            "priority": priority, "service": service, "attempts": attempts}


def configuration(number, services, routes, host="rota.example"):
    return {"version": f"r{number}",
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": host, "paths": routes}]}


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, layout, folder):
    """Runs a case and exits with 1 if it returns a list of violations that is not empty, 0 if empty, 2 if it cannot run."""

    async def run():
        mesh = Mesh(folder, layout)
        try:
            violations = await asyncio.wait_for(case(mesh), 110)
            for violation in violations[:20]:
                mesh.record.add("VIOLATION", text=violation)
                print(violation)
            verdict = "broken" if violations else "held"
            mesh.record.add("verdict", rule=verdict, violations=len(violations))
            print(f"rule {verdict}: {len(violations)} violations, trouble {'on' if with_trouble() else 'off'}")
            return 1 if violations else 0
        finally:
            await mesh.close()

    try:
        status = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"cannot run: {error!r}")
        status = 2
    sys.exit(status)
