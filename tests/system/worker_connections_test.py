"""Connections to workers are lost in series and stay open there; workers accept a limited number. Jobs must go on.

Usage: worker_connections_test.py silenced|power|full (with HEMLOCKWARD_BIN set)
  silenced: all open connections go silent for good, again and again; the leader stays
  power: the leader's machine loses power, again and again; workers answer late
  full: others use up all that one worker accepts; it gets a new life
"""

import json
import pathlib
import sys
import threading
import time

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak
import users_platform as platform
from deposed_leader_test import call, until
from restarted_worker_test import is_at_work, lasting, submit

LOSSES = {"silenced": 20, "power": 40}
GAP_S = 1.5  # The leader has opened connections again by then.
STEP = {"count": 12, "cpu": 2000, "mem_mb": 64, "est_runtime_ms": 300}
PAUSE_S = 0.4
MACHINES = 9
LASTING = "f" * 16  # One task on each machine.
LATE_S = 0.2  # Their answers.


class Traffic:
    """Hands in jobs all the time; their tasks fill the workers."""

    def __init__(self, play):
        self.play = play
        self.number = 0
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def submit(self):
        """Returns the id of a job that was accepted."""
        self.number += 1
        job_id = f"{self.number:016x}"
        job = platform.Job([STEP], f"payload {job_id}", attempts=9)
        self.play.world.jobs[job_id] = job
        body = json.dumps({"task_spec": job.spec, "steps": job.steps})
        return job_id if call(self.play.nodes[0], "POST", f"/q-a/{job_id}", body) == 200 else None

    def run(self):
        while not self.stopping:
            self.submit()
            time.sleep(PAUSE_S)

    def stop(self):
        self.stopping = True
        self.thread.join()


def most_open(play):
    return max(it.link.open for it in play.world.machines.values())


def silence(play):
    for it in play.world.machines.values():
        it.link.silence()


def lose_power(play):
    """A killed process would close its connections: they are silenced before."""
    silence(play)
    time.sleep(platform.TICK_S)
    leader = play.leader()
    leader.kill()
    leader.start()


def answer_late(machine):
    serve = machine.serve

    def serve_late(*request):
        time.sleep(LATE_S)
        return serve(*request)

    machine.serve = serve_late


def play_losses(play, lose, times):
    most = 0
    for _ in range(times):
        time.sleep(GAP_S)
        lose(play)
        most = max(most, most_open(play))
    return most


def play_full(play, machine):
    machines = play.world.machines.values()
    until("a lasting job is accepted", lambda: submit(play, LASTING, lasting(1000, MACHINES)))
    until("it is at work", lambda: is_at_work(machines, LASTING, MACHINES))
    first = machine.life
    machine.link.refusing = True
    machine.link.reset()
    until("its machine has moved", lambda: machine.life is not first)
    machine.link.refusing = False
    until("it is used again", lambda: is_at_work(machines, LASTING, MACHINES))


def main(how):
    play = soak.Soak(seed=1, seconds=0, nodes=3, machines=MACHINES)
    play.world.unguarded.clear()
    play.stopping = False
    threading.Thread(target=play.tick, daemon=True).start()
    pool = [it for it in play.world.machines.values() if it.pool == "pool-a"]
    try:
        for node in play.nodes:
            node.start()
        traffic = Traffic(play)
        until("tasks are at work", lambda: any(it.life and it.life.active for it in pool))
        if how == "power":
            for machine in pool:
                answer_late(machine)
        if how == "full":
            play_full(play, pool[0])
        else:
            most = play_losses(play, silence if how == "silenced" else lose_power, LOSSES[how])
            print(f"{most} connections at most")
            assert most < platform.CONNECTIONS, most
        traffic.stop()
        last = []
        until("a job is accepted", lambda: last.append(traffic.submit()) or last[-1])
        tasks = list(play.world.jobs[last[-1]].tasks(last[-1]))
        until("it is done", lambda: all(play.world.truth(it).done for it in tasks))
        broken = [it for it in play.world.broken if it.startswith(("TWICE", "FAULT"))]
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
