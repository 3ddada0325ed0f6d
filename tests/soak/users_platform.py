"""The users' platform as its pages describe it: store, workers, machines. In memory, one process.

What the workers see is checked here against the promises; `World.broken` lists what did not hold.
"""

import http.server
import json
import random
import threading
import time
import urllib.parse

from users_store import Store

HOLD_MAX_MS = 6000
MOVE_S = 1.5
UPKEEP_S = 2.0
HEARTBEAT_S = 1.5
ENTRY_LIFE_S = 3 * HEARTBEAT_S
STOP_GRACE_S = 0.15
CANCEL_S = 3.0
TURN_S = 3.0
MOST_ENDS = 500
CONNECTIONS = 64
CPU = 16000
CPU_SIZES = (5000, 7000, 10000, 16000, 20000)
CONTACT_S = 3.0
BACK_S = (0.5, 4.0)  # A crashed machine's time until its next worker.
CRASHES_IN_BUDGET = 3  # Workers crashed under a task from which on its starts count.
STARTS_OVER_BUDGET = 3
CRASHES_TO_FAIL = 2  # Workers crashed under a task from which on its job may be given up.
ANSWER_S = 0.05  # Until the leader has read an answer.
MEMORY_MB = 64000
TICK_S = 0.02


class Truth:
    """What has really become of one task."""

    def __init__(self):
        self.starts = 0
        self.done = False
        self.done_noted = False
        self.failed = 0
        self.failed_noted = 0
        self.crashes = 0  # Workers that it has crashed.
        self.starts_since = 0  # By machines in touch, after CRASHES_IN_BUDGET of them.


class End:
    """One ended run, as its worker lists it."""

    def __init__(self, number, task, run, how):
        self.number = number
        self.task = task
        self.run = run
        self.how = how
        self.restarted = False  # The task was started once more since.
        self.lapsed = False  # The worker's lease has lapsed since.


class Job:
    def __init__(self, steps, spec, attempts, poison=False, lasting=False):
        self.steps = steps
        self.spec = spec
        self.attempts = attempts
        self.poison = poison
        self.lasting = lasting
        self.deadly = ""  # The task that crashes each worker that starts it.
        self.accepted_at = None
        self.cancel_sent_at = None
        self.cancelled_at = None
        self.refused = False  # Every attempt to hand it in was rejected.
        self.started = False

    def tasks(self, job_id, step=None):
        for number, it in enumerate(self.steps):
            if step is None or number == step:
                for index in range(it["count"]):
                    yield f"{job_id}.0.{number}.{index}"


class World:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.crash_random = random.Random(f"crashes {seed}")
        self.unguarded = set()  # Pools whose workers start whatever they are told to.
        self.disturbed_at = {}  # By node: when a fault last concerned it or the store.
        self.lock = threading.RLock()
        self.begin = time.monotonic()
        self.jobs = {}
        self.truths = {}
        self.machines = {}
        self.broken = []
        self.crashes = []  # Lines on the workers that tasks have crashed.
        self.last_fault = 0.0
        self.lost_orders = 0.0  # Share of orders that get no answer.
        self.late_orders = 0.0  # Share of those that are carried out seconds later.
        self.store = Store(self)
        self.holders = {}  # By machine: (fence, holder, time).

    def now(self):
        return time.monotonic() - self.begin

    def note(self, rule, text):
        with self.lock:
            self.broken.append(f"{rule} at {self.now():.2f} s: {text}")

    def is_calm(self, for_s):
        return self.now() - self.last_fault > for_s

    def truth(self, task):
        return self.truths.setdefault(task, Truth())

    def is_in_touch(self, node):
        return self.now() - self.disturbed_at.get(node, self.now()) > CONTACT_S

    def check_deadly(self, worker, task, fence, sent_at):
        """A task that crashes its worker is started."""
        truth = self.truth(task)
        late = time.monotonic() - sent_at > TICK_S  # Such an order has no time bound.
        holder = self.store.holder(fence)
        if truth.crashes >= CRASHES_IN_BUDGET and not late and self.is_in_touch(holder):
            truth.starts_since += 1
            if truth.starts_since >= STARTS_OVER_BUDGET:
                self.note("BUDGET", f"{holder} starts {task}, which has crashed {truth.crashes} workers")
        truth.crashes += 1
        self.crashes.append(f"{self.now():.2f} {worker.id} {task} late={late} holder={holder}")
        self.last_fault = self.now()

    def check_room(self, worker, task, cpu, sent_at):
        """A worker that doesn't guard its capacity starts a task."""
        used = sum(it.cpu for it in worker.active.values())
        if used + cpu > worker.most_cpu(sent_at):
            self.note("LIMIT", f"{task} of {cpu} starts on {worker.id} of {worker.cpu()} beside {used}")

    def check_start(self, worker, task, body):
        """A worker begins a task: every promise on starts."""
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or job.spec != body.get("task_spec"):
            self.note("UNASKED", f"{task} was not submitted so")
            return
        job.started = True
        if job.refused:
            self.note("REFUSED", f"{task} starts, though {job_id} was rejected")
        truth = self.truth(task)
        truth.starts += 1
        for machine in self.machines.values():
            life = machine.life
            if life and life is not worker and task in life.active:
                self.note("TWICE", f"{task} runs on {life.id} and starts on {worker.id}")
            for end in life.ended if life else []:
                end.restarted = end.restarted or end.task == task
        if truth.done_noted and not job.lasting:
            self.note("TWICE", f"{task} starts on {worker.id} after its end was noted")
        if truth.failed_noted >= job.attempts and not job.lasting:
            self.note("BUDGET", f"{task} starts after {truth.failed_noted} failed runs")
        for before in job.steps[int(step)].get("after", []):
            if not all(self.truth(it).done for it in job.tasks(job_id, before)):
                self.note("ORDER", f"{task} starts before step {before} is done")
        if job.cancelled_at and self.now() > job.cancelled_at + CANCEL_S and self.is_calm(TURN_S):
            self.note("UNASKED", f"{task} starts long after its job was cancelled")

    def check_noted(self, worker, end):
        """A worker's end is acknowledged; it doesn't count once its lease has lapsed."""
        truth = self.truth(end.task)
        if end.lapsed:
            return
        if end.how == "done":
            truth.done_noted = True
            if end.restarted:
                self.note("TWICE", f"{end.task} started after a done run, now noted on {worker.id}")
        if end.how == "failed":
            truth.failed_noted += 1

    def check_machine_order(self, machine, fence, holder):
        last = self.holders.get(machine)
        if last and fence < last[0]:
            self.note("ONE", f"{machine}: fence {fence} of {holder} after {last[0]} of {last[1]}")
        if last and fence == last[0] and holder != last[1]:
            self.note("ONE", f"{machine}: {holder} and {last[1]} share fence {fence}")
        if last and holder != last[1] and self.now() - last[2] < TURN_S and self.is_calm(TURN_S):
            self.note("ONE", f"{machine}: {last[1]} and {holder} within {TURN_S} s")
        self.holders[machine] = (fence, holder, self.now())


class Run:
    def __init__(self, number, ends_at, fails, cpu):
        self.number = number
        self.began = time.monotonic()
        self.ends_at = ends_at
        self.fails = fails
        self.cpu = cpu
        self.stops_at = None


class Life:
    """One incarnation of a machine's worker."""

    def __init__(self, machine, worker_id):
        world = machine.world
        self.world = world
        self.machine = machine
        self.reports = machine.reports  # Of capacities: (time, cpu), under this id.
        self.reports.append((time.monotonic(), machine.cpu))
        self.first_report = len(self.reports) - 1
        self.listed_at = {}  # By fence: when its leader first learned of this life.
        self.id = worker_id
        self.born = int(time.time() * 1000)
        self.clock_rate = world.random.uniform(0.98, 1.0)
        self.clock_base = world.random.randrange(1_000_000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.active = {}
        self.ended = []
        self.next_end = 1
        self.barred = {}
        self.draining = False
        self.fails_all = False
        self.stands_still = False
        self.changed = threading.Condition(world.lock)

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.began) * 1000 * self.clock_rate)

    def cpu(self):
        return self.reports[-1][1]

    def most_cpu(self, sent_at):
        """The largest capacity that an order may rely on. A smaller one counts CONTACT_S and a
        heartbeat later; that of an earlier life doesn't once the leader knows of this one."""
        since = sent_at - CONTACT_S - HEARTBEAT_S
        known = sent_at > self.listed_at.get(self.fence, sent_at) + ANSWER_S
        reports = self.reports[self.first_report if known else 0:]
        last = max(i for i, it in enumerate(reports) if it[0] <= since or i == 0)
        return max(it[1] for it in reports[last:])

    def end(self, task, how):
        run = self.active.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        if how == "done":
            self.world.truth(task).done = True
        if how == "failed":
            self.world.truth(task).failed += 1
        self.ended.append(End(self.next_end, task, run.number, how))
        self.next_end += 1
        self.changed.notify_all()

    def tick(self):
        if self.clock() > self.lease_end:
            for end in self.ended:
                end.lapsed = True
            for task in list(self.active):
                self.end(task, "lapsed")
        now = time.monotonic()
        for task, run in list(self.active.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(task, "stopped")
            elif run.ends_at is not None and now >= run.ends_at and not self.stands_still:
                self.end(task, "failed" if run.fails or self.fails_all else "done")

    def take_deadline(self, body):
        if "deadline_ms" in body:
            latest = self.clock() + HOLD_MAX_MS
            self.lease_end = max(self.lease_end, min(body["deadline_ms"], latest))

    def refusal(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def start(self, body, sent_at):
        world, task, number = self.world, body["task"], body["run"]
        if body.get("fencing_token", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fencing_token", 0)
        if body["deadline_ms"] <= self.clock():
            return self.refusal("late")
        self.take_deadline(body)
        there = self.active.get(task)
        if there and there.number == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.barred.get(task, 0) or there:
            return self.refusal("old")
        job = world.jobs.get(task.split(".")[0])
        step = job.steps[int(task.split(".")[2])] if job else {"cpu": 0, "est_runtime_ms": 100}
        if self.machine.pool in world.unguarded:
            world.check_room(self, task, step["cpu"], sent_at)
        elif sum(it.cpu for it in self.active.values()) + step["cpu"] > self.cpu():
            return self.refusal("room")
        world.check_start(self, task, body)
        if job and job.deadly == task:
            world.check_deadly(self, task, self.fence, sent_at)
            self.machine.crash()
            return None
        length = step["est_runtime_ms"] / 1000 * world.random.uniform(0.7, 1.4)
        ends_at = None if job and job.lasting else time.monotonic() + length
        fails = bool(job and job.poison) or world.random.random() < 0.02
        self.active[task] = Run(number, ends_at, fails, step["cpu"])
        return 200, {"clock_ms": self.clock()}

    def stop(self, body, _):
        if body.get("fencing_token", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fencing_token", 0)
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.active.get(task)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_GRACE_S
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        if body.get("fencing_token", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fencing_token", 0)
        self.take_deadline(body)
        last_seen = body.get("last_seen", 0)
        for end in self.ended:
            if end.number <= last_seen:
                self.world.check_noted(self, end)
        self.ended = [it for it in self.ended if it.number > last_seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        now = time.monotonic()
        self.listed_at.setdefault(self.fence, now)
        active = []
        for task, run in self.active.items():
            share = 1.0 if run.ends_at is None else (now - run.began) / (run.ends_at - run.began)
            percent = 0 if self.stands_still else min(100, int(share * 100))
            active.append([task, run.number, "", percent, 0])
        return 200, {"clock_ms": self.clock(), "born": self.born, "active": active,
                     "ended_runs": [[it.number, it.task, it.run, it.how, ""]
                                    for it in self.ended[:MOST_ENDS]]}


class Machine:
    def __init__(self, world, number, pool):
        self.world = world
        self.name = f"m-{number}"
        self.pool = pool
        self.state = "up"
        self.back_at = None
        self.home = pool
        self.lives = 0
        self.life = None
        self.link = None  # In front of its worker.
        self.cpu = CPU  # From its worker's next report on.
        self.seq = 0
        self.beat_at = 0.0
        self.upkeeps = set()
        self.upkeep_of = 0
        self.port = 0  # Of the link in front of its worker.
        self.reports = []
        self.keeps_id = False  # Its next worker comes back under the last one's id.

    def bring_up(self, keep_id=False):
        if self.pool == "spare":
            self.state, self.life = "up", None
            return
        if not keep_id:
            self.lives += 1
            self.reports = []
        self.life = Life(self, f"w-{self.name}-{self.lives}")
        self.state, self.beat_at, self.seq = "up", 0.0, 0

    def take_down(self, state, back_in_s):
        """Everything on the machine ends; its entry goes when it lapses."""
        self.state = state
        self.back_at = None if back_in_s is None else time.monotonic() + back_in_s
        if self.life is None:
            return
        gone = self.life.id
        self.life.active.clear()
        self.life = None
        drop = threading.Timer(ENTRY_LIFE_S, self._forget, [gone])
        drop.daemon = True
        drop.start()

    def crash(self):
        """The worker ends without a word; a new one comes."""
        draw = self.world.crash_random
        self.take_down("down", draw.uniform(*BACK_S))
        self.keeps_id = draw.random() < 0.3
        self.link.reset()

    def _forget(self, worker_id):
        with self.world.lock:
            if self.life is None or self.life.id != worker_id:
                self.world.store.drop("servers", worker_id)

    def tick(self):
        now = time.monotonic()
        if self.back_at is not None and now >= self.back_at:
            self.back_at, self.upkeep_of = None, 0
            keep_id, self.keeps_id = self.keeps_id, False
            self.bring_up(keep_id)
        if self.life is None:
            return
        self.life.tick()
        if now - self.beat_at >= HEARTBEAT_S:
            self.beat_at = now
            self.seq += 1
            if self.cpu != self.life.cpu():
                self.life.reports.append((now, self.cpu))
            self.world.store.put("servers", "", self.life.id, json.dumps(self.entry()))

    def entry(self):
        return {"service": self.pool, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                "version": "1", "slots": 8, "cold_left_ms": 0, "seq": self.seq,
                "state": "draining" if self.life.draining else "ready", "born": self.life.born,
                "labels": ["k-a", "r-1"], "machine": self.name,
                "capacity": {"cpu": self.life.cpu(), "mem_mb": MEMORY_MB}}

    def listing(self):
        return {"machine": self.name, "pool": self.pool, "state": self.state, "zone": "z1",
                "labels": ["k-a", "r-1"], "capacity": {"cpu": self.cpu, "mem_mb": MEMORY_MB},
                "id": self.life.id if self.life else ""}

    def serve(self, _, method, path, query, body, expect):
        """An order to its worker; None: the connection ends without an answer."""
        world = self.world
        life = self.life
        if life is None:
            return None
        if expect and expect != life.id:
            return 421, {}
        if path == "/v1/hold":
            with world.lock:
                answer = life.hold(body)
                return answer if self.life is life else None
        if path not in ("/v1/run-start", "/v1/run-stop"):
            return (200, {"clock_ms": life.clock()}) if path == "/v1/pace" else (404, {})

        sent_at = time.monotonic()

        def carry_out():
            """A later life under the same id takes what was meant for this one."""
            with world.lock:
                taker = self.life
                if taker is None or taker.id != life.id:
                    return None
                action = taker.start if path == "/v1/run-start" else taker.stop
                return action(body, sent_at)

        if world.random.random() < world.lost_orders:
            if world.random.random() < world.late_orders:
                threading.Timer(world.random.uniform(0.2, 4), carry_out).start()
            else:
                carry_out()
            return None
        return carry_out()


def serve_machines(world, method, path, query, body, headers):
    """The platform's interface for moves and upkeeps."""
    with world.lock:
        if path == "/v1/machines":
            return 200, {"machines": [it.listing() for it in world.machines.values()],
                         "next_token": ""}
        machine = world.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        fence = int(headers.get("Hemlockward-Fencing-Token", "0"))
        world.check_machine_order(machine.name, fence, headers.get("Hemlockward-Lease-Holder"))
        if path == "/v1/machine-move":
            if machine.state != "up":
                same = machine.state == "moving" and machine.pool == body["pool"]
                return (200, {}) if same else (409, {"reason": "busy"})
            if machine.pool != body["pool"]:
                machine.pool = body["pool"]
                machine.take_down("moving", MOVE_S)
            return 200, {}
        wave = body["wave"]
        row = world.store.rows.get(("op", "", f"wave/{wave}"))
        order = json.loads(row[0]) if row else {"machines": [], "cap": 0}
        if machine.name not in order["machines"]:
            return 409, {"reason": "wave"}
        if wave in machine.upkeeps:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        down = sum(it.upkeep_of == wave for it in world.machines.values())
        if down >= order["cap"]:
            world.note("LIMIT", f"wave {wave}: {machine.name} with {down} down already")
        machine.upkeeps.add(wave)
        machine.upkeep_of = wave
        machine.take_down("upkeep", UPKEEP_S)
        return 200, {}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self):
        length = int(self.headers.get("Content-Length", "0"))
        raw = self.rfile.read(length)
        path, _, query = self.path.partition("?")
        reply = self.server.app(self.command, path, dict(urllib.parse.parse_qsl(query)),
                                json.loads(raw) if raw else {}, self.headers)
        if reply is None:
            self.close_connection = True
            return
        status, body = reply
        data = json.dumps(body).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = answer

    def log_message(self, *_):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass  # A caller that a fault has cut off.


def serve(app):
    """Serves `app(method, path, query, body, headers)` on a free port; returns the server."""
    server = Server(("127.0.0.1", 0), Handler)
    server.app = app
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
