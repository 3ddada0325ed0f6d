"""Latency that one entry adds on loopback, and its processor time per request.

The same load goes straight to the targets and through one entry, in one run.
Prints one JSON line for each log level; see docs/BENCH.md.
"""

import json
import os
import subprocess
import sys

from cluster import BIN, Cluster, Failure, check

RATE = 500
DURATION_S = 10
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    """User and system time of a process so far."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def load(cluster, entries, *overrides):
    settings = cluster.dir / "bench.yaml"
    settings.write_text(f"entries: [{', '.join(entries)}]\nservices: [fitting]\n")
    command = [str(BIN / "hemlockward-load"), "--settings", str(settings)]
    for it in (f"rate={RATE}", f"duration={DURATION_S}s", "repeatable_share=1", "threads=1",
               *overrides):
        command += ["--set", it]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    summary = json.loads(done.stdout.strip().splitlines()[-1])
    check(summary["done"] == summary["sent"], f"not all done: {summary}")
    return summary


def measure(log_level):
    with Cluster(20600, target_service_time="0ms", log_level=log_level) as cluster:
        cluster.start("fitting.yaml")
        vms = [cluster.address(100 + i) for i in range(4)]
        direct = load(cluster, vms, "direct=true")
        entry = cluster.processes["entry-1"]
        before = processor_seconds(entry)
        through = load(cluster, [cluster.entries["entry-1"]])
        spent = processor_seconds(entry) - before
        result = {"log_level": log_level, "rate": RATE, "requests": through["done"]}
        for name in ("p50", "p99"):
            result[f"direct_{name}_ms"] = round(direct["latency_ms"]["all"][name], 3)
            result[f"entry_{name}_ms"] = round(through["latency_ms"]["all"][name], 3)
        result["entry_cpu_ms_per_request"] = round(spent * 1000 / through["done"], 3)
        result["requests_per_core_second"] = round(through["done"] / spent)
        print(json.dumps(result))


def main():
    for log_level in ("warning", "info"):
        measure(log_level)


if __name__ == "__main__":
    try:
        main()
    except Failure as failure:
        sys.exit(f"FAILED: {failure}")
