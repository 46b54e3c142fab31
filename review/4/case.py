"""Two instances go down and up by turns while clients read the same page of a route that was added later."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from mesh import CannotRun, configuration, main, route, with_trouble  # noqa: E402

SERVICE = "vuorolista"
LAYOUT = [("tampere", SERVICE), ("turku", SERVICE), ("helsinki", SERVICE),
          ("tampere", SERVICE), ("turku", SERVICE), ("helsinki", SERVICE), ("tampere", SERVICE), ("turku", SERVICE)]
DOWN_S = 3.0


async def case(mesh):
    record = mesh.record
    routes = [route("rota", "/rota/", SERVICE)]
    mesh.confirm(configuration(1, [SERVICE], routes))
    await mesh.start(work_s=0.25)
    mesh.confirm(configuration(2, [SERVICE], routes + [route("notices", "/notices/", SERVICE)]))
    await asyncio.sleep(4)
    results = []
    stop = asyncio.Event()

    async def client(machine, later):
        while not stop.is_set():
            path = "/notices/today" if later else f"/rota/{random.getrandbits(48):012x}"
            results.append((later, await mesh.request(machine, "GET", path)))
            await asyncio.sleep(random.uniform(0.05, 0.25))

    clients = [asyncio.create_task(client(machine, later))
               for machine in mesh.machines for later in (False, False, True, True, True, True, True, True)]
    await asyncio.sleep(3)
    if with_trouble():
        for machine in (mesh.machines[1], mesh.machines[5]):
            await mesh.instances[machine].crash_and_restart(DOWN_S)
            await asyncio.sleep(3)
    else:
        await asyncio.sleep(2 * (DOWN_S + 3))
    await asyncio.sleep(12)
    steady_from = record.now()
    record.add("steady state")
    await asyncio.sleep(15)
    stop.set()
    await asyncio.gather(*clients)

    def served(later):
        mine = [it for route_later, it in results if route_later == later and it["sent"] >= steady_from
                and it["in_touch"]]
        return sum(1 for it in mine if it["status"] == 200), len(mine)

    first, later = served(False), served(True)
    record.add("served", first=f"{first[0]}/{first[1]}", later=f"{later[0]}/{later[1]}")
    print(f"served in steady state: first routes {first[0]}/{first[1]}, routes added later {later[0]}/{later[1]}")
    if first[1] < 20 or later[1] < 20 or first[0] == 0:
        raise CannotRun("too few requests")
    if later[0] / later[1] < 0.25 * first[0] / first[1]:
        return [f"routes added later served {later[0]} of {later[1]}, first routes {first[0]} of {first[1]}"]
    return []


main(case, LAYOUT, HERE)
