"""The store of the users' platform: rows, transactions, the feed of changes, and its faults."""

import base64
import json
import random
import threading
import time

HISTORY_ROWS = 4000
PAGE_ROWS = 500
CALL_ENTRIES = 100
CALL_BYTES = 1_000_000
ROW_BYTES = 65536
LEASE = ("lead", "main", "lease")  # The row that names the leader.
USUAL_DELAY_S = 0.003


class Store:
    """The rows, their versions and history; the faults that its callers may see."""

    def __init__(self, world):
        self.world = world
        self.changed = threading.Condition(world.lock)
        self.rows = {}
        self.version = 0
        self.history = []
        self.forgotten = 0
        self.fault = ""  # "", "busy", "silent", "reset"
        self.fault_nodes = None  # None: all nodes.
        self.delay_s = USUAL_DELAY_S
        self.lost_answers = 0.0
        self.late_writes = 0.0
        self.refusal = 0  # The status that refused nodes get.
        self.refused_nodes = None  # None: all nodes.
        self.holders = []  # Of the lease: (version, node), from each version on.

    def is_disturbed(self):
        return bool(self.fault or self.refusal or self.lost_answers or self.late_writes or
                    self.delay_s > USUAL_DELAY_S)

    def holder(self, fence):
        """The node whose orders carry that fence."""
        return next((node for version, node in reversed(self.holders) if version <= fence), None)

    def put(self, table, part, key, value):
        """A write of the platform's own."""
        with self.changed:
            self.version += 1
            self._apply([(table, part, key, value)], [])

    def _apply(self, writes, removed):
        for table, part, key, value in writes:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
            if (table, part, key) == LEASE:
                holder = json.loads(value)["holder"]
                if not self.holders or self.holders[-1][1] != holder:
                    self.holders.append((self.version, holder))
        for table, part, key in removed:
            if self.rows.pop((table, part, key), None) is not None:
                self.history.append((self.version, table, part, key, None))
        while len(self.history) > HISTORY_ROWS:
            self.forgotten = self.history.pop(0)[0]
        self.changed.notify_all()

    def drop(self, table, key):
        with self.changed:
            self.version += 1
            self._apply([], [(table, "", key)])

    def forget_history(self):
        with self.changed:
            self.history.clear()
            self.forgotten = self.version

    def _row(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value.encode()).decode()}

    def _answer(self, rows, more=False):
        now_ms = int(self.world.now() * 1000) + 5_000_000
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, "more_pages": more}

    def transact(self, body):
        with self.changed:
            current = []
            holds = True
            for it in body.get("expected_rev", []):
                key = (it["table"], it.get("part", ""), it["key"])
                value, version = self.rows.get(key, (None, 0))
                holds = holds and version == it["ver"]
                if version:
                    current.append(self._row(*key, value, version))
            if not holds:
                return 412, self._answer(current)
            writes, removed = [], []
            if sum(len(it["value"]) + len(it["key"]) for it in body.get("writes", [])) > CALL_BYTES:
                return 400, {}
            for it in body.get("writes", []):
                value = base64.b64decode(it["value"]).decode()
                if len(value) > ROW_BYTES:
                    return 400, {}
                writes.append((it["table"], it.get("part", ""), it["key"], value))
            for it in body.get("remove", []):
                removed.append((it["table"], it.get("part", ""), it["key"]))
            if any(it[0] in ("op", "servers") for it in writes + removed):
                return 403, {}
            if len(writes) + len(removed) + len(body.get("expected_rev", [])) > CALL_ENTRIES:
                return 400, {}
            self.version += 1
            self._apply(writes, removed)
            self._check_status(writes)
            return 200, self._answer([])

    def _check_status(self, writes):
        for table, _, key, value in writes:
            if table != "status" or '"completed"' not in value:
                continue
            order = json.loads(self.rows["op", "", key][0])
            for name in order["machines"]:
                machine = self.world.machines.get(name)
                if machine and order["wave"] not in machine.upkeeps:
                    self.world.note("MIXED", f"{key} completed, {name} has not begun")

    def read(self, query):
        with self.changed:
            table, part = query["table"], query.get("part", "")
            keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part))
            keys = [k for k in keys if k >= query.get("from", "")]
            page = keys[:PAGE_ROWS]
            rows = [self._row(table, part, k, *self.rows[table, part, k]) for k in page]
            return 200, self._answer(rows, len(keys) > len(page))

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self.changed:
            while True:
                if after < self.forgotten:
                    return 410, {}
                rows = [self._row(*it[1:], it[0]) for it in self.history
                        if it[0] > after and it[1] == table]
                left = until - time.monotonic()
                if len(rows) > PAGE_ROWS:  # The rest comes when the caller resumes from `ver`.
                    rows = rows[:PAGE_ROWS]
                    return 200, self._answer(rows) | {"ver": rows[-1]["ver"]}
                if rows or left <= 0 or self.fault:
                    return 200, self._answer(rows)
                self.changed.wait(min(left, 0.5))

    def serve(self, node, method, path, query, body):
        """A node's call; None: the connection ends without an answer."""
        if self.refusal and (self.refused_nodes is None or node in self.refused_nodes):
            return self.refusal, {}
        hit = self.fault and (self.fault_nodes is None or node in self.fault_nodes)
        if hit and self.fault == "busy":
            return 503, {}
        if hit and self.fault == "silent":
            time.sleep(2)
        if hit:
            return None
        time.sleep(self.delay_s)
        if path == "/v1/rows-get":
            return self.read(query)
        if path == "/v1/rows-feed":
            return self.feed(query)
        if path != "/v1/rows-tx":
            return 404, {}
        if self.world.random.random() < self.late_writes:
            threading.Timer(self.world.random.uniform(0.3, 3), self.transact, [body]).start()
            return None
        answer = self.transact(body)
        return None if self.world.random.random() < self.lost_answers else answer
