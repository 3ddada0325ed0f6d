"""An operator's change is in force on every node 2 s after its acknowledgement, by nodes that have been in touch for 3 s.

Usage: silent_operator_feed_test.py feeds|connections|leader (with HEMLOCKWARD_BIN set)
feeds: the calls in progress on which the nodes await changes never end; later ones do.
connections: all open connections to the store go silent for good; new ones work.
leader: the leader can't read the operator's rows at all; it may answer nothing from its older configuration.
"""

import http.client
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

import soak  # noqa: E402

CONTACT_S = 3.0
CHANGE_S = 0.8  # From the silence to the change: it is due to be in force when the nodes are in touch.
WARM_UP_S = 2.0
FEED_S = 0.15  # Until the nodes whose calls work have the change.


def status_of(node, path):
    connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=4)
    connection.request("GET", path, headers={"Host": "jobs.example"})
    return connection.getresponse().status


def main():
    day = soak.Soak(1, 30, nodes=3, machines=9)
    store = day.world.store
    silent = threading.Event()
    real_feed = store.feed

    def feed(query):
        begun_before = not silent.is_set()
        answer = real_feed(query)
        if sys.argv[1] == "feeds" and begun_before and silent.is_set():
            time.sleep(60)
        return answer

    def serve(node, method, path, query, body):
        answer = real_serve(node, method, path, query, body)
        if sys.argv[1] == "leader" and query.get("table") == "op" and silent.is_set():
            while node == leader:
                time.sleep(1)
        return answer

    real_serve, leader = store.serve, None
    store.serve = serve
    store.feed = feed
    day.stopping = False
    threading.Thread(target=day.tick, daemon=True).start()
    for node in day.nodes:
        node.start()
    try:
        time.sleep(WARM_UP_S)
        for node in day.nodes:
            assert status_of(node, "/q-a/") == 200, f"{node.name} isn't up"
        leader = day.leader().name
        silent_since = time.monotonic()
        silent.set()
        if sys.argv[1] == "connections":
            for node in day.nodes:
                node.link.silence()
        time.sleep(CHANGE_S)
        row = json.loads(store.rows["op", "", "config"][0])
        row["version"] += 3
        row["routes"].append(row["routes"][0] | {"name": "q-added", "path_prefix": "/q-added/"})
        store.put("op", "", "config", json.dumps(row))
        if sys.argv[1] == "leader":
            time.sleep(FEED_S)
            early = {it.name: status_of(it, "/q-added/") for it in day.nodes if it.name != leader}
            assert 404 not in early.values(), f"{early}, led by {leader}; logs: {day.dir}"
        time.sleep(silent_since + CONTACT_S - time.monotonic())
        statuses = {it.name: status_of(it, "/q-added/") for it in day.nodes}
    finally:
        day.stopping = True
        for node in day.nodes:
            node.kill()
        day.links.stop()
    assert set(statuses.values()) == {200}, f"{CONTACT_S} s after the silence: {statuses}; logs: {day.dir}"
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
