"""Stand-ins for a small deployment: the platform's store, instances and clients, and a launcher of the nodes.

Every address is a loopback address. The nodes are started with the `run` line and the template of the deploy file.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 6, "lossSlackMs": 200, "propagationMs": 2000, "rollbackSlackMs": 250, "partitionMs": 5000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10, "budgetSlack": 64, "recoveryS": 15}


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


# The platform's store ------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: items, conditional writes, leases and watches."""

    def __init__(self, address, record):
        self.record = record
        self.mode = "up"  # up; silent: nothing is read or answered; busy: every call gets 503.
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                if store.mode == "silent":
                    while store.mode == "silent":
                        time.sleep(0.05)
                    # A connection on which an answer was lost returns nothing further.
                    self.close_connection = True
                    return
                status, answer = (503, {}) if store.mode == "busy" else store.handle(self.command, self.path, body)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = handle_any

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = parts.path
        with self.changed:
            self.expire()
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, storeRevision=self.revision)) if item else (404, {})
            if path == "/v1/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys], "morePages": False,
                             "storeRevision": self.revision}
            if path == "/v1/kv-watch":
                return self.watch(query)
            if path == "/v1/kv-txn":
                return self.transaction(json.loads(body))
            if path == "/v1/kv-lease":
                self.next_lease += 1
                ttl = json.loads(body)["ttlMs"]
                self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
            if path.startswith("/v1/kv-keep/"):
                lease = self.leases.get(int(path.rsplit("/", 1)[1]))
                if not lease:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0] / 1000
                return 200, {"ttlMs": lease[0]}
            if path.startswith("/v1/kv-lease-end/"):
                self.end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
        return 404, {}

    def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0 or self.mode != "up":
                return 200, {"events": events, "storeRevision": self.revision}
            self.changed.wait(min(left, 0.2))

    def transaction(self, body):
        for row in body["expectedRevision"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[r["key"]] for r in body["expectedRevision"] if r["key"] in self.items]
                return 412, {"items": found}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for write in body["writes"]:
            self.put(write["key"], write["value"], write.get("lease", 0))
        for key in body["remove"]:
            self.delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}

    def put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    def expire(self):
        for lease in [i for i, it in self.leases.items() if it[1] <= time.monotonic()]:
            self.end_lease(lease)

    def operator_writes(self, key, document):
        """The operator's write; the return is its acknowledgement."""
        with self.changed:
            self.revision += 1
            self.put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
            self.changed.notify_all()
        self.record.write(f"operator wrote {key} {document.get('version', '')}")

    def text_of(self, key):
        with self.changed:
            item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None


# Machines ------------------------------------------------------------------------------------------------------------


class Machine:
    """The addresses of one machine. Ports are the same on all machines."""

    def __init__(self, ip, zone, service, ports):
        self.ip = ip
        self.zone = zone
        self.service = service
        self.instance = (ip, ports["instance"])
        self.listen = {name: f"{ip}:{ports[name]}" for name in ("inbound", "outbound", "readiness", "admin")}
        self.outbound = (ip, ports["outbound"])
        self.admin = (ip, ports["admin"])
        self.readiness = (ip, ports["readiness"])
        self.internal = [ports["internal"], ports["internal"] + 15]


class Node:
    """One hornbeamd process, started as the deploy file says."""

    def __init__(self, lab, machine):
        self.lab = lab
        self.machine = machine
        self.process = None
        self.folder = os.path.join(lab.folder, machine.ip)
        os.makedirs(self.folder, exist_ok=True)

    def start(self):
        settings = os.path.join(self.folder, "node.json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.lab.render(self.machine))
        command = [settings if it.endswith("/node.json") else it for it in self.lab.run_line.split()]
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{self.lab.run_line.split()[0]} is missing: run the build of the deploy file first")
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.lab.record.write(f"node {self.machine.ip} started, process {self.process.pid}")
        return self.process

    def log_text(self):
        with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def send(self, number):
        self.lab.record.write(f"node {self.machine.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.send(signal.SIGKILL)
            self.process.wait()

    def ready(self):
        try:
            return exchange(self.machine.readiness, request("GET", "/v1/ready", "node"), 1).status == 200
        except (OSError, NoAnswer):
            return False


class Lab:
    """A small deployment: folder, addresses, store and nodes."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="hornbeam-review-")
        self.nodes = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        self.run_line = role["run"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        names = ("instance", "inbound", "outbound", "readiness", "admin", "store")
        # Below the range from which the kernel takes the ports of outgoing connections.
        base = random.randrange(12000, 30000, 64)
        self.ports = {name: base + i for i, name in enumerate(names)}
        self.ports["internal"] = base + 32
        self.store = Store((f"{self.net}.1", self.ports["store"]), self.record)
        self.fields = {}

    def machine(self, number, zone, service):
        return Machine(f"{self.net}.{number}", zone, service, self.ports)

    def node(self, machine):
        node = Node(self, machine)
        self.nodes.append(node)
        return node

    def render(self, machine):
        values = {"zone": machine.zone, "region": "south", "service": machine.service, "ip": machine.ip,
                  "listen": machine.listen, "internalPorts": machine.internal, "bounds": BOUNDS,
                  "limits": {"linkMbps": 1000.0},
                  "platform": {"address": f"{self.net}.1:{self.ports['store']}"}, **self.fields}

        def lookup(name):
            value = values
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                else:
                    value = value.get(part) if isinstance(value, dict) else None
                if value is None:
                    return None
            return value

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if lookup(m[1]) else "", self.template,
                      flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(m[1])), text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m[1])), text)

    def wait(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def stop(self):
        for node in self.nodes:
            node.kill()
        self.store.mode = "up"
        self.store.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, services, routes, host="desk.example", **limits):
    """A configuration as the operator writes it; routes: dictionaries of their fields."""
    defaults = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": f"r{version}",
            "services": [{"name": it, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": False}
                         for it in services],
            "limits": {**defaults, **limits},
            "virtualHosts": [{"host": host, "paths": routes}]}


def route(name, prefix, service, kind="idempotent", timeout=3000, objective=500, attempts=2, priority=1):
    return {"name": name, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": objective,
            "priority": priority, "service": service, "attempts": attempts}


# HTTP ----------------------------------------------------------------------------------------------------------------


class NoAnswer(Exception):
    """The connection ended, or the bytes on it are no answer."""


class Answer:
    def __init__(self, status, headers, body, head):
        self.status = status
        self.headers = headers
        self.body = body
        self.head = head

    def get(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


def request(method, path, host, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"] + [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        piece = stream.recv(65536)
        if not piece:
            raise NoAnswer(f"the connection ended after {len(data)} bytes of a head")
        data += piece
    head, rest = data.split(b"\r\n\r\n", 1)
    return head, rest


def read_answer(stream, checked=True):
    """Reads one answer. checked: bytes that are no status line raise NoAnswer."""
    head, rest = read_head(stream)
    lines = head.split(b"\r\n")
    if checked and not re.fullmatch(rb"HTTP/1\.[01] [1-5][0-9][0-9] [\t\x20-\x7e\x80-\xff]*", lines[0]):
        raise NoAnswer(f"not a status line: {lines[0]!r}")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers.append((name.decode("latin-1"), value.strip().decode("latin-1")))
    answer = Answer(int(lines[0].split()[1]), headers, b"", head)
    if (answer.get("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            while b"\r\n" not in rest:
                rest += more(stream)
            size, rest = rest.split(b"\r\n", 1)
            length = int(size, 16)
            while len(rest) < length + 2:
                rest += more(stream)
            answer.body += rest[:length]
            rest = rest[length + 2:]
            if length == 0:
                return answer
    bodiless = answer.status in (204, 304)
    length = 0 if bodiless else int(answer.get("Content-Length") or 0)
    while len(rest) < length:
        rest += more(stream)
    answer.body = rest[:length]
    return answer


def more(stream):
    piece = stream.recv(65536)
    if not piece:
        raise NoAnswer("the connection ended within an answer")
    return piece


def exchange(address, data, timeout):
    with socket.create_connection(address, timeout=timeout) as stream:
        stream.settimeout(timeout)
        stream.sendall(data)
        return read_answer(stream)


# Instances -----------------------------------------------------------------------------------------------------------


class Instance:
    """An instance that announces itself to the node on its machine and runs requests."""

    def __init__(self, lab, machine, name, capacity=9, work=0.02):
        self.lab = lab
        self.machine = machine
        self.name = name
        self.capacity = capacity
        self.work = work
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beating = True
        self.runs = []
        self.answer = None  # Function of (id, path, headers) that returns the bytes of an answer, or None for the usual one.
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(machine.instance)
        self.socket.listen(128)
        self.streams = set()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        self.streams.add(stream)
        try:
            with stream:
                while self.serve_one(stream):
                    pass
        except (OSError, NoAnswer):
            pass
        self.streams.discard(stream)

    def serve_one(self, stream):
        head, rest = read_head(stream)
        lines = head.decode("latin-1").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, _, v in (it.partition(":") for it in lines[1:])}
        while len(rest) < int(headers.get("content-length", 0)):
            rest += more(stream)
        method, path, _ = lines[0].split(" ", 2)
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            stream.sendall(f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        identity = headers.get("request-id", "")
        expected = headers.get("expected-instance", self.name)
        if expected != self.name:
            stream.sendall(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                           f"Request-Id: {identity}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.runs.append((time.monotonic(), identity))
        self.lab.record.write(f"instance {self.name} runs {identity} {method} {path}")
        time.sleep(self.work)
        special = self.answer(identity, path, headers) if self.answer else None
        if special is not None:
            stream.sendall(special)
            return True
        stream.sendall(self.plain_answer(identity))
        return True

    def plain_answer(self, identity):
        body = f"{self.name} {identity}\n".encode()
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nResponse-Signature: sig.{identity}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def beat_body(self, **changes):
        body = {"service": self.machine.service, "address": f"{self.machine.ip}:{self.machine.instance[1]}",
                "zone": self.machine.zone, "version": "v1", "capacity": self.capacity, "state": self.state,
                "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}
        return {**body, **changes}

    def send_beat(self, **changes):
        """Sends one heartbeat and returns the status of its answer."""
        self.sequence += 1
        return self.call("instances.heartbeat", self.beat_body(**changes))

    def call(self, name, body):
        data = json.dumps(body).encode()
        try:
            answer = exchange(self.machine.admin,
                              request("POST", f"/v1/rpc?call={name}&of={self.name}", "node",
                                      [("Content-Type", "application/json")], data), 1)
            status = answer.status
        except (OSError, NoAnswer) as error:
            status = f"no answer ({error})"
        if name != "instances.heartbeat" or status != 200:
            self.lab.record.write(f"instance {self.name} calls {name}, state {body.get('state', '-')}: {status}")
        return status

    def beat(self):
        while True:
            if self.beating:
                self.send_beat()
            time.sleep(1.5)

    def close(self):
        """Ends the instance, as an exit of its process would."""
        self.beating = False
        for stream in [self.socket, *self.streams]:
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            stream.close()


def run_case(main, case_folder):
    """Runs a case and returns the exit status: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(case_folder)
    try:
        broken = main(lab, trouble)
        lab.record.write("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        return 1 if broken else 0
    except Exception as error:  # An error of the case itself must not look like a broken rule.
        lab.record.write(f"RESULT: the case could not run: {error!r}")
        return 2
    finally:
        lab.stop()
