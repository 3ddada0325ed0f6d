"""Workers crash one after another, each while it runs the one task of a job.

The job is shown as failed although no run of its task has ended failed.
"""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins

JOB = "00000000000000a8"
STEPS = [{"count": 1, "cpu": 2000, "mem_mb": 100, "est_runtime_ms": 6000, "work_s": 6.0}]
WORKERS = 8  # One of them at a time is 0.125 of the service.
ATTEMPTS = 3  # Of the queue, as standins.configure writes it.
MOST_CRASHES = 4
CRASH_AFTER_S = 2.0
DOWN_S = 1.5


async def case(world, trouble):
    machines = [standins.Machine(world, f"m{i}", "pool-a") for i in range(WORKERS)]
    world.configure({"q": "pool-a"}, ["pool-a"])
    await world.open(machines)
    await world.until("a node leads", world.leader)
    await world.submit("q", JOB, STEPS)
    for number in range(MOST_CRASHES if trouble else 0):
        host = lambda: next((it for it in machines if it.worker and it.worker.active), None)
        for _ in range(1500):
            if host() or await world.state("q", JOB) == "failed":
                break
            await asyncio.sleep(0.01)
        if not host():
            break
        await asyncio.sleep(CRASH_AFTER_S)
        host().crash(DOWN_S)
    state = ""
    for _ in range(60):
        state = await world.state("q", JOB)
        if state in ("completed", "failed"):
            break
        await asyncio.sleep(0.5)
    failed = sum(how == "failed" for *_, how in world.ends)
    world.record.line(f"job {JOB} is shown as {state}; {failed} runs have ended failed")
    if state == "failed" and failed < ATTEMPTS:
        return f"LOST: job {JOB} is shown as failed after {failed} failed runs"
    return ""


standins.play(pathlib.Path(__file__).parent, case)
