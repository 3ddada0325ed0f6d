"""A new leader loads what is stored although the store loses every third answer to its reads.

Usage: lost_answers_test.py (with HEMLOCKWARD_BIN set)
"""

import json
import pathlib
import sys
import time

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak
from deposed_leader_test import BODY, call, until

JOBS = 1200  # More than one page of 500 rows.
SHARED_TABLES = {"lead", "op", "servers"}
LOAD_S = 10.0


def lose_every_third(store):
    """The reads of the leader's own tables only."""
    read = store.read
    count = 0

    def read_or_lose(query):
        nonlocal count
        if query["table"] in SHARED_TABLES:
            return read(query)
        count += 1
        return None if count % 3 == 0 else read(query)

    store.read = read_or_lose


def main():
    play = soak.Soak(seed=1, seconds=0, nodes=2, machines=3)
    try:
        for node in play.nodes:
            node.start()
        job = "/q-a/00000000000000aa"
        until("a node leads", lambda: call(play.nodes[0], "POST", job, BODY) == 200)
        for i in range(JOBS):
            row = json.dumps({"state": "completed", "queue": "q-a"})
            play.world.store.put("progress", "main", f"{i:016x}", row)
        first = play.leader()
        second = next(it for it in play.nodes if it is not first)
        lose_every_third(play.world.store)
        first.kill()
        until("the next node leads", lambda: play.leader() is second)
        begin = time.monotonic()
        loaded = False
        while not loaded and time.monotonic() - begin < LOAD_S:
            loaded = call(second, "GET", job) == 200
        assert loaded, f"{second.name} hasn't loaded the accepted job {LOAD_S} s after it took the lease"
        for i in range(0, JOBS, 100):
            assert call(second, "GET", f"/q-a/{i:016x}") == 200, f"job {i:016x} isn't known"
        print(f"loaded after {time.monotonic() - begin:.1f} s")
    finally:
        for node in play.nodes:
            if node.alive():
                node.kill()
        play.links.stop()
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
