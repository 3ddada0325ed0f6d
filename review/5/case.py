"""A job that repeats for years takes more memory than a machine has; see claim.txt."""

import asyncio
import pathlib
import re
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as stand  # noqa: E402

MEMORY_MB = 260  # SYSTEM.md: "6 `edge` in 4 zones (0.25 cores, 260 MB, ...)"
MINUTES = 1_000_000 if stand.TROUBLE else 1_000  # Two years, or most of a day.
RESTART_S = 0.5
JOBS = 1
GONE_TOO_OFTEN, MACHINES = 3, 2  # Rule: on two machines at least, three times


class Watch(stand.World):
    """The platform's limit of memory: a process that exceeds it is killed, and started again."""

    def __init__(self, folder):
        super().__init__(folder)
        self.exits = {}
        self.most_mb = 0

    def memory_mb(self, node):
        try:
            status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) // 1024 if found else 0

    async def guard(self):
        while not self.stopping:
            for node in self.nodes:
                if not node.alive():
                    continue
                used = self.memory_mb(node)
                self.most_mb = max(self.most_mb, used)
                if used > MEMORY_MB:
                    self.record("over_memory", node=node.name, mb=used)
                    await node.kill()
                    self.exits[node.name] = self.exits.get(node.name, 0) + 1
                    self.later(RESTART_S, node.start)
            await asyncio.sleep(0.01)


async def case(world):
    world.later(0, world.guard)
    step = {"count": 1, "cpu": 1000, "mem_mb": 500, "est_runtime_ms": 500}
    accepted = 0
    for _ in range(JOBS):
        job = await world.submit({"task_spec": "each minute", "steps": [step], "repeat_count": MINUTES,
                                  "start_at_ms": int(time.time() * 1000), "interval_ms": 60_000})
        accepted += job is not None
        await asyncio.sleep(2)
    await asyncio.sleep(5)
    world.record("exits", by_node=world.exits, accepted=accepted)
    often = [it for it, n in world.exits.items() if n >= GONE_TOO_OFTEN]
    if len(often) >= MACHINES:
        world.record.breaks("Fault", f"processes on {len(often)} of {len(world.nodes)} machines went over their memory "
                                     f"{GONE_TOO_OFTEN} times or more: {world.exits}")
    print(f"exits {world.exits}, accepted {accepted} of {JOBS}, most memory {world.most_mb} MB")


sys.exit(stand.play(case, Watch(FOLDER)))
