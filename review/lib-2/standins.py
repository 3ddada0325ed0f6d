"""Stand-ins for the users' platform on loopback: store, workers, machines, clients and nodes.

They follow PROTOCOL.md and DEPLOY.md. Where a page is silent they behave like a sound server.
Everything runs in one event loop; only hemlockward-node runs as separate processes.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the site pasitos-central (SYSTEM.md).
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
    "hold_max_ms": 6000, "stop_grace_ms": 400, "finish_s": 14, "migrate_s": 1.5,
    "maintenance_s": 2, "lease_ms": 3000, "heartbeat_ms": 1500, "visible_ms": 3000,
}
TICK_S = 0.005
STORE_READ_S = 0.004
STORE_WRITE_S = 0.005
HISTORY_S = 20
PAGE_ROWS = 500
MOST_ENDS = 500
CUT = object()  # The call never reaches its server, and no answer comes.
GONE = ":gone"  # Header that holds a function: whether the caller has closed the connection.


class Unable(Exception):
    """The case could not run."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP.

async def read_message(reader):
    """Returns (first line, headers, body); None when the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if it:
            name, _, value = it.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handle):
    """Serves `handle(method, path, query, body, headers)` on a free port; returns the port.

    The handler returns (status, object), None to end the connection without an answer, or CUT.
    """

    async def on_connection(reader, writer):
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(" ")
                headers[GONE] = reader.at_eof
                path, _, query = target.partition("?")
                answer = await handle(method, path, dict(urllib.parse.parse_qsl(query)),
                                      json.loads(body) if body else {}, headers)
                if answer is CUT:
                    await asyncio.sleep(3600)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller is gone, or the case is over.
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[1]


async def call(port, method, path, body=None, headers=None, timeout=4.0):
    """One request on its own connection: (status, object), or None without a whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                    "Content-Type: application/json"]
            head += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return None
            first, _, answer = message
            return int(first.split(" ")[1]), json.loads(answer) if answer else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return None


# The platform's store.

class Store:
    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.version = 0
        self.history = []  # (version, time, table, part, key, value or None)
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def now_ms(self):
        return 1_000_000 + int(self.world.record.now() * 1000)

    def apply(self, writes, removed):
        self.version += 1
        now = time.monotonic()
        for table, part, key, value in writes:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, now, table, part, key, value))
        for row in removed:
            if self.rows.pop(row, None) is not None:
                self.history.append((self.version, now, *row, None))
        while self.history and now - self.history[0][1] > HISTORY_S:
            self.forgotten = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or of a worker."""
        self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, key):
        self.apply([], [(table, "", key)])

    @staticmethod
    def row(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def page(self, rows, more=False):
        return {"rows": rows, "ver": self.version, "now_ms": self.now_ms(), "more_pages": more}

    async def transact(self, body):
        async with self.lock:  # A part handles one transaction after another.
            await asyncio.sleep(STORE_WRITE_S)
            name = lambda it: (it["table"], it.get("part", ""), it["key"])
            current, holds = [], True
            for it in body.get("expected_rev", []):
                value, version = self.rows.get(name(it), (None, 0))
                holds = holds and version == it["ver"]
                if version:
                    current.append(self.row(*name(it), value, version))
            if not holds:
                return 412, self.page(current)
            writes = [(*name(it), it["value"]) for it in body.get("writes", [])]
            removed = [name(it) for it in body.get("remove", [])]
            if any(it[0] in ("op", "servers") for it in writes + removed):
                return 403, {}
            if len(writes) + len(removed) + len(body.get("expected_rev", [])) > 100:
                return 400, {}
            self.apply(writes, removed)
            self.world.on_stored(writes)
            return 200, {"ver": self.version, "now_ms": self.now_ms()}

    async def read(self, query):
        await asyncio.sleep(STORE_READ_S)
        table, part = query["table"], query.get("part", "")
        keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part))
        keys = [k for k in keys if k >= query.get("from", "") and
                ("to" not in query or k < query["to"])]
        most = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [self.row(table, part, k, *self.rows[table, part, k]) for k in keys[:most]]
        return 200, self.page(rows, len(keys) > most)

    async def feed(self, query):
        await asyncio.sleep(STORE_READ_S)
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = [self.row(*it[2:], it[0]) for it in self.history
                    if it[0] > after and it[2] == table]
            left = until - time.monotonic()
            if len(rows) > PAGE_ROWS:
                rows = rows[:PAGE_ROWS]
                return 200, self.page(rows) | {"ver": rows[-1]["ver"]}
            if rows or left <= 0:
                return 200, self.page(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, body, headers):
        if path == "/v1/rows-tx":
            return await self.transact(body)
        if path == "/v1/rows-get":
            return await self.read(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}


# Workers.

class Run:
    def __init__(self, number, step):
        self.number = number
        self.step = step
        self.began = time.monotonic()
        self.stops_at = None

    def percent(self):
        lasts = self.step.get("daemon")
        whole_s = self.step["startup_s"] if lasts else self.step["work_s"]
        return min(100, int(100 * (time.monotonic() - self.began) / whole_s))


class Worker:
    """One life of a machine."""

    def __init__(self, machine, worker_id):
        self.machine = machine
        self.world = machine.world
        self.id = worker_id
        self.service = machine.pool
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.active = {}
        self.ended = []
        self.next_end = 1
        self.barred = {}
        self.up = True
        self.changed = asyncio.Event()
        self.seq = 0
        self.beat_at = 0.0

    def clock(self):
        return 5000 + int((time.monotonic() - self.began) * 1000)

    def end(self, task, how):
        run = self.active.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.world.record.line(f"worker {self.id}: {task} run {run.number} has ended {how}")
        self.world.ends.append((self.world.record.now(), self.id, task, run.number, how))
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        if self.active and self.clock() > self.lease_end:
            for task in list(self.active):
                self.end(task, "lapsed")
        for task, run in list(self.active.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(task, "stopped")
            elif not run.step.get("daemon") and now - run.began >= run.step["work_s"]:
                self.end(task, "done")
        if now - self.beat_at >= BOUNDS["heartbeat_ms"] / 1000:
            self.beat_at = now
            self.seq += 1
            self.world.store.put("servers", self.id, self.entry())

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.machine.port}",
                "zone": self.machine.zone, "version": "1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "seq": self.seq, "born": self.born,
                "machine": self.machine.name, "capacity": self.machine.capacity,
                "labels": self.machine.labels}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "born": self.born, "reason": reason}

    def done(self):
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def take_deadline(self, body):
        if "deadline_ms" in body:
            latest = self.clock() + BOUNDS["hold_max_ms"]
            self.lease_end = max(self.lease_end, min(body["deadline_ms"], latest))

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.take_deadline(body)
        there = self.active.get(task)
        if there and there.number == number:
            return self.done()
        if there or number <= self.barred.get(task, 0):
            return self.refuse("old")
        step = self.world.step_of(task)
        if step is None:
            raise Unable(f"a start of {task}, which nobody sent")
        advice = self.world.advice
        if advice and not advice.is_valid(task.rpartition(".")[0], self.id, body.get("ticket")):
            return self.refuse("ticket")
        used = sum(it.step["cpu"] for it in self.active.values())
        if used + step["cpu"] > self.machine.capacity["cpu"]:
            return self.refuse("room")
        self.active[task] = Run(number, step)
        self.world.on_start(self, task, number)
        return self.done()

    async def handle(self, path, body, headers):
        expected = headers.get("hemlockward-expect-instance", self.id)
        if expected != self.id:
            return 421, {}
        if body.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self.start(body)
        if path == "/v1/run-stop":
            task, number = body["task"], body["run"]
            self.barred[task] = max(self.barred.get(task, 0), number)
            run = self.active.get(task)
            if run and run.number <= number and run.stops_at is None:
                run.stops_at = time.monotonic() + BOUNDS["stop_grace_ms"] / 2000
            return self.done()
        if path == "/v1/pace":
            return self.done()
        if path != "/v1/hold":
            return 404, {}
        self.take_deadline(body)
        self.ended = [it for it in self.ended if it[0] > body.get("last_seen", 0)]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while self.up and not self.ended and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        active = [[task, it.number, "", it.percent(), 0] for task, it in self.active.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "active": active,
                     "ended_runs": self.ended[:MOST_ENDS]}


class Machine:
    def __init__(self, world, name, pool, zone="z1", delay_s=0.0, rack="r1"):
        self.world = world
        self.name = name
        self.pool = pool
        self.zone = zone
        self.delay_s = delay_s  # One way between the nodes and this machine.
        self.capacity = {"cpu": 16000, "mem_mb": 64000}
        self.labels = ["a", rack]
        self.state = "up"
        self.cut = False
        self.lives = 0
        self.worker = None
        self.upkeeps = set()
        self.port = 0

    async def open(self):
        self.port = await serve(self.handle)
        self.bring_up()

    def bring_up(self, worker_id=None):
        self.lives += 1
        self.state = "up"
        self.worker = Worker(self, worker_id or f"i-{self.name}-{self.lives}")
        self.world.record.line(f"machine {self.name}: worker {self.worker.id} is up")

    def take_down(self, state, back_in_s, listed_s, keep_id=False):
        """All that runs on it ends. Its entry goes after `listed_s`, unless it is up again."""
        gone, self.worker, self.state = self.worker, None, state
        if gone:
            gone.up = False
            gone.changed.set()
            self.world.record.line(f"machine {self.name}: worker {gone.id} is gone ({state}) "
                                   f"with {sorted(gone.active)}")
            self.world.later(listed_s, lambda: self.forget(gone.id))
        if back_in_s is not None:
            self.world.later(back_in_s, lambda: self.bring_up(gone.id if keep_id else None))

    def forget(self, worker_id):
        if not self.worker or self.worker.id != worker_id:
            self.world.store.drop("servers", worker_id)

    def crash(self, back_in_s, keep_id=False):
        self.take_down("down", back_in_s, 3 * BOUNDS["heartbeat_ms"] / 1000, keep_id)

    async def handle(self, method, path, query, body, headers):
        if self.cut:
            return CUT
        await asyncio.sleep(self.delay_s)
        worker = self.worker
        if worker is None:
            return None
        answer = await worker.handle(path, body, headers)
        if answer is CUT:
            return CUT
        if not worker.up or answer is None:
            return None
        if path != "/v1/hold":
            what = {k: body[k] for k in ("task", "run", "fencing_token") if k in body}
            self.world.record.line(f"worker {worker.id}: {path} {what} -> "
                                   f"{answer[0]} {answer[1].get('reason', '')}")
        await asyncio.sleep(self.delay_s)
        return CUT if self.cut else answer

    def listing(self):
        return {"machine": self.name, "pool": self.pool, "state": self.state, "zone": self.zone,
                "labels": self.labels, "capacity": self.capacity,
                "id": self.worker.id if self.worker else ""}


class Advice:
    """The advice service of one queue. It handles one call at a time, in turn."""

    MOST_WAITING = 32

    def __init__(self, world, decision_ms, period_ms, validity_ms):
        self.world = world
        self.decision_s = decision_ms / 1000
        self.period_s = period_ms / 1000
        self.validity_ms = validity_ms
        self.of_queue = {"decision_ms": decision_ms, "period_ms": period_ms,
                         "validity_ms": validity_ms}
        self.waiting = 0
        self.turn = asyncio.Lock()
        self.valid_until = {}  # By step, worker and ticket.
        self.handled = 0
        self.refused = 0
        self.port = 0

    async def handle(self, method, path, query, body, headers):
        if path != "/v1/advise":
            return 404, {}
        if self.waiting >= self.MOST_WAITING:
            self.refused += 1
            return 429, {}
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            if headers[GONE]():
                return None  # Nobody waits for it any more.
            await asyncio.sleep(self.decision_s + self.period_s * len(body["workers"]))
        self.handled += 1
        until = time.monotonic() + self.validity_ms / 1000
        good = [[it, f"{self.handled}-{it}"] for it in body["workers"]]
        for worker, ticket in good:
            self.valid_until[body["step"], worker, ticket] = until
        self.world.record.line(f"advice: {body['step']} on {len(good)} workers is answered, "
                               f"{self.waiting} calls wait")
        return 200, {"good": good, "validity_ms": self.validity_ms}

    def is_valid(self, step, worker, ticket):
        return time.monotonic() < self.valid_until.get((step, worker, ticket), 0)


# The whole.

class Node:
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.process = None

    def start(self):
        with open(self.world.dir / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.world.command(self.settings), cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.alive():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)
            self.world.record.line(f"node {self.name}: killed")


class World:
    def __init__(self, record_path):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.deploy = tomllib.load(file)["roles"]["node"]
        if not (ROOT / self.deploy["run"].split(" ")[0]).exists():
            raise Unable("the build of the deploy file has not run")
        self.record = Record(record_path)
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.jobs = {}
        self.machines = {}
        self.starts = []  # (time, worker, task, run)
        self.ends = []  # (time, worker, task, run, how)
        self.overlaps = []
        self.nodes = []
        self.store = Store(self)
        self.version = 0
        self.on_order = None  # Called after a machine order was carried out.
        self.advice = None  # Of all queues.

    def command(self, settings):
        return [str(settings) if it.startswith("/etc/") else it
                for it in self.deploy["run"].split(" ")]

    def later(self, after_s, action):
        asyncio.get_running_loop().call_later(after_s, action)

    async def open(self, machines, nodes=3):
        self.store_port = await serve(self.store.handle)
        self.cloud_port = await serve(self.handle_cloud)
        if self.advice:
            self.advice.port = await serve(self.advice.handle)
        for it in machines:
            self.machines[it.name] = it
            await it.open()
        asyncio.get_running_loop().create_task(self.tick())
        ports = self.free_ports(nodes * 3)
        for i in range(nodes):
            node = Node(self, f"n{i + 1}")
            node.front, node.readiness, node.peer = ports[i * 3:i * 3 + 3]
            node.settings = self.dir / f"{node.name}.yaml"
            node.settings.write_text(self.render(node))
            self.nodes.append(node)
            node.start()

    @staticmethod
    def free_ports(count):
        """Ports outside the range from which the system takes those of connections."""
        ports, port = [], 21000 + os.getpid() % 500 * 20
        while len(ports) < count:
            port += 1
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", port))
                    ports.append(port)
                except OSError:
                    pass
        return ports

    def render(self, node):
        """Fills deploy/node.yaml.template as the platform does."""
        fields = {
            "node_name": node.name, "zone": "z1", "ip": "127.0.0.1",
            "advice": f"127.0.0.1:{self.advice.port}" if self.advice else "",
            "listen_addrs": {"front": f"127.0.0.1:{node.front}",
                             "readiness": f"127.0.0.1:{node.readiness}"},
            "port_range": [node.peer],
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "table",
                         "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 5.0,
                         "partition_writes_s": 200, "row_bytes": 65536, "across": False},
            "cloud_api": {"address": f"127.0.0.1:{self.cloud_port}", "duty_per_s": 64.0},
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        text = (ROOT / self.deploy["template"]).read_text()
        while "{{" in text:
            before, _, rest = text.partition("{{")
            name, _, after = rest.partition("}}")
            value = fields
            for key in name.split("."):
                value = value[int(key)] if isinstance(value, list) else value[key]
            text = before + (json.dumps(value) if isinstance(value, dict) else str(value)) + after
        return text

    async def tick(self):
        while True:
            for it in self.machines.values():
                if it.worker:
                    it.worker.tick()
            await asyncio.sleep(TICK_S)

    async def handle_cloud(self, method, path, query, body, headers):
        await asyncio.sleep(STORE_READ_S)
        if path == "/v1/machines":
            return 200, {"machines": [it.listing() for it in self.machines.values()],
                         "next_token": ""}
        machine = self.machines.get(body.get("machine"))
        holder, fence = (headers.get(f"hemlockward-{it}") for it in ("lease-holder", "fencing-token"))
        answer = self.order(machine, path, body) if machine else (400, {})
        self.record.line(f"machine order {path} {body} of {holder}, token {fence} -> {answer}")
        if self.on_order and answer[0] == 200:
            keep = self.on_order(machine, path)
            if keep is not None:
                return keep
        return answer

    def order(self, machine, path, body):
        if path == "/v1/machine-move":
            if machine.pool == body["pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.pool = body["pool"]
            machine.take_down("moving", BOUNDS["migrate_s"], 0)
            return 200, {}
        wave = body["wave"]
        row = self.store.rows.get(("op", "", f"wave/{wave}"))
        order = json.loads(base64.b64decode(row[0])) if row else {"machines": []}
        if machine.name not in order["machines"]:
            return 409, {"reason": "wave"}
        if wave in machine.upkeeps:
            return 200, {}  # Already done.
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.upkeeps.add(wave)
        machine.take_down("upkeep", BOUNDS["maintenance_s"], 0)
        return 200, {}

    def configure(self, routes, services):
        """Writes the next configuration; routes maps names to services."""
        self.version += 2
        self.record.line(f"operator: configuration {self.version}: {routes}")
        advice = {"advice": self.advice.of_queue} if self.advice else {}
        self.store.put("op", "config", {
            "version": self.version,
            "routes": [{"name": name, "host": "jobs.example", "path_prefix": f"/{name}/",
                        "service": service, "priority": 0, "attempts": 3, "stretch": 2.0,
                        "target_duration_ms": 500} | advice for name, service in routes.items()],
            "services": [{"name": it, "enforces_capacity": True} for it in services],
            "limits": {}})

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else None

    def on_start(self, worker, task, number):
        self.starts.append((self.record.now(), worker.id, task, number))
        self.record.line(f"worker {worker.id}: {task} run {number} begins")
        for machine in self.machines.values():
            other = machine.worker
            if other and other is not worker and task in other.active:
                text = (f"{task}: run {other.active[task].number} is at work on {other.id} "
                        f"while run {number} begins on {worker.id}")
                self.overlaps.append(text)
                self.record.line(f"TWICE {text}")

    def on_stored(self, writes):
        for table, _, key, value in writes:
            if (table, key) == ("lead", "lease"):
                self.record.line(f"store: lease row {base64.b64decode(value).decode()}")
            if table == "status":
                self.record.line(f"store: status/{key} {base64.b64decode(value).decode()}")

    def leader(self):
        """The node whose name is in the lease row."""
        row = self.store.rows.get(("lead", "main", "lease"))
        if row is None:
            return None
        lease = json.loads(base64.b64decode(row[0]))
        found = [it for it in self.nodes if it.name == lease["holder"] and it.alive()]
        return found[0] if found and not lease["released"] else None

    async def until(self, what, holds, limit_s=20.0):
        """Waits for a step of the case's set-up."""
        end = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > end:
                raise Unable(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.005)

    async def request(self, method, path, body=None):
        """A client's request, tried at node after node as clients do."""
        answer = None
        for _ in range(40):
            for node in self.nodes:
                if not node.alive():
                    continue
                answer = await call(node.front, method, path, body, {
                    "Host": "jobs.example", "Hemlockward-Deadline-Ms": "3000"})
                self.record.line(f"client: {method} {path} at {node.name} -> {answer}")
                if answer and answer[0] not in (429, 502, 503, 504):
                    return answer
            await asyncio.sleep(0.25)
        return answer

    async def submit(self, queue, job_id, steps):
        """Hands a job in. `work_s` and `startup_s` of a step tell the workers how long it takes."""
        self.jobs[job_id] = {"steps": steps}
        sent = [{k: v for k, v in it.items() if k not in ("work_s", "startup_s")} for it in steps]
        answer = await self.request("POST", f"/{queue}/{job_id}",
                                    {"task_spec": f"payload {job_id}", "steps": sent})
        if not answer or answer[0] != 200:
            raise Unable(f"job {job_id} was not accepted: {answer}")

    async def state(self, queue, job_id):
        answer = await self.request("GET", f"/{queue}/{job_id}")
        return answer[1].get("state") if answer and answer[0] == 200 else str(answer)

    def close(self):
        for it in self.nodes:
            it.kill()


def play(folder, case):
    """Runs `case(world, trouble)`, which returns what broke the rule, or nothing; exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        code = 2
        try:
            world = World(pathlib.Path(folder) / "record.txt")
        except (Unable, OSError, KeyError, ValueError) as error:
            print(f"could not run: {error!r}", flush=True)
            return code
        world.record.line(f"trouble: {trouble}")
        try:
            broken = await asyncio.wait_for(case(world, trouble), 110)
            code = 1 if broken else 0
            world.record.line(f"result: {'broken: ' + broken if broken else 'the rule held'}")
            print(broken or "the rule held", flush=True)
        except Exception as error:  # Only a broken rule gives 1.
            world.record.line(f"result: could not run: {error!r}")
            print(f"could not run: {error!r}", flush=True)
        finally:
            world.close()
            if "KEEP_LOGS" in os.environ:
                print(f"logs: {world.dir}", flush=True)
            else:
                shutil.rmtree(world.dir, ignore_errors=True)
        return code

    sys.exit(asyncio.run(run()))
