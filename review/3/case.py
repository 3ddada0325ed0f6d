"""The store is down while one worker has more than 500 ends to list; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as stand  # noqa: E402

JOBS, TASKS = 32, 20  # A worker has room for all of them.
JOB_GAP_S = 0.03
SHORTEST_S, LONGEST_S = 2.4, 3.2
OUTAGE_S = 3.0


class Watch(stand.World):
    """Notes each task's starts and `done` ends, and checks the rule TWICE."""

    def __init__(self, folder):
        super().__init__(folder)
        self.done = {}  # By task: ends `done`, [worker, number, lapses, noted, restarted].
        self.starts = 0

    def length_s(self, task, step):
        return self.random.uniform(SHORTEST_S, LONGEST_S)

    def on_start(self, life, task, run, body):
        self.starts += 1
        for machine in self.machines:
            other = machine.life
            if other and other is not life and task in other.active:
                self.record.breaks("TWICE", f"{task} runs on {other.id} and starts on {life.id}")
        for end in self.done.get(task, []):
            end["restarted"] = True
            self.record("started_after_done", task=task, run=run.number, worker=life.id)
            if end["noted"]:
                self.record.breaks("TWICE", f"{task} run {run.number} starts after a noted end `done`")

    def on_end(self, life, task, run, how, number):
        super().on_end(life, task, run, how, number)
        if how == "done":
            self.done.setdefault(task, []).append(
                {"life": life, "number": number, "lapses": life.lapses, "noted": False, "restarted": False})

    def on_noted(self, life, end):
        for it in self.done.get(end[1], []):
            if it["life"] is not life or it["number"] != end[0] or it["lapses"] != life.lapses:
                continue  # Another end, or its worker's lease lapsed between the two.
            it["noted"] = True
            if it["restarted"]:
                self.record.breaks("TWICE", f"{end[1]} was started again after its end `done` ({end[0]} "
                                            f"of {life.id}), which is taken note of now")


async def case(world):
    step = {"count": TASKS, "cpu": 100, "mem_mb": 100, "est_runtime_ms": 2800}
    calls = []
    for _ in range(JOBS):
        calls.append(asyncio.ensure_future(world.submit({"task_spec": "small tasks", "steps": [step]})))
        await asyncio.sleep(JOB_GAP_S)
    jobs = await asyncio.gather(*calls)
    if None in jobs:
        raise RuntimeError("a job was not accepted")
    until = time.monotonic() + 10
    while world.starts < JOBS * TASKS and time.monotonic() < until:
        await asyncio.sleep(0.01)
    world.record("all_started", starts=world.starts,
                 on=[len(it.life.active) for it in world.machines])
    if stand.TROUBLE:
        await world.store.outage(OUTAGE_S)
    until = time.monotonic() + 20
    while time.monotonic() < until and any([await world.state(it) != "completed" for it in jobs]):
        await asyncio.sleep(0.5)
    await asyncio.sleep(2)
    print(f"{world.starts} starts of {JOBS * TASKS} tasks")


sys.exit(stand.play(case, Watch(FOLDER)))
