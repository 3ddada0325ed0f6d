"""A small deployment for the cases of this review: hemlockward-node processes as the deploy file starts them,
and the project's own stand-ins of the platform (tests/soak) on loopback addresses.

A case calls `run(case, main)`. `main(play)` returns the text of the broken rule, or None if the rule held.
"""

import http.client
import json
import os
import pathlib
import shutil
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))
os.environ.setdefault("HEMLOCKWARD_BIN", str(ROOT / "target" / "bin"))

import soak  # noqa: E402
import users_platform as platform  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = 20.0


class NotRun(Exception):
    """The case didn't get to the point that it tests."""


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


class Play(soak.Soak):
    """The deployment, without faults of its own."""

    def __init__(self, record, nodes=3, machines=9):
        super().__init__(seed=1, seconds=0, nodes=nodes, machines=machines)
        self.record = record
        self.world.unguarded.clear()
        self.stopping = False

    def begin(self):
        threading.Thread(target=self.tick, daemon=True).start()
        for node in self.nodes:
            node.start()

    def end(self):
        self.stopping = True
        for node in self.nodes:
            if node.alive():
                node.kill()
        self.links.stop()

    def call(self, node, method, path, body=None, deadline_ms=3000):
        """One client request: (status, body), or (0, "") without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=deadline_ms / 1000 + 1)
        try:
            connection.request(method, path, body, {
                "Host": "jobs.example", "Content-Type": "application/json",
                "Hemlockward-Deadline-Ms": str(deadline_ms)})
            answer = connection.getresponse()
            reply = answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            reply = 0, ""
        finally:
            connection.close()
        self.record(f"client {node.name} {method} {path} -> {reply[0]} {reply[1]}")
        return reply

    def submit(self, job_id, steps, queue="q-a", attempts=3, **more):
        """Hands a job in until it is accepted."""
        lasting = any(it.get("daemon") for it in steps)
        job = platform.Job(steps, f"payload {job_id}", attempts, lasting=lasting)
        self.world.jobs[job_id] = job
        body = json.dumps({"task_spec": job.spec, "steps": steps} | more)
        self.until(f"{job_id} is accepted",
                   lambda: self.call(self.nodes[0], "POST", f"/{queue}/{job_id}", body)[0] == 200)
        return job

    def until(self, what, done, limit_s=START_S):
        end = time.monotonic() + limit_s
        while not done():
            if time.monotonic() > end:
                raise NotRun(f"waited {limit_s} s until {what}")
            time.sleep(0.02)


def run(folder, main, arrange=None, **size):
    """Plays a case, writes record.txt into its folder and returns the exit code of its script. `arrange(play)` is
    called before the nodes start."""
    tempfile.tempdir = tempfile.mkdtemp(prefix="review-")
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble {'on' if TROUBLE else 'off'}")
    play = None
    try:
        play = Play(record, **size)
        if arrange:
            arrange(play)
        play.begin()
        broken = main(play)
    except NotRun as e:
        record(f"not run: {e}")
        print(f"not run: {e}")
        return NOT_RUN
    except Exception:  # pylint: disable=broad-except
        record(traceback.format_exc())
        traceback.print_exc()
        return NOT_RUN
    finally:
        if play:
            play.end()
        shutil.rmtree(tempfile.tempdir, ignore_errors=True)
    record(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD
