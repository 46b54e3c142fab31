"""A request crashes the instance that runs it, and its client sends it again at the same machine."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from mesh import BOUNDS, configuration, main, route, with_trouble  # noqa: E402

# The instances of Vahtivuoro's second service: one in each zone.
LAYOUT = [("tampere", "valvonta"), ("turku", "valvonta"), ("helsinki", "valvonta"),
          ("tampere", "vuorolista"), ("turku", "vuorolista"), ("helsinki", "vuorolista")]
POISON = "/export/poison"
SENT_AGAIN_S = 4.0
RETRIES = 3


async def case(mesh):
    record = mesh.record
    mesh.confirm(configuration(1, ["valvonta", "vuorolista"], [
        route("export", "/export/", "valvonta"), route("rota", "/rota/", "vuorolista")]))
    await mesh.start()
    await asyncio.sleep(4)
    instances = list(mesh.instances.values())
    for instance in instances:
        instance.crashes_on = POISON
    until = record.now() + 75
    others = []

    async def client(machine):
        while record.now() < until:
            others.append(await mesh.request(machine, "GET", f"/rota/{random.getrandbits(40):010x}"))
            await asyncio.sleep(random.uniform(0.2, 0.4))

    clients = [asyncio.create_task(client(machine)) for machine in mesh.machines]
    while record.now() < until:
        await mesh.request(mesh.machines[0], "GET", POISON if with_trouble() else "/export/may")
        await asyncio.sleep(SENT_AGAIN_S)
    await asyncio.gather(*clients)

    runs = sorted((run for instance in instances for run in instance.runs if run["target"] == POISON),
                  key=lambda run: run["at"])
    failed = sum(1 for it in others if it["status"] != 200)
    record.add("runs of the request that crashes", count=len(runs), other_requests=len(others), failed=failed)
    print(f"the request crashed {len(runs)} instances; {failed} of {len(others)} requests to the other service failed")
    if len(runs) < 3:
        return []
    counted_from = runs[2]["at"] + BOUNDS["contactMs"] / 1000
    late = [run for run in runs if run["at"] > counted_from]
    if len(late) <= RETRIES:
        return []
    return [f"request {run['request']} reached {run['instance']} "
            f"{run['at'] - runs[2]['at']:.1f} s after the third crash" for run in late]


main(case, LAYOUT, HERE)
