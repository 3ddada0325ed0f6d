"""Not-repeatable requests during a table outage, with all entries alive and with one killed.

Arguments: `alive` or `killed`, and `uuid7` or `minted` keys; the outage lasts HEMLOCKWARD_OUTAGE_S seconds
(default 15). Alive: every request is done. Killed: nothing is lost, doubled or
wrong, and all but the requests that were in that entry are done.
"""

import os
import signal
import sys
import time

from cluster import Cluster, Failure, check

OUTAGE_S = int(os.environ.get("HEMLOCKWARD_OUTAGE_S", "15"))
RATE = 100
LEAD_S = 3
# Requests of the killed entry: those in it, and those whose keys were made
# before its death was surely known to the others.
MOST_UNKNOWN = 60


def main(case, keys):
    with Cluster({"alive": 20400, "killed": 20600}[case]) as cluster:
        cluster.start("fitting.yaml", "booking.yaml")
        duration = OUTAGE_S + 2 * LEAD_S
        cluster.load(f"rate={RATE}", f"duration={duration}s", "repeatable_share=0",
                     "not_run_retries=100", "threads=2", f"keys={keys}")
        time.sleep(LEAD_S)
        cluster.faults(cluster.platform, down=True, for_ms=OUTAGE_S * 1000)
        if case == "killed":
            time.sleep(OUTAGE_S / 3)
            cluster.signal("entry-2", signal.SIGKILL)
        _, summary = cluster.load_summary(duration + 30)
        print(summary)
        for name in ("lost", "doubled", "wrong"):
            check(summary[name] == 0, f"{name} {summary[name]}")
        check(summary["runs_checked"], "the targets were not asked")
        check(summary["max_in_progress"] <= 8, f"{summary['max_in_progress']} on one worker")
        if case == "alive":
            check(summary["done"] == summary["sent"], "not all were done")
        else:
            check(summary["done"] + summary["unknown"] == summary["sent"], "some were not done")
            check(summary["unknown"] <= MOST_UNKNOWN, f"{summary['unknown']} unknown")


if __name__ == "__main__":
    try:
        main(*sys.argv[1:])
    except Failure as failure:
        sys.exit(f"FAILED: {failure}")
