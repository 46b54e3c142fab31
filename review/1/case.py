"""An instance leaves, its node is restarted as planned, and a heartbeat of the instance arrives late."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from mesh import BOUNDS, CannotRun, configuration, main, route, with_trouble  # noqa: E402

SERVICE = "vuorolista"
LAYOUT = [("tampere", SERVICE), ("turku", SERVICE), ("helsinki", SERVICE)]
SERVES_ON_S = 14.0


async def case(mesh):
    record = mesh.record
    mesh.confirm(configuration(1, [SERVICE], [route("rota", "/rota/", SERVICE)]))
    await mesh.start()
    await asyncio.sleep(4)
    machine = mesh.machines[1]
    instance = mesh.instances[machine]

    # The last heartbeat before the leave is on its way for some seconds.
    instance.stop_heartbeats()
    late_heartbeat = instance.heartbeat()
    record.add("heartbeat sent, delayed", id=instance.id, sequence=late_heartbeat["sequence"])
    sent_at = record.now()
    status = await instance.call("instances.deregister", {"born": instance.born})
    if status != 200:
        raise CannotRun(f"the leave was answered with {status}")
    left_at = record.now()
    record.add("leave acknowledged", id=instance.id)

    if with_trouble():
        await machine.stop()
        await machine.start()
        await machine.wait_ready()
    else:
        await asyncio.sleep(4)
    status = await instance.call("instances.heartbeat", late_heartbeat)
    record.add("heartbeat arrived", id=instance.id, status=status, late_s=f"{record.now() - sent_at:.1f}")

    in_touch_from = max(left_at + BOUNDS["drainMs"] / 1000, machine.disturbed_at + BOUNDS["contactMs"] / 1000)
    while record.now() < in_touch_from + 0.1:
        await asyncio.sleep(0.05)
    sent = {}
    while record.now() < min(in_touch_from + 4, left_at + SERVES_ON_S):
        for sender in mesh.machines:
            result = await mesh.request(sender, "GET", f"/rota/{len(sent)}")
            sent[result["id"]] = result
    runs = [run for run in instance.runs if run["request"] in sent and sent[run["request"]]["in_touch"]]
    record.add("runs at the instance that left", count=len(runs), sent=len(sent))
    return [f"request {run['request']} reached {instance.id} {run['at'] - left_at:.1f} s after its leave was acknowledged"
            for run in runs]


main(case, LAYOUT, HERE)
