"""All nodes are killed right after roll-outs were ordered; a bad version is then completed instead of rolled back."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import mesh as m  # noqa: E402

DOWN = 1.0
ROLLBACK = 5  # rollbackMs, in seconds.
DURATION = 16  # Of the roll-outs, in seconds.
PERIOD = 0.1  # Between two requests of the clients of one machine for each service.
SERVICES = ("menu", "orders", "pantry")
AFTER = 12  # Seconds that are watched after the deadline.
BAD = 2  # Every second answer of the new version is a failure.

CONFIG = m.config(7, list(SERVICES), [(f"r-{it}", f"/{it}/", "idempotent", it, 1500, 400, 1) for it in SERVICES])


class Clients:
    """The clients of all machines send requests for each service, evenly, to nodes that are ready."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.stopped = False

    async def of(self, place):
        node = self.mesh.nodes[place]
        tasks = []
        n = 0
        while not self.stopped:
            if await node.ready():
                for service in SERVICES:
                    n += 1
                    tasks.append(asyncio.create_task(
                        m.ask(node, "GET", f"/{service}/item", f"a{place:x}{n:06x}", 1500)))
            await asyncio.sleep(PERIOD)
        await asyncio.gather(*tasks)

    async def run(self):
        await asyncio.gather(*[self.of(place) for place in range(len(self.mesh.nodes))])


def runs_of(mesh, service, version, start, end):
    return sum(start <= time <= end for it in mesh.instances if it.service == service and it.version == version
               for times in it.arrived.values() for time in times)


async def stop_old(mesh, ended):
    """The old instances of a service stop at once, without draining, when its roll-out is completed."""
    while True:
        for service in SERVICES:
            text = mesh.platform.text(f"status/rollout/{service}")
            if text and json.loads(text)["state"] == "completed" and service not in ended:
                ended.append(service)
                mesh.record.line(f"status of {service}: completed; its instances of v1 stop")
                for instance in mesh.instances:
                    if instance.service == service and instance.version == "v1":
                        await instance.end()
        await asyncio.sleep(0.2)


def late_runs(mesh, service):
    """Requests that the bad version got later than rollbackMs after its 50th bad answer."""
    runs = sorted((time, request) for it in mesh.instances if it.service == service and it.version == "v2"
                  for request, times in it.arrived.items() for time in times)
    failures = [time for time, request in runs if request in mesh.failures]
    if len(failures) < 50:
        return 0
    return sum(time > failures[49] + ROLLBACK for time, _ in runs)


async def play(mesh):
    mesh.rollouts = True
    machines = [(zone, service, f"i-{service}-{version}-{n}") for service in SERVICES
                for n, (zone, version) in enumerate([("almaty-a", "v1"), ("almaty-b", "v1"), ("almaty-c", "v2")])]
    fresh = [name for _, _, name in machines if "-v2-" in name]
    if not await mesh.start(machines, CONFIG, later=fresh):
        return None
    for instance in mesh.instances:
        if instance.name in fresh:
            instance.version = "v2"
            instance.bad = BAD
            instance.announce()
    clients = Clients(mesh)
    running = asyncio.create_task(clients.run())
    await asyncio.sleep(3)
    ordered = mesh.record.now()
    for service in SERVICES:
        mesh.platform.put(f"op/rollout/{service}",
                          json.dumps({"service": service, "targetVersion": "v2", "durationS": DURATION}).encode())
    mesh.record.line("the operator orders the roll-outs of v2 of all services")
    in_touch = ordered
    if m.trouble():
        await asyncio.gather(*[node.kill() for node in mesh.nodes])
        await asyncio.sleep(DOWN)
        for node in mesh.nodes:
            await node.start()
        in_touch = mesh.record.now() + m.BOUNDS["contactMs"] / 1000
    stopping = asyncio.create_task(stop_old(mesh, []))
    await asyncio.sleep(max(0, ordered + DURATION + AFTER - mesh.record.now()))
    stopping.cancel()
    clients.stopped = True
    await running
    held = True
    for service in SERVICES:
        total = sum(runs_of(mesh, service, version, ordered, ordered + DURATION) for version in ("v1", "v2"))
        new = runs_of(mesh, service, "v2", in_touch, ordered + DURATION)
        allowed = 0.1 * total + 50
        late = late_runs(mesh, service)
        held = held and new <= allowed and late == 0
        status = mesh.platform.text(f"status/rollout/{service}")
        text = (f"{service}: {total} requests before the deadline, {new} from machines in touch reached the bad version, "
                f"{allowed:.0f} are allowed; {late} reached it later than rollbackMs after its 50th bad answer; status: {status}")
        mesh.record.line(text)
        mesh.record.line("the last step in the store: " + mesh.platform.text(f"hornbeamring/rollouts/{service}"))
        print(text)
        if total < 300:
            return None
    return held


m.main(FOLDER, 11, play)
