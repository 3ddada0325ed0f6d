"""Jobs that wait for good, though machines that could run them stand by switched off. No case: nothing is disturbed.

Usage: waiting_for_machines.py label|gang
  label: a task needs a label that only machines of the spare pool have
  gang: four tasks of 9 cores that must run together, machines of 16 cores; the pool has three, three stand by
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))
import deployment  # noqa: E402
from deployment import platform  # noqa: E402

JOB = "00000000000000aa"
SPARE = ("m-2", "m-5", "m-8")
WATCH_S = 30.0
STEPS = {
    "label": {"count": 1, "cpu": 1000, "mem_mb": 500, "est_runtime_ms": 500, "constraints": "k-b"},
    "gang": {"count": 4, "cpu": 9000, "mem_mb": 500, "est_runtime_ms": 500, "all_or_nothing": True},
}


def with_labels(describe):
    """Machines of the spare pool are of another kind."""
    return lambda machine: describe(machine) | {"labels": ["k-b" if machine.name in SPARE else "k-a", "r-1"]}


def main(play):
    play.submit(JOB, [STEPS[sys.argv[1]]])
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        state = play.call(play.nodes[0], "GET", f"/q-a/{JOB}")[1]
        if "pending" not in state:
            return None
        time.sleep(1)
    return f"{JOB} is still pending after {WATCH_S:.0f} s; pools: " + str(
        {it.name: it.pool for it in play.world.machines.values()})


if __name__ == "__main__":
    platform.Machine.entry = with_labels(platform.Machine.entry)
    platform.Machine.listing = with_labels(platform.Machine.listing)
    sys.exit(deployment.run(FOLDER, main, machines=9))
