"""A wave over ten VMs under load, with the leading control killed and a table outage in it.

Nothing is lost, doubled, wrong or cut off; the wave finishes; each VM is rebooted
once. The outage lasts HEMLOCKWARD_OUTAGE_S seconds (default 15).
"""

import os
import signal
import sys
import time

from cluster import CONTROLS, Cluster, Failure, check, wait_for
from local_run import wave_state

OUTAGE_S = int(os.environ.get("HEMLOCKWARD_OUTAGE_S", "15"))
LOAD_S = OUTAGE_S + 30
RATE = 100
VMS = 10


def reboots(cluster):
    return {vm: acts.get("reboot", 0) for vm, acts in cluster.stats()["acts"].items()}


def main():
    with Cluster(20800) as cluster:
        cluster.start("fitting.yaml", "booking.yaml")
        cluster.load(f"rate={RATE}", f"duration={LOAD_S}s", "threads=2")
        time.sleep(1)
        cluster.ctl("wave", "start", "all", "fitting", "booking")
        wait_for("a VM is rebooted", lambda: sum(reboots(cluster).values()) > 0, 30)
        # Both lead some pools; the first one's are taken over.
        cluster.signal(CONTROLS[0], signal.SIGKILL)
        cluster.faults(cluster.platform, down=True, for_ms=OUTAGE_S * 1000)
        time.sleep(OUTAGE_S)
        wait_for("the wave finished", lambda: wave_state(cluster, "all") == "finished", 60, 0.5)
        counts = reboots(cluster)
        check(len(counts) == VMS and set(counts.values()) == {1}, f"reboots: {counts}")
        _, summary = cluster.load_summary(LOAD_S + 30)
        print(summary)
        for name in ("lost", "doubled", "wrong", "cut_off", "unknown"):
            check(summary[name] == 0, f"{name} {summary[name]}")
        check(summary["runs_checked"], "the targets were not asked")


if __name__ == "__main__":
    try:
        main()
    except Failure as failure:
        sys.exit(f"FAILED: {failure}")
