"""Checks that a configuration is in force on time and that none comes back (CONFIG)."""

import http.client
import random
import threading
import time

import users_platform as platform

APPLY_S = 2.0
BACK_S = 0.25
BACK_SLOWED_S = 8 * BACK_S
PAUSE_S = 0.02
PATH = "/q-extra/"
SLOW_S = 0.25  # A call to the store takes 5 ms.


class Probe(threading.Thread):
    """Calls the store on new connections: a stand-in that doesn't answer is a store that is down."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak
        self.server = platform.serve(
            lambda method, path, query, body, headers: soak.world.store.read({"table": "lead"}))
        self.link = soak.links.add(self.server.server_address[1])
        self.begun = None  # Of the call in progress.

    def is_disturbed(self):
        begun = self.begun
        return begun is not None and time.monotonic() - begun > SLOW_S

    def run(self):
        while not self.soak.stopping:
            self.begun = time.monotonic()
            connection = http.client.HTTPConnection("127.0.0.1", self.link.port, timeout=4)
            try:
                connection.request("GET", "/")
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            took = time.monotonic() - self.begun
            self.begun = None
            if took > SLOW_S and not self.soak.stopping:
                self.soak.disturb_all()
                self.soak.log_fault(f"store_stalled {took:.2f} s")
            time.sleep(PAUSE_S)


class Watch(threading.Thread):
    """Asks nodes in turn for a route that only some configurations have."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(f"configuration watch {soak.seed}")
        self.written = []  # (sent, acknowledged, has the route), oldest first.
        self.proven = {}  # By process: (oldest configuration that it may still answer by, time).

    def put(self, has_route, write):
        """Writes a configuration with `write`."""
        sent = time.monotonic()
        with self.soak.world.lock:
            write()
            self.written.append((sent, time.monotonic(), has_route))

    def ask(self, node):
        connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=4)
        try:
            connection.request("GET", PATH, headers={"Host": "jobs.example"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def check(self, node):
        world, process = self.soak.world, node.process
        in_touch = world.is_in_touch(node.name) and not self.soak.probe.is_disturbed()
        sent = time.monotonic()
        status = self.ask(node)
        if status not in (200, 404) or node.process is not process:
            return
        in_touch = in_touch and not self.soak.probe.is_disturbed()
        self.soak.count(f"watched {status} {'in touch' if in_touch else ''}")
        with world.lock:
            answers = [i for i, it in enumerate(self.written) if it[2] == (status == 200)]
            due = max((i for i, it in enumerate(self.written) if it[1] < sent - APPLY_S), default=0)
        if in_touch and not any(i >= due for i in answers):
            world.note("CONFIG", f"{node.name} answers {status} by a configuration before number {due}")
        oldest, since = self.proven.get(process, (0, sent))
        possible = [i for i in answers if i >= oldest]
        if possible:
            if min(possible) > oldest:
                self.proven[process] = (min(possible), time.monotonic())
        elif sent > since + (BACK_S if in_touch else BACK_SLOWED_S):
            world.note("CONFIG", f"{node.name} answers {status} after it had number {oldest}")

    def run(self):
        while not self.soak.settling and not self.soak.stopping:
            node = self.random.choice(self.soak.nodes)
            if node.alive():
                self.check(node)
            time.sleep(PAUSE_S)
