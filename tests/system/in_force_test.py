"""An accepted change is in force on every entry within 7 s, also when the table fails right after the commit.

Prints how long each took. `in force` is the revision that an entry reports in /metrics.
"""

import json
import re
import sys
import time

from cluster import Cluster, Failure, call, check, wait_for

LIMIT_S = 7.0
CHANGES = 5
REVISION = re.compile(rb"^hemlockward_revision\S* (\d+)", re.M)


def revision_of(address):
    found = REVISION.search(call("GET", address, "/metrics")[2])
    return int(found[1]) if found else 0


def change(cluster, least):
    """Puts the fitting document with another least size; returns its revision."""
    text = cluster.settings("fitting.yaml").read_text()
    text = re.sub(r"minutes_below: \d+", f"minutes_below: {least}", text)
    address = next(iter(cluster.controls.values()))
    status, _, body = call("PUT", address, "/v1/teams/fitting/document", text)
    check(status == 200, f"not accepted: {body!r}")
    return json.loads(body)["revision"]


def seconds_until_in_force(cluster, revision):
    start = time.monotonic()
    for name, address in cluster.entries.items():
        wait_for(f"revision {revision} on {name}", lambda: revision_of(address) >= revision,
                 LIMIT_S, 0.02)
    return time.monotonic() - start


def main():
    with Cluster(21000) as cluster:
        cluster.start("fitting.yaml", "booking.yaml")
        took = []
        for i in range(CHANGES):
            took.append(seconds_until_in_force(cluster, change(cluster, 21 + i)))
        revision = change(cluster, 40)
        cluster.faults(cluster.platform, down=True, for_ms=15000)
        after_failure = seconds_until_in_force(cluster, revision)
        before = {name: revision_of(address) for name, address in cluster.entries.items()}
        time.sleep(1)
        for name, address in cluster.entries.items():
            check(revision_of(address) >= before[name], f"{name} went back")
        print(f"in force after {max(took):.2f} s at most of {CHANGES}; "
              f"{after_failure:.2f} s with the table down right after the commit")


if __name__ == "__main__":
    try:
        main()
    except Failure as failure:
        sys.exit(f"FAILED: {failure}")
