"""Not-repeatable keys sent at once through all entries, under failures.

2,000 keys go to three entries at once while the table loses answers and is then
down for 20 s in all, one entry is killed and another is paused for 10 s. At most
one run per key; a key called not-run never ran; each answer called done is the
key's own; each key gets a truthful answer on asking again.
"""

import collections
import concurrent.futures
import random
import signal
import sys
import threading
import time

from cluster import Cluster, Failure, call, check

KEYS = 2000
SENDING_S = 25.0
SEED = 20261204
REQUEST_TIMEOUT_S = 14.0
SERVICES = ("fitting", "booking")


def uuid7(rng):
    ms = time.time_ns() // 1_000_000
    text = f"{(ms << 16) | 0x7000 | rng.getrandbits(12):016x}"
    text += f"{(0b10 << 62) | rng.getrandbits(62):016x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Caller:
    """Sends keys and collects what callers were told: outcome and body, per key."""

    def __init__(self, entries):
        self.entries = entries
        self.lock = threading.Lock()
        self.told = collections.defaultdict(list)

    def note(self, key, headers, body):
        outcome = headers.get("Hemlockward-Outcome")
        if outcome is None:
            return
        with self.lock:
            self.told[key].append((outcome, body))

    def post(self, entry, service, key):
        headers = {
            "Hemlockward-Repeatable": "false",
            "Idempotency-Key": key,
            "Hemlockward-Timeout-Ms": "10000",
            "Content-Type": "text/plain",
        }
        try:
            _, answer, body = call("POST", entry, f"/v1/services/{service}/requests",
                                   f"{key} {service}", headers, REQUEST_TIMEOUT_S)
            self.note(key, answer, body)
        except OSError:
            pass  # Broken: asked again at the end.

    def ask(self, key):
        """Asks again under the same key until an entry says what became of it."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for entry in self.entries:
                try:
                    status, answer, body = call("GET", entry, f"/v1/requests/{key}", timeout=3)
                except OSError:
                    continue
                if "Hemlockward-Outcome" in answer:
                    self.note(key, answer, body)
                    return True
                if status == 404:
                    continue
            time.sleep(0.2)
        return False


def inject(cluster):
    """The failures, in their order; runs beside the sending."""
    time.sleep(3)
    cluster.faults(cluster.platform, lost_share=1.0)
    time.sleep(3)
    cluster.faults(cluster.platform, down=True)
    cluster.signal("entry-1", signal.SIGKILL)
    time.sleep(2)
    cluster.signal("entry-2", signal.SIGSTOP)
    time.sleep(10)
    cluster.signal("entry-2", signal.SIGCONT)
    time.sleep(5)
    cluster.faults(cluster.platform)
    cluster.start_entry("entry-1")


def judge(caller, keys, runs):
    """Compares what callers were told with what the targets ran."""
    tally = collections.Counter()
    for key, service in keys.items():
        ran = runs.get(key, 0)
        check(ran <= 1, f"{key} ran {ran} times")
        told = caller.told[key]
        check(told, f"{key} got no truthful answer")
        outcomes = {outcome for outcome, _ in told}
        tally["done" if "done" in outcomes else "+".join(sorted(outcomes))] += 1
        if "not-run" in outcomes:
            check(ran == 0, f"{key} was called not-run and ran; told {outcomes}")
        for outcome, body in told:
            if outcome == "done":
                check(ran == 1, f"{key} was called done and did not run")
                text = body.decode()
                check(text.startswith(f"{service} ") and text.endswith(f" {key} {service}"),
                      f"{key} got another answer: {text}")
    return tally


def main():
    rng = random.Random(SEED)
    keys = {}
    with Cluster(20200) as cluster:
        cluster.start("fitting.yaml", "booking.yaml")
        entries = list(cluster.entries.values())
        caller = Caller(entries)
        faults = threading.Thread(target=inject, args=(cluster,))
        faults.start()
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(200) as pool:
            for i in range(KEYS):
                time.sleep(max(0.0, start + i * SENDING_S / KEYS - time.monotonic()))
                key = uuid7(rng)
                keys[key] = SERVICES[i % len(SERVICES)]
                for entry in entries:
                    pool.submit(caller.post, entry, keys[key], key)
        faults.join()
        open_keys = [it for it in keys if not caller.told[it]]
        with concurrent.futures.ThreadPoolExecutor(50) as pool:
            list(pool.map(caller.ask, open_keys))
        time.sleep(1)
        runs = cluster.runs()
        tally = judge(caller, keys, runs["keys"])
        check(runs["max_in_progress"] <= 8, f"{runs['max_in_progress']} requests on one worker")
        print(f"keys {len(keys)}, asked again {len(open_keys)}, told {dict(tally)}, "
              f"ran {len(runs['keys'])}, most at once {runs['max_in_progress']}")


if __name__ == "__main__":
    try:
        main()
    except Failure as failure:
        sys.exit(f"FAILED: {failure}")
