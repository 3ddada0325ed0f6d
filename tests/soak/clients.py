"""The clients of the soak: they hand jobs in, look after them and cancel some, and check what they are told."""

import http.client
import json
import random
import threading
import time

import users_platform as platform

QUEUES = {"q-a": "pool-a", "q-b": "pool-b"}
ATTEMPTS = 3
DEADLINE_S = 3.0
VISIBLE_S = 3.0
SETTLE_S = 60.0  # For jobs to end once all faults are over; well above any lease.


class Client(threading.Thread):
    """Hands jobs in, asks for them, cancels some; keeps its connections until they end."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(soak.seed * 1000 + number)
        self.deadly_random = random.Random(f"deadly {soak.seed} {number}")
        self.deadly_share = soak.deadly_share
        self.connections = {}
        self.mine = []

    def call(self, method, path, body=None):
        """One attempt at some node: (status, body, Retry-After), or None without a whole answer."""
        node = self.random.choice(self.soak.nodes)
        connection = self.connections.get(node.name)
        if connection is None:
            connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=DEADLINE_S + 1)
            self.connections[node.name] = connection
        try:
            connection.request(method, path, body, {
                "Host": "jobs.example", "Content-Type": "application/json",
                "Hemlockward-Deadline-Ms": str(int(DEADLINE_S * 1000))})
            answer = connection.getresponse()
            data = answer.read()
            self.soak.count(f"{method} {answer.status}")
            return answer.status, data, float(answer.getheader("Retry-After") or 0)
        except (OSError, http.client.HTTPException):
            connection.close()
            self.connections.pop(node.name, None)
            self.soak.count(f"{method} no answer")
            return None

    def make_job(self):
        draw = self.random.random()
        spec = f"payload-{self.random.randrange(1 << 30)}"
        if draw < 0.08:
            steps = [{"count": 2, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 300, "daemon": True,
                      "anti_affinity": 1, "may_miss": 1}]
            return platform.Job(steps, spec, ATTEMPTS, lasting=True)
        steps = []
        for number in range(self.random.randint(1, 3)):
            step = {"count": self.random.randint(1, 5), "cpu": self.random.randrange(1000, 5000, 500),
                    "mem_mb": 500, "est_runtime_ms": self.random.randrange(150, 900)}
            if number > 0:
                step["after"] = [number - 1]
            steps.append(step)
        return platform.Job(steps, spec, ATTEMPTS, poison=draw < 0.14)

    def submit(self):
        world = self.soak.world
        job_id = f"{self.random.getrandbits(64):016x}"
        job = self.make_job()
        if self.deadly_random.random() < self.deadly_share and not job.lasting:
            job.deadly = self.deadly_random.choice(list(job.tasks(job_id)))
        queue = self.random.choice(list(QUEUES))
        path = f"/{queue}/{job_id}"
        world.jobs[job_id] = job
        body = json.dumps({"task_spec": job.spec, "steps": job.steps})
        unknown = False
        for _ in range(5):
            reply = self.call("POST", path, body)
            status = reply[0] if reply else 0
            if status == 200:
                job.accepted_at = world.now()
                self.mine.append((job_id, path, job))
                if self.random.random() < 0.05:
                    self.call("POST", path, body)  # A late copy of the request.
                return
            if status == 404:
                world.note("CONFIG", f"{path} is not known")
            unknown = unknown or status not in (429, 503)
            time.sleep(min(1.0, reply[2] if reply else 0) or 0.1)
            if self.soak.settling:
                break
        with world.lock:
            job.refused = not unknown
            if job.refused and job.started:
                world.note("REFUSED", f"{job_id} has started")

    def look(self, job_id, path, job):
        """Asks for the job's state and checks it; the state, or None."""
        world = self.soak.world
        asked = world.now()
        reply = self.call("GET", path)
        if reply is None or reply[0] not in (200, 410):
            return None
        if reply[0] == 410:
            if asked > job.accepted_at + VISIBLE_S and job.cancel_sent_at is None:
                world.note("LOST", f"{job_id} is not known")
            return None
        state = json.loads(reply[1])["state"]
        with world.lock:
            tasks = [world.truth(it) for it in job.tasks(job_id)]
            if state == "completed" and not all(it.done for it in tasks):
                world.note("MIXED", f"{job_id} is shown as completed")
            crashed = bool(job.deadly) and world.truth(job.deadly).crashes >= platform.CRASHES_TO_FAIL
            if state == "failed" and not crashed and max(it.failed for it in tasks) < job.attempts:
                world.note("LOST", f"{job_id} is shown as failed")
            if state == "cancelled" and job.cancel_sent_at is None:
                world.note("LOST", f"{job_id} is shown as cancelled")
        return state

    def cancel(self, job_id, path, job):
        job.cancel_sent_at = job.cancel_sent_at or self.soak.world.now()
        reply = self.call("DELETE", path)
        if reply and reply[0] in (200, 410):
            job.cancelled_at = job.cancelled_at or self.soak.world.now()

    def run(self):
        while not self.soak.settling:
            draw = self.random.random()
            if draw < 0.45 or not self.mine:
                self.submit()
            else:
                job = self.random.choice(self.mine[-30:])
                self.cancel(*job) if draw < 0.5 else self.look(*job)
            time.sleep(self.random.uniform(0.0, 0.15))
        self.settle()

    def settle(self):
        """With all faults over, every accepted job comes to its end."""
        until = time.monotonic() + SETTLE_S
        left = list(self.mine)
        while left and time.monotonic() < until:
            for it in list(left):
                job = it[2]
                if job.lasting or job.cancel_sent_at is not None:
                    self.cancel(*it)
                    over = job.cancelled_at is not None
                else:
                    over = self.look(*it) in ("completed", "failed")
                if over:
                    left.remove(it)
            time.sleep(0.2)
        for job_id, _, _ in left:
            self.soak.world.note("LOST", f"{job_id} has not ended {SETTLE_S} s after the last fault")


class Burst(Client):
    """Hands many small jobs in at once: their ends fill several of the leader's transactions."""

    def __init__(self, soak, number):
        super().__init__(soak, number)
        self.deadly_share = 0.0

    def make_job(self):
        steps = [{"count": 1, "cpu": 1000, "mem_mb": 50, "est_runtime_ms": self.random.randrange(500, 3000)}]
        return platform.Job(steps, f"small-{self.random.randrange(1 << 30)}", ATTEMPTS)

    def run(self):
        while not self.soak.settling:
            if self.soak.bursting:
                self.submit()
            time.sleep(0.02)
        self.settle()
