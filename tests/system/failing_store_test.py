"""A job is not refused when the store has applied its transaction and then answered with an error.

Usage: failing_store_test.py (with HEMLOCKWARD_BIN set)
"""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parent.parent / "soak"))
import soak
from deposed_leader_test import BODY, call, until

STATUSES = (500, 502, 504, 507)


def fail_after_applying(store, statuses):
    """Answers each transaction that stores a job with the next status, after applying it."""
    transact = store.transact

    def transact_and_fail(body):
        answer = transact(body)
        stores_job = any(it["table"] == "jobs" for it in body.get("writes", []))
        return (statuses.pop(0), {}) if statuses and stores_job and answer[0] == 200 else answer

    store.transact = transact_and_fail


def main():
    play = soak.Soak(seed=1, seconds=0, nodes=1, machines=3)
    node = play.nodes[0]
    try:
        node.start()
        until("the node leads", lambda: call(node, "POST", "/q-a/00000000000000aa", BODY) == 200)
        statuses = list(STATUSES)
        fail_after_applying(play.world.store, statuses)
        for i, status in enumerate(STATUSES):
            answer = call(node, "POST", f"/q-a/{i:016x}", BODY)
            assert answer == 200, f"a job that is stored is answered {answer} after the store's {status}"
        assert not statuses, "the store didn't fail"
    finally:
        if node.alive():
            node.kill()
        play.links.stop()
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
