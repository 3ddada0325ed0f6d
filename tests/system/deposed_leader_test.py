"""A leader cut off from the store denies no job that its successor has accepted.

Usage: deposed_leader_test.py (with HEMLOCKWARD_BIN set)
"""

import http.client
import json
import pathlib
import sys
import time

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak

START_S = 20.0
JOB = "/q-a/00000000000000aa"
BODY = json.dumps({"task_spec": "text", "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 500}]})


def call(node, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=4)
    try:
        connection.request(method, path, body, {
            "Host": "jobs.example", "Content-Type": "application/json", "Hemlockward-Deadline-Ms": "3000"})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def until(what, done):
    end = time.monotonic() + START_S
    while not done():
        assert time.monotonic() < end, f"waited {START_S} s until {what}"
        time.sleep(0.05)


def main():
    play = soak.Soak(seed=1, seconds=0, nodes=3, machines=3)
    try:
        for node in play.nodes:
            node.start()
        until("a node leads", lambda: call(play.nodes[0], "POST", JOB[:-1] + "0", BODY) == 200)
        deposed = play.leader()
        others = [it for it in play.nodes if it is not deposed]
        deposed.link.held = {"to", "from"}
        until("another node leads", lambda: play.leader() is not deposed)
        until("it accepts a job", lambda: call(others[0], "POST", JOB, BODY) == 200)
        asked = [call(deposed, method, JOB) for method in ("GET", "DELETE")]
        assert 410 not in asked, f"the deposed leader {deposed.name} answers {asked} for an accepted job"
        assert call(others[1], "GET", JOB) == 200
        assert call(others[1], "GET", JOB[:-1] + "f") == 410, "a job that doesn't exist is known"
    finally:
        for node in play.nodes:
            if node.alive():
                node.kill()
        play.links.stop()
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
