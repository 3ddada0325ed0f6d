"""What one entry adds to a call on loopback, and requests a second per core of the entry.

Run by scripts/bench-latency.sh. The entry's processor time is read from /proc; both
ways are measured in one run. The worker answers at once.
"""

import json
import os
import subprocess

from cluster import BIN, Cluster

TICKS = os.sysconf("SC_CLK_TCK")


def processor_s(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def compare(cluster, connections, log_level):
    entry = cluster.processes["entry-1"]
    before = processor_s(entry.pid)
    out = subprocess.run(
        [str(BIN / "bench-latency"), "--direct", cluster.targets,
         "--entry", cluster.entries["entry-1"], "--connections", str(connections)],
        capture_output=True, text=True, timeout=120, check=True).stdout
    used = processor_s(entry.pid) - before
    direct, through = (json.loads(it) for it in out.strip().splitlines())
    served = through["requests"]
    print(f"log {log_level}, {connections} at once: direct p50 {direct['p50_us']} us p99 {direct['p99_us']} us; "
          f"entry p50 {through['p50_us']} us p99 {through['p99_us']} us; "
          f"ratio p50 {through['p50_us'] / direct['p50_us']:.2f} p99 {through['p99_us'] / direct['p99_us']:.2f}; "
          f"entry {served / used:.0f} requests per second of one core, {1e6 * used / served:.0f} us each; "
          f"failed {through['failed']}")


def main():
    for level in ("warning", "info"):
        with Cluster(int(os.environ.get("HEMLOCKWARD_PORTS", "20600")), log_level=level,
                     target_overrides=("service_time=0ms",)) as cluster:
            cluster.start("fitting.yaml", "booking.yaml")
            for connections in (1, 8):
                compare(cluster, connections, level)


if __name__ == "__main__":
    main()
