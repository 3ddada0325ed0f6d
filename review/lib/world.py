"""Stand-ins of the users' platform for the review: store, workers, machines, operator, clients.

They follow PROTOCOL.md; where that page is silent they behave like a sound server. One process, one
event loop, loopback only. Everything that is sent, answered and run goes into record.txt.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the deployment pasitos-central, as its sheet gives them.
BOUNDS = {
    "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "hold_max_ms": 6000, "lease_ms": 3000,
    "migrate_s": 1.5, "maintenance_s": 2, "stop_grace_ms": 400, "cancel_ms": 3000, "ack_ms": 4000,
    "contact_ms": 3000, "visible_ms": 3000, "finish_s": 14,
}
HEARTBEAT_S = 1.5
ROW_BYTES = 65536  # DEPLOY.md, row_bytes
CALL_BYTES = 1_000_000  # PROTOCOL.md: a call holds at most 100 entries and at most 1 MB
CALL_ENTRIES = 100
PAGE_ROWS = 500
MOST_ENDS = 500  # PROTOCOL.md: "The others are returned again (500 at a time)."
STORE_S = 0.004
TX_S = 0.005
HOST = "jobs.example"
CONNECTIONS = 64  # SYSTEM.md: "8 slots and 64 connections each"
FENCED = ("/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace")
NO_ANSWER = object()


class Record:
    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.begin = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, event, /, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {text}\n")

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self("BROKEN", rule=rule, what=text)


class Server:
    """HTTP/1.1 on a free loopback port; `app(method, path, query, body, headers)` answers.

    With `most`, so many connections may be open at a time; another one is reset.
    """

    def __init__(self, app, most=None):
        self.app = app
        self.most = most
        self.writers = {}  # Open connections; the newest fencing token sent on each.
        self.held = 0  # Connections whose far end lost power: open here, and silent.
        self.resets = 0
        self.port = 0
        self.listener = None

    def open_connections(self):
        return len(self.writers) + self.held

    def lose_peer(self, fences):
        """The machine that used these fencing tokens loses power: no packet tells this end of it."""
        for writer, fence in list(self.writers.items()):
            if fence in fences:
                self.writers.pop(writer)
                self.held += 1

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def close(self):
        """Ends like a process that dies: its connections break, new ones are refused."""
        if self.listener:
            self.listener.close()
            self.listener = None
        self.held = 0
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.most is not None and self.open_connections() >= self.most:
            self.resets += 1
            linger = struct.pack("ii", 1, 0)  # Makes the close a reset.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        self.writers[writer] = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length") or 0))
                path, _, query = target.partition("?")
                if writer in self.writers and path in FENCED:
                    self.writers[writer] = json.loads(raw).get("fencing_token")
                answer = await self.app(method, path, dict(urllib.parse.parse_qsl(query)), raw, headers)
                if answer is NO_ANSWER:
                    return
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller went away.
        finally:
            self.writers.pop(writer, None)
            writer.close()


class Store:
    """The platform's metadata store: rows, transactions, the feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.parts = {}
        self.refused = {}  # Transactions that were refused, by reason.
        self.down = False  # Answers 503 to every call.
        self.fences = {}  # By node: the fencing tokens that it has had.

    async def start(self):
        self.server = await Server(self.serve).start()

    def now_ms(self):
        return int(self.record.now() * 1000) + 5_000_000

    def _row(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _answer(self, rows, more=False):
        return {"rows": rows, "ver": self.version, "now_ms": self.now_ms(), "more_pages": more}

    async def _apply(self, writes, removed):
        self.version += 1
        for table, part, key, value in writes:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
            if (table, part, key) == ("lead", "main", "lease"):
                self.fences.setdefault(json.loads(value)["holder"], set()).add(self.version)
        for key in removed:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, *key, None))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, body):
        """A write of the operator or of a worker."""
        await self._apply([(table, "", key, json.dumps(body).encode())], [])

    async def drop(self, table, key):
        await self._apply([], [(table, "", key)])

    def _refuse(self, why):
        self.refused[why] = self.refused.get(why, 0) + 1
        self.record("store_refuses", why=why)
        return 400, {"error": why}

    async def transact(self, raw):
        body = json.loads(raw)
        entries = [body.get(it, []) for it in ("expected_rev", "writes", "remove")]
        if sum(map(len, entries)) > CALL_ENTRIES:
            return self._refuse("entries")
        if len(raw) > CALL_BYTES:
            return self._refuse("call_bytes")
        writes, removed = [], []
        for it in body.get("writes", []):
            value = base64.b64decode(it["value"])
            if len(value) > ROW_BYTES:
                return self._refuse(f"row_bytes table={it['table']} bytes={len(value)}")
            writes.append((it["table"], it.get("part", ""), it["key"], value))
        for it in body.get("remove", []):
            removed.append((it["table"], it.get("part", ""), it["key"]))
        if any(it[0] in ("op", "servers") for it in writes + removed):
            return 403, {}
        if len({it[1] for it in writes + removed}) > 1:
            return self._refuse("parts")
        part = (writes + removed)[0][1] if writes or removed else ""
        async with self.parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            current, holds = [], True
            for it in body.get("expected_rev", []):
                key = (it["table"], it.get("part", ""), it["key"])
                value, version = self.rows.get(key, (None, 0))
                holds = holds and version == it["ver"]
                if version:
                    current.append(self._row(*key, value, version))
            if not holds:
                return 412, self._answer(current)
            await self._apply(writes, removed)
            return 200, self._answer([])

    def read(self, query):
        where = (query["table"], query.get("part", ""))
        keys = sorted(k for t, p, k in self.rows if (t, p) == where and k >= query.get("from", ""))
        page, size = [], 0
        for key in keys[:PAGE_ROWS]:
            row = self._row(*where, key, *self.rows[where[0], where[1], key])
            size += len(row["value"])
            if page and size > CALL_BYTES:
                break
            page.append(row)
        return 200, self._answer(page, len(keys) > len(page))

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [self._row(*it[1:], it[0]) for it in self.history if it[0] > after and it[1] == table]
            if len(rows) > PAGE_ROWS:
                rows = rows[:PAGE_ROWS]
                return 200, self._answer(rows) | {"ver": rows[-1]["ver"]}
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(rows)
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.down:
                return 503, {}

    async def serve(self, method, path, query, raw, headers):
        await asyncio.sleep(STORE_S)
        if self.down:
            return 503, {}
        if path == "/v1/rows-get":
            return self.read(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        if path == "/v1/rows-tx":
            return await self.transact(raw)
        return 404, {}

    async def outage(self, for_s):
        self.record("store_down", for_s=for_s)
        self.down = True
        async with self.changed:
            self.changed.notify_all()
        await asyncio.sleep(for_s)
        self.down = False
        self.record("store_up")

    def lease(self):
        row = self.rows.get(("lead", "main", "lease"))
        return json.loads(row[0]) if row else None


class Run:
    def __init__(self, number, length_s, cpu, mem_mb):
        self.number = number
        self.began = time.monotonic()
        self.ends_at = None if length_s is None else self.began + length_s
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.stops_at = None


class Life:
    """One incarnation of a worker."""

    def __init__(self, machine, worker_id):
        self.machine = machine
        self.world = machine.world
        self.id = worker_id
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.clock_base = self.world.random.randrange(1_000_000)
        self.fence = 0
        self.lease_end = 0
        self.active = {}
        self.ended = []  # [number, task, run, how, saved]
        self.next_end = 1
        self.barred = {}
        self.ended_event = asyncio.Event()
        self.lapses = 0
        self.seq = 0

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.began) * 1000)

    def end(self, task, how):
        run = self.active.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, ""])
        self.world.on_end(self, task, run, how, self.next_end)
        self.next_end += 1
        self.ended_event.set()

    def tick(self):
        now = time.monotonic()
        if self.clock() > self.lease_end and self.active:
            self.lapses += 1
            for task in list(self.active):
                self.end(task, "lapsed")
        for task, run in list(self.active.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(task, "stopped")
            elif run.ends_at is not None and now >= run.ends_at:
                self.end(task, self.world.outcome(self, task, run))

    def _deadline(self, body):
        if body.get("deadline_ms"):
            latest = self.clock() + BOUNDS["hold_max_ms"]
            self.lease_end = max(self.lease_end, min(body["deadline_ms"], latest))

    def _reply(self, status=200, reason=None, **more):
        body = {"clock_ms": self.clock()} | more
        return status, body | ({"reason": reason} if reason else {})

    def _fenced(self, body):
        if body.get("fencing_token", 0) < self.fence:
            return True
        self.fence = body.get("fencing_token", 0)
        return False

    def start(self, body):
        task, number = body["task"], body["run"]
        if self._fenced(body):
            return self._reply(409, "fence")
        if body["deadline_ms"] <= self.clock():
            return self._reply(409, "late")
        self._deadline(body)
        there = self.active.get(task)
        if there and there.number == number:
            return self._reply()
        if there or number <= self.barred.get(task, 0):
            return self._reply(409, "old")
        job = self.world.jobs.get(task.split(".")[0])
        if job is None:
            self.world.record.breaks("UNASKED", f"{task} was not submitted")
            return self._reply(400)
        step = job["steps"][int(task.split(".")[2])]
        room = self.machine.capacity
        used_cpu = sum(it.cpu for it in self.active.values())
        used_mem = sum(it.mem_mb for it in self.active.values())
        if used_cpu + step["cpu"] > room["cpu"] or used_mem + step["mem_mb"] > room["mem_mb"]:
            return self._reply(409, "room")
        run = Run(number, self.world.length_s(task, step), step["cpu"], step["mem_mb"])
        self.active[task] = run
        self.world.on_start(self, task, run, body)
        return self._reply()

    def stop(self, body):
        if self._fenced(body):
            return self._reply(409, "fence")
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.active.get(task)
        if run and run.number <= number and run.stops_at is None:
            self.world.on_stopping(self, task, run)
            run.stops_at = time.monotonic() + BOUNDS["stop_grace_ms"] / 2000
        return self._reply()

    async def hold(self, body):
        if self._fenced(body):
            return self._reply(409, "fence")
        self._deadline(body)
        last_seen = body.get("last_seen", 0)
        for end in self.ended:
            if end[0] <= last_seen:
                self.world.on_noted(self, end)
        self.ended = [it for it in self.ended if it[0] > last_seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.ended_event.clear()
            try:
                await asyncio.wait_for(self.ended_event.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        active = []
        for task, run in self.active.items():
            if run.ends_at is None:  # Lasts; at work after a short startup.
                percent = min(100, int((now - run.began) / self.world.startup_s * 100))
            else:
                percent = min(99, int((now - run.began) / max(0.001, run.ends_at - run.began) * 100))
            active.append([task, run.number, "", percent, run.cpu])
        listed = self.ended[:MOST_ENDS]
        return self._reply(born=self.born, active=active, ended_runs=listed)


class Machine:
    def __init__(self, world, number, pool, rack, capacity):
        self.world = world
        self.name = f"m-{number:02d}"
        self.pool = pool
        self.rack = rack
        self.capacity = capacity
        self.state = "up"
        self.life = None
        self.lives = 0
        self.server = Server(self.serve, CONNECTIONS)
        self.beat_at = 0.0
        self.back_at = None

    async def bring_up(self):
        self.lives += 1
        self.state, self.back_at, self.beat_at = "up", None, 0.0
        self.life = Life(self, f"i-{self.world.random.getrandbits(40):010x}")
        self.world.record("worker_up", machine=self.name, id=self.life.id)
        await self.server.start(self.server.port)

    def crash(self, back_s):
        """The worker ends without a word; its machine has another one `back_s` later."""
        self.world.record("worker_crashes", machine=self.name, id=self.life.id, runs=len(self.life.active))
        self.server.close()
        gone, self.life = self.life, None
        self.state = "down"
        self.back_at = None if back_s is None else time.monotonic() + back_s
        self.world.later(3 * HEARTBEAT_S, self._forget, gone.id)
        return gone

    async def _forget(self, worker_id):
        await self.world.store.drop("servers", worker_id)

    async def tick(self):
        now = time.monotonic()
        if self.back_at is not None and now >= self.back_at:
            await self.bring_up()
        if self.life is None:
            return
        self.life.tick()
        if now - self.beat_at >= HEARTBEAT_S:
            self.beat_at = now
            self.life.seq += 1
            await self.world.store.put("servers", self.life.id, {
                "service": self.pool, "address": f"127.0.0.1:{self.server.port}", "zone": "cr-central-a",
                "version": "1", "slots": 8, "cold_left_ms": 0, "seq": self.life.seq, "state": "ready",
                "born": self.life.born, "labels": ["k-a", self.rack], "machine": self.name,
                "capacity": self.capacity})

    def listing(self):
        return {"machine": self.name, "pool": self.pool, "state": self.state, "zone": "cr-central-a",
                "labels": ["k-a", self.rack], "capacity": self.capacity,
                "id": self.life.id if self.life else ""}

    async def serve(self, method, path, query, raw, headers):
        life = self.life
        if life is None:
            return NO_ANSWER
        if headers.get("hemlockward-expect-instance", life.id) != life.id:
            return 421, {"clock_ms": life.clock()}
        body = json.loads(raw)
        if path == "/v1/run-start":
            answer = life.start(body)
            self.world.record("start", worker=life.id, task=body["task"], run=body["run"],
                              fence=body.get("fencing_token"), status=answer[0],
                              reason=answer[1].get("reason", ""))
        elif path == "/v1/run-stop":
            answer = life.stop(body)
            self.world.record("stop", worker=life.id, task=body["task"], run=body["run"],
                              fence=body.get("fencing_token"), status=answer[0])
        elif path == "/v1/hold":
            answer = await life.hold(body)
            ended = answer[1].get("ended_runs", [])
            if ended or body.get("last_seen"):
                self.world.record("hold", worker=life.id, fence=body.get("fencing_token"),
                                  last_seen=body.get("last_seen", 0), status=answer[0], listed=len(ended),
                                  kept=len(life.ended), active=len(answer[1].get("active", [])))
        elif path == "/v1/pace":
            answer = life._reply()
        else:
            answer = 404, {}
        return answer if self.life is life else NO_ANSWER


class Node:
    """One hemlockward-node, started with the command and the template of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-cr-central-{'abcd'[number % 4]}-{number // 4 + 1}"
        self.front, self.readiness, self.peer = (world.free_port() for _ in range(3))
        self.process = None
        self.file = world.folder / f"{self.name}.yaml"
        fields = {
            "node_name": self.name, "zone": f"cr-central-{'abcd'[number % 4]}", "ip": "127.0.0.1",
            "listen_addrs": {"front": f"127.0.0.1:{self.front}", "readiness": f"127.0.0.1:{self.readiness}"},
            "port_range": [self.peer, self.peer], "bounds": BOUNDS, "advice": "",
            "platform": {"address": f"127.0.0.1:{world.store.server.port}"},
            "cloud_api": {"address": f"127.0.0.1:{world.cloud.port}", "duty_per_s": 64.0},
            "limits": {"max_fds": 4100, "cpu_share": 0.25, "link_mbps": 1000.0},
        }

        def value(match):
            it = fields
            for part in match.group(1).split("."):
                it = it[int(part)] if isinstance(it, list) else it[part]
            return str(it)

        template = (ROOT / "deploy/node.yaml.template").read_text()
        self.file.write_text(re.sub(r"\{\{([^}]+)\}\}", value, template))

    async def start(self):
        command = re.search(r'run = "([^"]+)"', (ROOT / "deploy/system.toml").read_text()).group(1).split()
        words = [str(self.file) if it == "/etc/hemlockward/node.toml" else it for it in command]
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.world.record("node_starts", node=self.name, pid=self.process.pid)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        self.world.record("signal", node=self.name, signal=signal.Signals(number).name)
        if self.alive():
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def lose_power(self, dark_s):
        """The machine goes without a word to anybody, and its process starts again `dark_s` later."""
        self.world.record("power_lost", node=self.name, dark_s=dark_s)
        for machine in self.world.machines:
            machine.server.lose_peer(self.world.store.fences.get(self.name, ()))
        await self.kill()
        self.world.later(dark_s, self.start)


class World:
    """The platform, the system's processes and the clients of one case."""

    startup_s = 0.7

    def __init__(self, folder, seed=1, machines=8, nodes=6, rack=4):
        self.random = random.Random(seed)
        self.record = Record(pathlib.Path(folder))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machine_count, self.node_count, self.rack = machines, nodes, rack
        self.jobs = {}
        self.tasks = set()
        self.port = 21000 + os.getpid() % 300 * 30
        self.stopping = False

    def free_port(self):
        while True:
            self.port += 1
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind(("127.0.0.1", self.port))
                    return self.port
                except OSError:
                    pass  # Another process serves there.

    # What a case may replace.
    def length_s(self, task, step):
        return None if step.get("daemon") else step["est_runtime_ms"] / 1000

    def outcome(self, life, task, run):
        return "done"

    def on_start(self, life, task, run, body):
        pass

    def on_end(self, life, task, run, how, number):
        self.record("ended", worker=life.id, task=task, run=run.number, how=how, number=number)

    def on_stopping(self, life, task, run):
        pass

    def on_noted(self, life, end):
        pass

    # Running it.
    def later(self, after_s, action, *args):
        async def wait():
            await asyncio.sleep(after_s)
            await action(*args)

        task = asyncio.ensure_future(wait())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _tick(self):
        while not self.stopping:
            for machine in self.machines:
                await machine.tick()
            await asyncio.sleep(0.01)

    async def _cloud(self, method, path, query, raw, headers):
        """The machines' service. There is one pool, so nothing is ever moved."""
        if path == "/v1/machines":
            return 200, {"machines": [it.listing() for it in self.machines], "next_token": ""}
        return 409, {"reason": "busy"}

    async def open(self):
        self.store = Store(self.record)
        await self.store.start()
        self.cloud = await Server(self._cloud).start()
        capacity = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
        self.machines = [Machine(self, i, "fitting-bench", f"r-{i // self.rack}", capacity)
                         for i in range(self.machine_count)]
        for it in self.machines:
            await it.bring_up()
        await self.store.put("op", "config", {
            "version": 3,
            "routes": [{"name": "scan-size", "host": HOST, "path_prefix": "/scan/", "service": "fitting-bench",
                        "priority": 0, "attempts": 3, "stretch": 1.6, "target_duration_ms": 600}],
            "services": [{"name": "fitting-bench", "enforces_capacity": True}], "limits": {}})
        self.ticker = asyncio.ensure_future(self._tick())
        self.nodes = [Node(self, i) for i in range(self.node_count)]
        for it in self.nodes:
            await it.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            if self.leader() and all([await self._ready(it) for it in self.nodes]):
                await asyncio.sleep(2)
                return
        raise RuntimeError("the nodes are not ready")

    async def _ready(self, node):
        answer = await self.request(node.readiness, "GET", "/v1/ready", None, 1)
        return answer is not None and answer[0] == 200

    async def close(self):
        self.stopping = True
        for it in self.nodes:
            if it.alive():
                await it.kill()
        self.ticker.cancel()
        for it in self.tasks:
            it.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self):
        lease = self.store.lease()
        return next((it for it in self.nodes if lease and it.name == lease["holder"]), None)

    # Clients.
    async def request(self, port, method, path, body, limit_s):
        """One attempt; (status, body, Retry-After in s), or None without a whole answer."""

        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
                             f"Hemlockward-Deadline-Ms: {int(limit_s * 1000)}\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(re.search(r"(?i)content-length: *(\d+)", head).group(1))
                wait = re.search(r"(?i)retry-after: *(\d+)", head)
                data = await reader.readexactly(length)
                return int(head.split(" ")[1]), data, float(wait.group(1)) if wait else 0.0
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), limit_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None

    async def call(self, method, path, body=None, limit_s=3.0):
        """One attempt at a node that is up."""
        node = self.random.choice([it for it in self.nodes if it.alive()])
        begin = self.record.now()
        answer = await self.request(node.front, method, path, body, limit_s)
        status, data = (answer[0], answer[1][:80].decode()) if answer else ("none", "")
        self.record("client", method=method, path=path, node=node.name, sent=f"{begin:.3f}", status=status,
                    answer=data)
        return answer

    async def submit(self, job, tries=5):
        """Hands a job in as clients do, with four retries; its id if accepted, else None."""
        job_id = f"{self.random.getrandbits(64):016x}"
        self.jobs[job_id] = job
        for _ in range(tries):
            answer = await self.call("POST", f"/scan/{job_id}", job)
            if answer and answer[0] // 100 == 2:
                return job_id
            if answer and answer[0] in (400, 404):
                return None
            await asyncio.sleep(max(0.2, answer[2] if answer else 0))
        return None

    async def state(self, job_id):
        answer = await self.call("GET", f"/scan/{job_id}")
        return json.loads(answer[1]).get("state") if answer and answer[0] == 200 else None


def play(case, world):
    """Plays `case(world)`; the exit code: 1 if a rule was broken, 0 if all held, 2 if it couldn't run."""

    async def whole():
        try:
            await world.open()
            await case(world)
        finally:
            await world.close()

    try:
        asyncio.run(asyncio.wait_for(whole(), 110))
    except Exception as e:  # Whatever keeps the case from running.
        world.record("COULD_NOT_RUN", error=repr(e))
        print(f"could not run: {e!r}")
        return 2
    for rule, text in world.record.broken[:10]:
        print(f"{rule}: {text}")
    print(f"trouble={int(TROUBLE)} broken={len(world.record.broken)}")
    return 1 if world.record.broken else 0
