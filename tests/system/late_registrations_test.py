"""The leader learns late of registrations. No task may start on a worker later than 2 s after it
registered as draining, and other workers go on.

Usage: late_registrations_test.py silent|backlog (with HEMLOCKWARD_BIN set)
silent: the connection on which it awaits them goes silent; new connections work.
backlog: a draining worker's is behind thousands, and each page takes a while.
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
import users_store  # noqa: E402

DRAIN_S = 2.0
SLACK_S = 0.1  # For the scheduling of this process.
WATCH_S = 8.0
TASKS = 4000
JOB = "0123456789abcdef"
BACKLOG_ROWS = 3000
PAGE_S = 0.7


class Feed:
    """The store's feed; calls that are in progress when it is silenced never end, later ones do.

    Full pages take `PAGE_S`.
    """

    def __init__(self, store):
        self.real = store.feed
        self.silent_from = 0.0
        store.feed = self.serve

    def serve(self, query):
        begin = time.monotonic()
        answer = self.real(query)
        if begin < self.silent_from:
            time.sleep(2 * WATCH_S)
            return None
        if len(answer[1].get("rows", [])) == users_store.PAGE_ROWS:
            time.sleep(PAGE_S)
        return answer


def main():
    day = soak.Soak(1, WATCH_S, nodes=1, machines=9)
    world, node = day.world, day.nodes[0]
    steps = [{"count": TASKS, "cpu": 4000, "mem_mb": 500, "est_runtime_ms": 200}]
    world.jobs[JOB] = platform.Job(steps, "payload", soak.ATTEMPTS)
    feed = Feed(world.store)
    starts = []  # (time, worker)
    check_start = world.check_start

    def record_start(worker, task, body):
        starts.append((world.now(), worker.id))
        check_start(worker, task, body)

    world.check_start = record_start
    day.stopping = False
    threading.Thread(target=day.tick, daemon=True).start()
    node.start()
    try:
        time.sleep(1.5)
        request = urllib.request.Request(
            f"http://127.0.0.1:{node.front}/q-a/{JOB}", method="POST",
            data=json.dumps({"task_spec": "payload", "steps": steps}).encode(),
            headers={"Host": "jobs.example", "Content-Type": "application/json"})
        with urllib.request.urlopen(request, timeout=5) as answer:
            assert answer.status == 200, answer.status
        time.sleep(1)
        with world.lock:
            machine = next(it for it in world.machines.values()
                           if it.life and any(it.life.id == worker for _, worker in starts))
            drained = machine.life
            if sys.argv[1] == "silent":
                feed.silent_from = time.monotonic()
            else:
                for i in range(BACKLOG_ROWS):
                    world.store.put("servers", "", f"other-{i}", "{}")
            drained.draining = True
            machine.seq += 1
            world.store.put("servers", "", drained.id, json.dumps(machine.entry()))
            acknowledged = world.now()
        time.sleep(WATCH_S)
    finally:
        day.stopping = True
        node.kill()
        day.links.stop()
    after = [(at - acknowledged, worker) for at, worker in starts if at > acknowledged]
    late = [round(at, 2) for at, worker in after if worker == drained.id and at > DRAIN_S + SLACK_S]
    others = [at for at, worker in after if worker != drained.id and at > WATCH_S / 2]
    assert not late, f"{len(late)} starts on {drained.id}, {late[0]} to {late[-1]} s after it registered"
    assert others, "nothing starts on the other workers"
    assert not world.broken, world.broken
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
