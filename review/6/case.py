"""After a burst of downloads, a node refuses all later ones of the service although its instance is idle."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True
import lab as stand_ins  # noqa: E402

# Of the site file: a machine beside well-records, its slots, and the mean work and size, objective and deadline of
# ledger-export.
LINK_MBPS = 17.0
SLOTS = 8
WORK_S = 0.16
BODY = b"2026;family;well;draw\n" * (280_000 // 22)
OBJECTIVE_MS = 800
DEADLINE_MS = 5000

USUAL_RATE = 5.0  # Exports a second; 0.1 of what the instance can run, 0.7 of its link.
BURST_S = 3.0
BURST = 25  # Exports in BURST_S: 1.7 times the usual.
QUIET_S = 6.0  # Between the end of the burst's last answer and the count.
COUNTED = 30


def main(lab, trouble):
    lab.fields = {"limits": {"linkMbps": LINK_MBPS}}
    records, desk = lab.machine(11, "zone-a", "well-records"), lab.machine(12, "zone-b", "rota-desk")
    nodes = [lab.node(records), lab.node(desk)]
    first = stand_ins.route("r-lookup", "/lookup/", "rota-desk")
    added = stand_ins.route("r-export", "/export/", "well-records", kind="download", timeout=DEADLINE_MS,
                            objective=OBJECTIVE_MS, priority=2)
    services = ["well-records", "rota-desk"]
    lab.store.operator_writes("op/config", stand_ins.configuration(7, services, [first]))
    for node in nodes:
        node.start()
    lab.wait("all nodes ready", lambda: all(it.ready() for it in nodes), 15)
    instances = [stand_ins.Instance(lab, records, "i-records", capacity=SLOTS, work=WORK_S),
                 stand_ins.Instance(lab, desk, "i-desk", capacity=SLOTS)]

    def export_answer(identity, path, headers):
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nResponse-Signature: sig.{identity}\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n").encode() + BODY

    instances[0].answer = export_answer

    def ask(path, statuses):
        identity = os.urandom(8).hex()
        data = stand_ins.request("GET", path, "desk.example",
                                 [("Request-Id", identity), ("Deadline-Ms", str(DEADLINE_MS))])
        try:
            status = stand_ins.exchange(desk.outbound, data, 6).status
        except (OSError, stand_ins.NoAnswer) as error:
            status = f"no answer ({error})"
        lab.record.write(f"client {identity} {path}: {status}")
        statuses.append(status)

    def send(path, moments):
        """Sends a request at each of the moments, in seconds from now, and returns the statuses."""
        statuses, threads, began = [], [], time.monotonic()
        for moment in moments:
            time.sleep(max(0, began + moment - time.monotonic()))
            threads.append(threading.Thread(target=ask, args=(path, statuses), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join(8)
        return statuses

    lab.wait("a first answer", lambda: send("/lookup/1", [0]) == [200], 15)
    lab.store.operator_writes("op/config", stand_ins.configuration(9, services, [first, added]))
    time.sleep(stand_ins.BOUNDS["propagationMs"] / 1000 + 2)
    usual = [i / USUAL_RATE for i in range(int(8 * USUAL_RATE))]
    lab.record.write(f"usual rate: {summary(send('/export/1', usual))}")
    if trouble:
        # Many users come at once: 13 and 12 at the same moment.
        moments = [0.0] * 13 + [BURST_S / 2] * (BURST - 13)
    else:
        moments = [i / USUAL_RATE for i in range(int(BURST_S * USUAL_RATE))]
    lab.record.write(f"{'burst' if trouble else 'usual rate'}: {summary(send('/export/1', moments))}")
    time.sleep(QUIET_S)
    runs = len(instances[0].runs)
    lookups = send("/lookup/1", [i / 4 for i in range(COUNTED)])
    exports = send("/export/1", [i / 4 for i in range(COUNTED)])
    lab.record.write(f"from {QUIET_S} s after the burst on, steady: first route {summary(lookups)}, route added later "
                     f"{summary(exports)}; the instance ran {len(instances[0].runs) - runs} of them")
    lab.record.write("log of the node: " + nodes[1].log_text().splitlines()[-1])
    for instance in instances:
        instance.close()
    return exports.count(200) / len(exports) < lookups.count(200) / len(lookups) / 4


def summary(statuses):
    return ", ".join(f"{statuses.count(it)} x {it}" for it in sorted(set(statuses), key=str))


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(main, FOLDER))
