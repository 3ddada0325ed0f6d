"""Another writer leaves odd entries in place of workers' own. Once the workers have written theirs again,
jobs run there, and no node has ended.

Usage: odd_entries_test.py (with HEMLOCKWARD_BIN set)
"""

import json
import pathlib
import sys
import threading
import time
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

import soak  # noqa: E402
import users_platform as platform  # noqa: E402

JOB_S = 10.0  # A worker's heartbeat, its lease and a job of 0.3 s, several times over.
DEPTH = 20000
HUGE = 9.2e18


def odd_entries(entry):
    """Entries by name, each with one field that no worker writes."""
    for address in ("127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:" + "9" * 30,
                    "127.0.0.1", "host.example:80", "[::1]:80", ""):
        yield f"address {address[:20]!r}", json.dumps(entry | {"address": address})
    for name in ("cpu", "mem_mb", "gpu"):
        for value in (int(HUGE), 1 << 63, 10 ** 30, -1, HUGE):
            yield f"{name} {value}", json.dumps(entry | {"capacity": entry["capacity"] | {name: value}})
    for name in ("seq", "born", "slots", "cold_left_ms"):
        for value in (10 ** 30, -(10 ** 30), 1 << 63, 1e300):
            yield f"{name} {value}", json.dumps(entry | {name: value})
    text = json.dumps(entry)
    yield "nested lists", text[:-1] + ', "extra": ' + "[" * DEPTH + "]" * DEPTH + "}"
    yield "nested objects", text[:-1] + ', "labels": ' + '{"a":' * DEPTH + "1" + "}" * DEPTH + "}"
    yield "unclosed lists", "[" * DEPTH


def run_job(node, number):
    """Seconds until a job of one task is completed."""
    path = f"http://127.0.0.1:{node.front}/q-a/{number:016x}"
    headers = {"Host": "jobs.example", "Content-Type": "application/json"}
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 100}]
    body = json.dumps({"task_spec": "payload", "steps": steps}).encode()
    job = platform.Job(steps, "payload", soak.ATTEMPTS)
    node.soak.world.jobs[f"{number:016x}"] = job
    begin = time.monotonic()
    urllib.request.urlopen(urllib.request.Request(path, body, headers, method="POST"), timeout=5).close()
    while time.monotonic() - begin < JOB_S:
        with urllib.request.urlopen(urllib.request.Request(path, headers=headers), timeout=5) as answer:
            if json.loads(answer.read())["state"] == "completed":
                return time.monotonic() - begin
        time.sleep(0.05)
    return None


def main():
    day = soak.Soak(1, 30, nodes=1, machines=3)
    world, node = day.world, day.nodes[0]
    day.stopping = False
    threading.Thread(target=day.tick, daemon=True).start()
    node.start()
    waiting = []
    try:
        time.sleep(1.5)
        machine = next(it for it in world.machines.values() if it.pool == "pool-a")
        assert run_job(node, 1) is not None, "no job runs"
        for number, (name, value) in enumerate(odd_entries(machine.entry()), 2):
            with world.lock:
                world.store.put("servers", "", machine.life.id, value)
            time.sleep(0.1)
            with world.lock:
                machine.seq += 1
                world.store.put("servers", "", machine.life.id, json.dumps(machine.entry()))
            if run_job(node, number) is None:
                waiting.append(name)
                break
            assert node.alive(), f"the node ended after {name}"
    finally:
        day.stopping = True
        node.kill()
        day.links.stop()
    assert not waiting, f"no job runs on the worker after {waiting}; logs: {day.dir}"
    assert not world.broken, world.broken
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
