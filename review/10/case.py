"""A node that stops as planned takes downloads that cannot be sent before it ends, and cuts them off."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True
import lab as stand_ins  # noqa: E402

# Of the site file: a machine beside well-records, its slots, and the mean work, mean and largest size, objective and
# deadline of ledger-export.
LINK_MBPS = 17.0
SLOTS = 8
WORK_S = 0.16
MEAN_BYTES = 280_000
LARGEST_BYTES = 1_700_000
OBJECTIVE_MS = 800
DEADLINE_MS = 5000

USUAL_RATE = 4.0
SENT_AFTER_STOP_S = 2.0  # Clients learn of the stop by two missed readiness checks, which are 1 s apart.
LARGE = 5


class Download(threading.Thread):
    """One export over a connection that the client has kept."""

    def __init__(self, lab, machine):
        super().__init__(daemon=True)
        self.lab = lab
        self.stream = socket.create_connection(machine.outbound, timeout=8)
        self.identity = ""
        self.path = ""
        self.outcome = ""
        self.took = 0.0

    def get(self, path):
        self.identity = os.urandom(8).hex()
        self.path = path
        started = time.monotonic()
        try:
            self.stream.sendall(stand_ins.request("GET", path, "desk.example",
                                                  [("Request-Id", self.identity), ("Deadline-Ms", str(DEADLINE_MS))]))
            self.outcome = stand_ins.read_answer(self.stream).status
        except (OSError, stand_ins.NoAnswer) as error:
            self.outcome = f"no complete answer ({error})"
        self.took = time.monotonic() - started
        self.lab.record.write(f"client {self.identity} {path}: {self.outcome} after {self.took:.3f} s")
        return self.outcome

    def run(self):
        self.get("/export/season")


def main(lab, trouble):
    lab.fields = {"limits": {"linkMbps": LINK_MBPS}}
    records, desk = lab.machine(11, "zone-a", "well-records"), lab.machine(12, "zone-b", "rota-desk")
    nodes = [lab.node(it) for it in (records, desk, lab.machine(13, "zone-c", "rota-desk"))]
    lab.store.operator_writes("op/config", stand_ins.configuration(7, ["well-records", "rota-desk"], [
        stand_ins.route("r-export", "/export/", "well-records", kind="download", timeout=DEADLINE_MS,
                        objective=OBJECTIVE_MS, priority=2)]))
    for node in nodes:
        node.start()
    lab.wait("all nodes ready", lambda: all(it.ready() for it in nodes), 15)
    instance = stand_ins.Instance(lab, records, "i-records", capacity=SLOTS, work=WORK_S)
    season = b"2026;family;well;draw\n" * (LARGEST_BYTES // 22)

    def answer(identity, path, headers):
        body = season if path == "/export/season" else season[:MEAN_BYTES]
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nResponse-Signature: sig.{identity}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    instance.answer = answer
    lab.wait("a first answer", lambda: Download(lab, desk).get("/export/1") == 200, 15)
    time.sleep(stand_ins.BOUNDS["contactMs"] / 1000 + 1)
    # The usual exports, each over a connection of its own that is kept.
    clients = []
    for _ in range(24):
        clients.append(Download(lab, desk))
        if clients[-1].get("/export/1") != 200:
            raise stand_ins.CannotRun("an export at the usual rate was not served")
        time.sleep(max(0, 1 / USUAL_RATE - clients[-1].took))
    stopped = time.monotonic()
    if trouble:
        nodes[1].send(signal.SIGTERM)
    time.sleep(SENT_AFTER_STOP_S)
    for client in clients[:LARGE]:
        client.start()
    for client in clients[:LARGE]:
        client.join(10)
    if trouble:
        nodes[1].process.wait(5)
        lab.record.write(f"the node ended {time.monotonic() - stopped:.1f} s after SIGTERM, status "
                         f"{nodes[1].process.returncode}")
    run = {identity for _, identity in instance.runs}
    lost = [it for it in clients[:LARGE] if not isinstance(it.outcome, int) and it.identity in run
            and it.took < DEADLINE_MS / 1000 - 0.1]
    lab.record.write(f"{LARGE} large exports: passed on, and the connection ended without a complete answer before the "
                     f"deadline: {len(lost)}; served {sum(it.outcome == 200 for it in clients[:LARGE])}, refused "
                     f"{sum(it.outcome in (429, 503) for it in clients[:LARGE])}")
    instance.close()
    return bool(lost)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(main, FOLDER))
