"""Machines of the system lose power, one at a time; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as stand  # noqa: E402

WORKERS = 4
LOSSES, GAP_S, DARK_S = 8, 3.0, 1.5
JOBS_AT_ONCE, PAUSE_S = 3, 0.45
STEP = {"count": 6, "cpu": 3500, "mem_mb": 3600, "est_runtime_ms": 640}
FINISH_S = stand.BOUNDS["finish_s"]
WATCH_S = 3.0
CPU = 64000  # Of one worker.


class Watch(stand.World):
    def __init__(self, folder):
        super().__init__(folder, machines=WORKERS)
        self.ended = set()  # Tasks that have ended `done`.

    def on_end(self, life, task, run, how, number):
        super().on_end(life, task, run, how, number)
        if how == "done":
            self.ended.add(task)

    def due(self, job_id):
        """The tasks whose turn has come and that haven't ended `done`."""
        for number, step in enumerate(self.jobs[job_id]["steps"]):
            tasks = [f"{job_id}.0.{number}.{i}" for i in range(step["count"])]
            left = [it for it in tasks if it not in self.ended]
            if left:
                return left
        return []


async def clients(world, accepted, until):
    async def one():
        job = await world.submit({"task_spec": "scan", "steps": [STEP, STEP | {"after": [0]}]})
        if job:
            accepted.append(job)

    calls = []
    while time.monotonic() < until:
        calls += [asyncio.ensure_future(one()) for _ in range(JOBS_AT_ONCE)]
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*calls)


async def case(world):
    accepted = []
    traffic = asyncio.ensure_future(clients(world, accepted, time.monotonic() + LOSSES * GAP_S + 4))
    await asyncio.sleep(2)
    for _ in range(LOSSES):
        leader = world.leader()
        if stand.TROUBLE and leader.alive():
            await leader.lose_power(DARK_S)
        await asyncio.sleep(GAP_S)
        world.record("connections", open=[it.server.open_connections() for it in world.machines],
                     without_peer=[it.server.held for it in world.machines],
                     resets=[it.server.resets for it in world.machines])
    await traffic
    world.record("traffic_ends", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    # LOST: for 3 s nothing of a job runs, though a task's turn has come and there is room.
    idle_since = {}
    until = time.monotonic() + WATCH_S + 2
    lost = {}
    while time.monotonic() < until:
        now = time.monotonic()
        at_work = {task.split(".")[0] for m in world.machines if m.life for task in m.life.active}
        in_use = [sum(run.cpu for run in m.life.active.values()) for m in world.machines if m.life]
        used, room = sum(in_use), sum(m.capacity["cpu"] for m in world.machines if m.life)
        places = sum((CPU - n) // STEP["cpu"] for n in in_use)
        for job in accepted:
            idle = world.due(job) and job not in at_work and places >= 2 and used * 2 < room
            if not idle:
                idle_since.pop(job, None)
            elif now - idle_since.setdefault(job, now) >= WATCH_S:
                lost[job] = used
        await asyncio.sleep(0.05)
    for job, used in lost.items():
        world.record.breaks("LOST", f"{job} has nothing running for {WATCH_S:.0f} s, {len(world.due(job))} tasks "
                                    f"are due, {used} of {room} thousandths of a core are in use")
    states = {}
    for job in accepted[-40:]:
        state = await world.state(job)
        states[state] = states.get(state, 0) + 1
    world.record("states", of_the_last=states)
    print("states of the last 40 jobs:", states)


sys.exit(stand.play(case, Watch(FOLDER)))
