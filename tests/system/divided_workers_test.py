"""A leader that is cut off with a part of the workers doesn't start again what its successor has seen end.

Usage: divided_workers_test.py draining|moved (with HEMLOCKWARD_BIN set)
  draining: the worker that only the successor reaches is about to leave
  moved: the successor has its VM moved, which the cut-off leader sees in the list of VMs
"""

import json
import pathlib
import re
import sys
import threading
import time

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak
import users_platform as platform
from deposed_leader_test import call, until

PINNING = {"count": 2, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 300, "daemon": True, "anti_affinity": 1}
SHORT = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 2500}
HEARD_S = 0.3  # Until the leader has read a registration.
# So that the loss of the worker comes late in the 4 s in which a cut-off leader may give orders.
STORE_CUT_AFTER_S = {"draining": 2.0, "moved": 1.2}
WATCH_S = 8.0  # Longer than orders are valid and a worker's lease lasts.


def submit(play, job_id, step):
    job = platform.Job([step], f"payload {job_id}", attempts=3, lasting=step.get("daemon", False))
    play.world.jobs[job_id] = job
    body = json.dumps({"task_spec": job.spec, "steps": job.steps})
    return call(play.nodes[0], "POST", f"/q-a/{job_id}", body) == 200


def worker_of(play, task):
    return next((it for it in play.world.machines.values() if it.life and task in it.life.active), None)


def divide(machine, fence, by_deposed):
    """Its worker is reached only by the leader with `fence`, or only by the others."""
    serve = machine.serve

    def serve_side(caller, method, path, query, body, expect):
        if (body.get("fencing_token", 0) == fence) == by_deposed:
            return serve(caller, method, path, query, body, expect)
        time.sleep(3)
        return None

    machine.serve = serve_side


def main(how):
    play = soak.Soak(seed=1, seconds=0, nodes=3, machines=6)
    for node in play.nodes:
        # The service of the VMs stays in reach of a node that is cut off from the store.
        direct = f'machines: "127.0.0.1:{node.server.server_address[1]}"'
        node.settings.write_text(re.sub(r'machines: "[^"]*"', direct, node.settings.read_text()))
    play.stopping = False
    threading.Thread(target=play.tick, daemon=True).start()
    pinning, short = "00000000000000aa", "00000000000000bb"
    try:
        for node in play.nodes:
            node.start()
        until("a lasting job is accepted", lambda: submit(play, pinning, PINNING))
        tasks = [f"{pinning}.0.0.{i}" for i in range(2)]
        until("it is at work on both workers", lambda: all(worker_of(play, it) for it in tasks))
        deposed = play.leader()
        assert submit(play, short, SHORT)
        task = f"{short}.0.0.0"
        until("the short task has begun", lambda: worker_of(play, task))
        theirs = worker_of(play, task)
        fence = theirs.life.fence
        if how == "draining":
            theirs.life.draining, theirs.beat_at = True, 0.0
            time.sleep(HEARD_S)
        for machine in play.world.machines.values():
            divide(machine, fence, by_deposed=machine is not theirs)
        time.sleep(STORE_CUT_AFTER_S[how])
        deposed.link.held = {"to", "from"}
        until("another node leads", lambda: play.leader() is not deposed)
        until("the end of the short task is noted", lambda: play.world.truth(task).done_noted)
        if how == "moved":
            with play.world.lock:
                theirs.pool = "pool-b"
                theirs.take_down("moving", platform.MOVE_S)
        time.sleep(WATCH_S)
        broken = [it for it in play.world.broken if it.startswith("TWICE")]
        assert not broken, broken
    finally:
        play.stopping = True
        for node in play.nodes:
            if node.alive():
                node.kill()
        play.links.stop()
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
