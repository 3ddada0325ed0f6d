"""A job's progress outgrows a row of the store; see claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as stand  # noqa: E402

# Occurrences, one a second. So many of them lie in the past when the job is handed in.
REPEATS = 12000
OVERDUE = 6000 if stand.TROUBLE else 600
LASTING_JOBS = 6
LASTING = {"count": 2, "cpu": 5300, "mem_mb": 14000, "est_runtime_ms": 700, "daemon": True, "anti_affinity": 1,
           "may_miss": 1}
ACK_S = stand.BOUNDS["ack_ms"] / 1000
CANCEL_S = stand.BOUNDS["cancel_ms"] / 1000
WATCH_S = 20.0


class Watch(stand.World):
    """Checks UNASKED for the jobs that are cancelled, and counts the cancels without an answer."""

    def __init__(self, folder):
        super().__init__(folder)
        self.sent = {}  # By cancelled job: when its first cancel was sent.
        self.acked = {}
        self.ends = 0

    def on_start(self, life, task, run, body):
        job = task.split(".")[0]
        if job not in self.sent:
            return
        # Nothing disturbs this deployment: all machines are in touch, and its state is steady.
        counts_from = min(self.acked.get(job, float("inf")), self.sent[job] + ACK_S)
        late = self.record.now() - counts_from
        if late > CANCEL_S:
            self.record.breaks("UNASKED", f"{task} run {run.number} starts {late:.1f} s after the cancel of its job "
                                          f"{'was acknowledged' if job in self.acked else 'had waited ack_ms'}")

    def on_end(self, life, task, run, how, number):
        super().on_end(life, task, run, how, number)
        self.ends += 1


async def cancel(world, job, until):
    """Cancels the job as clients do, again until the answer is 2xx or 410."""
    world.sent[job] = world.record.now()
    while time.monotonic() < until:
        answer = await world.call("DELETE", f"/scan/{job}")
        if answer and (answer[0] // 100 == 2 or answer[0] == 410):
            world.acked[job] = world.record.now()
            return
        await asyncio.sleep(0.2)


async def case(world):
    lasting = [await world.submit({"task_spec": "lasts", "steps": [LASTING]}) for _ in range(LASTING_JOBS)]
    if None in lasting:
        raise RuntimeError("a lasting job was not accepted")
    await asyncio.sleep(2)
    now_ms = int(time.time() * 1000)
    large = await world.submit({
        "task_spec": "scheduled", "repeat_count": REPEATS, "start_at_ms": now_ms - OVERDUE * 1000,
        "interval_ms": 1000, "steps": [{"count": 1, "cpu": 4000, "mem_mb": 100, "est_runtime_ms": 100}]})
    if large is None:
        raise RuntimeError("the scheduled job was not accepted")
    world.record("scheduled", job=large, repeat_count=REPEATS, overdue=OVERDUE)
    until = time.monotonic() + 40
    while time.monotonic() < until and not world.store.refused and world.ends < OVERDUE:
        await asyncio.sleep(0.2)
    await asyncio.sleep(5)
    until = time.monotonic() + WATCH_S
    await asyncio.gather(*[cancel(world, it, until) for it in lasting])
    await asyncio.sleep(max(0, until - time.monotonic()))
    late = [it for it in lasting if world.acked.get(it, float("inf")) > world.sent[it] + ACK_S]
    world.record("cancels", sent=len(lasting), without_answer_after_ack_ms=len(late))
    refused = sum(world.store.refused.values())
    world.record("transactions_refused", count=refused, why=list(world.store.refused)[:3])
    print(f"{world.ends} ends, {refused} transactions over a limit of the store, "
          f"{len(late)} of {len(lasting)} cancels without 2xx or 410 after ack_ms")


sys.exit(stand.play(case, Watch(FOLDER)))
