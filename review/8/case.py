"""The leader is killed right after the platform has carried out its orders of upkeep.

The next leader orders the upkeep once more when the machines are back. The platform says that it is
done already, and the leader takes the new workers for gone: no task starts there any more.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

FIRST_JOB = "00000000000000a8"
SECOND_JOB = "00000000000000b8"
RACKS = ["r1", "r1", "r2", "r2", "r2"]  # Of the machines.
# The job's data is on the workers of this rack, which the wave takes down as a whole.
RACK = "r1"
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 500, "constraints": RACK, "work_s": 0.5}]
IN_WAVE = [f"m{i}" for i, it in enumerate(RACKS) if it == RACK]
WAVE = {"wave": 1, "machines": IN_WAVE, "duration_s": 30, "cap": len(IN_WAVE)}
WAVE_S = 20.0
WATCH_S = 25.0  # finish_s and the 3 s of the rule are 17 s.


async def case(world, trouble):
    machines = [standins.Machine(world, f"m{i}", "pool-a", rack=it) for i, it in enumerate(RACKS)]
    world.configure({"q": "pool-a"}, ["pool-a"])
    await world.open(machines)
    await world.until("a node leads", world.leader)
    await world.submit("q", FIRST_JOB, STEPS)
    await world.until("the first job's task has run", lambda: world.ends)
    carried_out = []

    def on_order(machine, path):
        """Called when an order was carried out and isn't answered yet."""
        carried_out.append(machine.name)
        if not trouble or len(carried_out) > len(IN_WAVE):
            return None
        if len(carried_out) == len(IN_WAVE):
            world.leader().kill()
        return standins.CUT

    world.on_order = on_order
    world.store.put("op", "wave/1", WAVE)
    await asyncio.sleep(WAVE_S)
    back = [it.name for it in machines if it.upkeeps and it.worker and it.state == "up"]
    world.record.line(f"up again after their upkeep: {back}")
    if back != IN_WAVE:
        raise standins.Unable("the wave has not ended")
    begun = len(world.starts)
    await world.submit("q", SECOND_JOB, STEPS)
    for _ in range(int(WATCH_S)):
        if len(world.starts) > begun:
            break
        await asyncio.sleep(1)
    state = await world.state("q", SECOND_JOB)
    if len(world.starts) == begun:
        return (f"LOST: job {SECOND_JOB} is {state} and has nothing running for {WATCH_S} s, "
                f"though the {len(IN_WAVE)} workers of rack {RACK} have 16 cores each and run nothing")
    return ""


standins.play(pathlib.Path(__file__).parent, case)
