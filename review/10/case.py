"""An acknowledged departure is forgotten: the store is silent, the node is killed and started again."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True
import lab as stand_ins  # noqa: E402

DRAIN_S = stand_ins.BOUNDS["drainMs"] / 1000
CONTACT_S = stand_ins.BOUNDS["contactMs"] / 1000


EXIT_S = 9.0  # From the acknowledgement until the instance exits: drainMs and "at times many seconds" more.


class Client(threading.Thread):
    """Sends a booking, which isn't idempotent, every 50 ms to the outbound address of its machine."""

    def __init__(self, lab, machine):
        super().__init__(daemon=True)
        self.lab = lab
        self.machine = machine
        self.sent = {}  # Time of sending by id.
        self.unanswered = []  # Ids of the bookings that got no answer, or 502 or 504.
        self.running = True

    def run(self):
        number = 0
        while self.running:
            number += 1
            threading.Thread(target=self.send, args=(f"{number:016x}",), daemon=True).start()
            time.sleep(0.05)

    def send(self, identity):
        data = stand_ins.request("POST", "/booking/1", "desk.example",
                                 [("Request-Id", identity), ("Deadline-Ms", "2000")])
        self.sent[identity] = time.monotonic()
        try:
            status = stand_ins.exchange(self.machine.outbound, data, 2.5).status
        except (OSError, stand_ins.NoAnswer) as error:
            status = f"no answer ({error})"
        self.lab.record.write(f"client {identity}: {status}")
        if status not in (200, 503):
            self.unanswered.append(identity)


def main(lab, trouble):
    desk1, desk2 = lab.machine(11, "zone-a", "desk"), lab.machine(12, "zone-b", "desk")
    records = lab.machine(13, "zone-c", "records")
    nodes = [lab.node(it) for it in (desk1, desk2, records)]
    lab.store.operator_writes("op/config", stand_ins.configuration(
        7, ["desk", "records"], [stand_ins.route("r-booking", "/booking/", "desk", kind="non_idempotent")]))
    for node in nodes:
        node.start()
    lab.wait("all nodes ready", lambda: all(it.ready() for it in nodes), 15)
    leaving = stand_ins.Instance(lab, desk1, "i-leaving", work=0.2)
    staying = stand_ins.Instance(lab, desk2, "i-staying", work=0.2)
    client = Client(lab, records)
    client.start()
    lab.wait("both instances run requests", lambda: leaving.runs and staying.runs, 15)
    time.sleep(4)

    # The instance's last heartbeat is on its way while it leaves. It never says that it drains.
    leaving.beating = False
    time.sleep(0.2)
    leaving.sequence += 1
    late_beat = leaving.beat_body()
    if trouble:
        lab.store.mode = "silent"
        lab.record.write("store silent")
        time.sleep(0.3)
    left = leaving.call("instances.deregister", {"born": leaving.born})
    acknowledged = time.monotonic()
    if left != 200:
        raise stand_ins.CannotRun("the departure was not acknowledged")
    restarted = acknowledged
    if trouble:
        time.sleep(0.3)
        nodes[0].kill()
        time.sleep(0.5)
        nodes[0].start()
        restarted = time.monotonic()
        time.sleep(1)
        lab.store.mode = "up"
        lab.record.write("store up")
    stable = time.monotonic()
    lab.wait("the node is ready", nodes[0].ready, 10)
    time.sleep(max(0, acknowledged + 4 - time.monotonic()))
    lab.record.write("the late heartbeat arrives")
    leaving.call("instances.heartbeat", late_beat)
    time.sleep(max(0, acknowledged + EXIT_S - time.monotonic()))
    lab.record.write("the instance exits")
    exited = time.monotonic()
    leaving.close()
    time.sleep(2)
    client.running = False
    time.sleep(2.5)

    calm = max(acknowledged + DRAIN_S, restarted + CONTACT_S, stable + CONTACT_S)
    late = [it for it in leaving.runs if client.sent.get(it[1], 0) > calm]
    cut = [it[1] for it in leaving.runs if exited - leaving.work < it[0] and it[1] in client.unanswered]
    lab.record.write(f"{len(client.sent)} requests sent, {len(leaving.runs)} run by the instance that left")
    lab.record.write(f"run by it, sent more than {DRAIN_S} s after its acknowledgement, all machines in touch and the "
                     f"store stable for {CONTACT_S} s: {len(late)}")
    lab.record.write(f"bookings that it was running when it exited, which got no answer of it: {len(cut)}")
    staying.close()
    return bool(late)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(main, FOLDER))
