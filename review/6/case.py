"""A route moves to another service and back; then a worker is cut off and the leader is killed.

Tasks of a job of that route are at work on the second service. The next leader starts them again
on the first one.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

JOB = "00000000000000a6"
ZONE_S = 0.0014  # One way between zones (SYSTEM.md).
STEPS = [
    {"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 1500, "work_s": 1.5},
    {"count": 4, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 25000, "work_s": 25.0, "after": [0]},
]
SERVICES = ["pool-a", "pool-b"]
# Each service has tasks that last, as those of the site do. They keep the machines in their pools.
LASTING = {"cpu": 1000, "mem_mb": 100, "daemon": True, "anti_affinity": 1, "startup_s": 0.5}
LASTING_ROUTES = {"lasting-a": "pool-a", "lasting-b": "pool-b"}
WORKERS = {"pool-a": 3, "pool-b": 3}
CUT_S = 5.5  # Of one worker in six.
WATCH_S = 15.0
GAP_S = 0.5  # Between two configurations.


async def case(world, trouble):
    Machine = standins.Machine
    machines = [Machine(world, f"a{i}", "pool-a") for i in range(WORKERS["pool-a"])]
    machines += [Machine(world, f"b{i}", "pool-b", "z2", ZONE_S)
                 for i in range(WORKERS["pool-b"])]

    async def move_to(service):
        """A configuration removes the route, the next one adds it with another service."""
        world.configure(LASTING_ROUTES, SERVICES)
        await asyncio.sleep(GAP_S)
        world.configure(LASTING_ROUTES | {"q": service}, SERVICES)

    world.configure(LASTING_ROUTES | {"q": "pool-a"}, SERVICES)
    await world.open(machines)
    await world.until("a node leads", world.leader)
    for i, (queue, service) in enumerate(LASTING_ROUTES.items()):
        await world.submit(queue, f"{i:016x}", [LASTING | {"count": WORKERS[service]}])
    await world.until("the lasting tasks are at work", lambda: len(world.starts) == 6)
    await world.submit("q", JOB, STEPS)
    await move_to("pool-b")

    def at_work():
        return [task for it in machines if it.pool == "pool-b" and it.worker
                for task in it.worker.active if task.startswith(f"{JOB}.0.1.")]

    await world.until("the second step is at work on pool-b", lambda: len(at_work()) == 4)
    await move_to("pool-a")
    await asyncio.sleep(standins.BOUNDS["config_apply_ms"] / 1000 + 1)
    if trouble:
        theirs = next(it for it in machines if at_work()[0] in it.worker.active)
        theirs.cut = True
        world.record.line(f"machine {theirs.name}: cut off from the nodes, runs on")
        world.later(CUT_S, lambda: setattr(theirs, "cut", False))
        world.leader().kill()
    await asyncio.sleep(WATCH_S)
    return f"TWICE: {world.overlaps[0]} ({len(world.overlaps)} in all)" if world.overlaps else ""


standins.play(pathlib.Path(__file__).parent, case)
