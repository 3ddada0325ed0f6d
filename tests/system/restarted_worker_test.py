"""A worker that starts again under its id takes calls that were meant for its former life, and is cut off
soon after. No task may run twice.

Usage: restarted_worker_test.py registered|answered|unanswered|handover|late|held|held_handover (with HEMLOCKWARD_BIN set)
  registered: an idle worker restarts and registers, a task starts there
  answered: its leader doesn't learn of the restart and starts a task there
  unanswered: the same, and the worker is cut off before it answers
  handover: the same as answered, and the leader hands over to another node
  late: a start gets no answer; it is carried out once the worker has restarted and the task runs elsewhere
  held: the worker restarts when a start and a hold are on their way; they reach its next life, the hold later
  held_handover: the same, and the leader hands over meanwhile
"""

import json
import pathlib
import signal
import sys
import threading
import time

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak
import users_platform as platform
from deposed_leader_test import call, until

# Lasting jobs keep two of three workers in their pool: the first leaves the task room on the third one only.
LARGE, SMALL, JOB = "00000000000000aa", "00000000000000bb", "00000000000000cc"
TASK = f"{JOB}.0.0.0"
STEP = {"count": 1, "cpu": 9000, "mem_mb": 64, "est_runtime_ms": 30000}
FORMER_CLOCK_MS = 100_000  # Far ahead of that of a new life.
CLOCK_MS = 5_000
KNOWN_S = 0.3  # Until the leader has heard of a restart.
CUT_AFTER_S = 0.2
SILENCE_S = 3.0
RESTART_AFTER_S = 1.5
LATE_S = 2.5
HELD_S = 1.4  # Less than the leader waits for the answer to a hold.
WATCH_S = 2.0


def lasting(cpu, count=2):
    return {"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": 300, "daemon": True, "anti_affinity": 1}


def submit(play, job_id, step):
    job = platform.Job([step], f"payload {job_id}", attempts=3, lasting=step.get("daemon", False))
    play.world.jobs[job_id] = job
    body = json.dumps({"task_spec": job.spec, "steps": job.steps})
    return call(play.nodes[0], "POST", f"/q-a/{job_id}", body) == 200


def is_at_work(machines, job_id, tasks):
    lives = [it.life for it in machines if it.life]
    return sum(f"{job_id}.0.0.{i}" in it.active for it in lives for i in range(tasks)) == tasks


def restart(machine, registers):
    """Its next life begins at once under the same id, with a clock of its own."""
    with machine.world.lock:
        machine.life.active.clear()
        machine.bring_up(keep_id=True)
        machine.life.clock_base = CLOCK_MS
        if not registers:
            machine.beat_at = float("inf")


def hand_over(play):
    leader = play.leader()
    leader.expected_end = True
    leader.send(signal.SIGTERM)


class Gate:
    """In front of a machine: cuts its worker off, or holds its first start back."""

    def __init__(self, machine, how):
        self.machine = machine
        self.how = how
        self.serve = machine.serve
        self.cut = False
        self.held = None  # The start that is carried out late.
        machine.serve = self.pass_on

    def pass_on(self, *request):
        is_start = request[2] == "/v1/run-start"
        if is_start and self.held:
            return 503, {}  # So that the task runs elsewhere.
        answer = None
        if is_start and self.how == "late":
            self.held = request
        elif not self.cut:
            answer = self.serve(*request)
            self.cut = self.cut or (is_start and self.how == "unanswered")
        if answer is None or self.cut:
            time.sleep(SILENCE_S)
            return None
        return answer


class HeldGate:
    """In front of a machine: a start and a hold reach the next life of its worker, which is cut off otherwise."""

    def __init__(self, machine):
        self.machine = machine
        self.serve = machine.serve
        self.seen = set()
        machine.serve = self.pass_on

    def pass_on(self, *request):
        path = request[2]
        with self.machine.world.lock:
            first = path not in self.seen
            self.seen.add(path)
            if first and path == "/v1/run-start":
                restart(self.machine, registers=True)
                self.serve(*request)
        if first and path == "/v1/hold":
            time.sleep(HELD_S)
            self.serve(*request)
        time.sleep(SILENCE_S)
        return None


def play_late(play, gate, others):
    until("a start is held back", lambda: gate.held)
    assert call(play.nodes[0], "DELETE", f"/q-a/{LARGE}") == 200
    until("the task runs elsewhere", lambda: is_at_work(others, JOB, 1))
    restart(gate.machine, registers=True)
    time.sleep(LATE_S - RESTART_AFTER_S)
    gate.serve(*gate.held)
    time.sleep(WATCH_S)


def play_cut(play, gate, how):
    machine = gate.machine
    restart(machine, registers=how == "registered")
    if how == "registered":
        time.sleep(KNOWN_S)
    until("the job is accepted", lambda: submit(play, JOB, STEP))
    until("the task has begun", lambda: is_at_work([machine], JOB, 1))
    time.sleep(CUT_AFTER_S)
    gate.cut = True
    assert call(play.nodes[0], "DELETE", f"/q-a/{LARGE}") == 200
    if how == "handover":
        hand_over(play)


def main(how):
    play = soak.Soak(seed=1, seconds=0, nodes=3, machines=9)
    play.world.unguarded.clear()
    play.stopping = False
    threading.Thread(target=play.tick, daemon=True).start()
    pool = [it for it in play.world.machines.values() if it.pool == "pool-a"]
    for machine in pool:
        machine.life.clock_base = FORMER_CLOCK_MS
    try:
        for node in play.nodes:
            node.start()
        for job_id, cpu in ((LARGE, 9000), (SMALL, 1000)):
            until("a lasting job is accepted", lambda: submit(play, job_id, lasting(cpu)))
            until("it is at work", lambda: is_at_work(pool, job_id, 2))
        idle = [it for it in pool if not it.life.active]
        assert len(idle) == 1, [list(it.life.active) for it in pool]
        if how.startswith("held"):
            HeldGate(idle[0])
            until("the job is accepted", lambda: submit(play, JOB, STEP))
            until("the task has begun", lambda: is_at_work(idle, JOB, 1))
            assert call(play.nodes[0], "DELETE", f"/q-a/{LARGE}") == 200
            if how == "held_handover":
                hand_over(play)
            until("the task is started elsewhere", lambda: play.world.truth(TASK).starts > 1)
        elif how == "late":
            gate = Gate(idle[0], how)
            until("the job is accepted", lambda: submit(play, JOB, STEP))
            play_late(play, gate, [it for it in pool if it is not gate.machine])
        else:
            play_cut(play, Gate(idle[0], how), how)
            until("the task is started elsewhere", lambda: play.world.truth(TASK).starts > 1)
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
