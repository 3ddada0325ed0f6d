"""Starts hemlockward and its stand-ins as separate processes on loopback.

The settings are those of examples/local, with their ports shifted, so that
several clusters can run side by side. Only processes started here are stopped.
"""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("HEMLOCKWARD_BIN", ROOT / "build/release/bin"))
EXAMPLES = ROOT / "examples/local"
EXAMPLE_PORT = re.compile(r"\b20(\d{3})\b")
ENTRIES = ("entry-1", "entry-2", "entry-3")
CONTROLS = ("control-1", "control-2")


class Failure(Exception):
    """A check that did not hold."""


def check(holds, what):
    if not holds:
        raise Failure(what)


def call(method, address, path, body=None, headers=None, timeout=5.0):
    """Returns (status, headers, body); raises OSError without an answer."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.headers, error.read()
    except http.client.HTTPException as error:
        raise OSError(f"no whole answer: {error}") from error


def wait_for(what, holds, limit_s=20.0, pause_s=0.1):
    """Polls until `holds()` is true; errors of a process that is not up count as false."""
    end = time.monotonic() + limit_s
    while True:
        try:
            if holds():
                return
        except (OSError, ValueError, KeyError):
            pass
        check(time.monotonic() < end, f"not within {limit_s} s: {what}")
        time.sleep(pause_s)


class Cluster:
    """One set of processes; use as a context manager."""

    def __init__(self, first_port, log_level="info", target_service_time="20ms"):
        # Lets a second run on one machine keep clear of the first.
        more = int(os.environ.get("HEMLOCKWARD_PORT_SHIFT", "0"))
        self.shift = first_port - 20000 + more
        self.log_level = log_level
        self.target_service_time = target_service_time
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="hemlockward-"))
        self.processes = {}
        self.platform = self.address(1)
        self.monitor = self.address(2)
        self.targets = self.address(100)
        self.entries = {name: self.address(11 + i) for i, name in enumerate(ENTRIES)}
        self.controls = {name: self.address(31 + i) for i, name in enumerate(CONTROLS)}

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        self.stop()
        if kind is None and "HEMLOCKWARD_KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.dir, ignore_errors=True)
        else:
            print(f"logs: {self.dir}", flush=True)

    def address(self, offset):
        return f"127.0.0.1:{20000 + self.shift + offset}"

    def settings(self, name):
        """Writes a copy of examples/local/NAME with the ports of this cluster."""
        text = (EXAMPLES / name).read_text()
        text = EXAMPLE_PORT.sub(lambda it: str(20000 + int(it[1]) + self.shift), text)
        path = self.dir / name
        path.write_text(text)
        return path

    def spawn(self, name, program, settings, *overrides):
        command = [str(BIN / program), "--settings", str(settings)]
        for it in overrides:
            command += ["--set", it]
        with open(self.dir / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def start_standins(self):
        vms = self.settings("vms.yaml")
        self.spawn("targets", "standin-target", self.settings("target.yaml"),
                   f"service_time={self.target_service_time}")
        self.spawn("platform", "standin-platform", vms, f"listen={self.platform}",
                   "list_lag=500ms", "reboot_time=1s")
        self.spawn("monitor", "standin-monitor", vms, f"listen={self.monitor}")
        for address in (self.targets, self.platform, self.monitor):
            wait_for(f"{address} serves", lambda: call("GET", address, "/healthz")[0] == 200)

    def start_entry(self, name):
        self.spawn(name, "hemlockward-entry", self.settings(f"{name}.yaml"),
                   f"log.level={self.log_level}")

    def start_control(self, name):
        self.spawn(name, "hemlockward-control", self.settings(f"{name}.yaml"),
                   f"log.level={self.log_level}")

    def start(self, *documents):
        """Starts everything and applies the documents; returns when requests can be served."""
        self.start_standins()
        for name in CONTROLS:
            self.start_control(name)
        for name in ENTRIES:
            self.start_entry(name)
        for name, address in self.controls.items():
            self.wait_ready(name, address)
        for name in documents:
            self.apply(self.settings(name))
        for name, address in self.entries.items():
            self.wait_ready(name, address, 40)

    def wait_ready(self, name, address, limit_s=20.0):
        """Waits for /readyz. Fails at once when a process has ended: with a port in use,
        another run's process would answer in place of ours."""
        def ready():
            for each, process in self.processes.items():
                check(process.poll() is None, f"{each} has ended; see {self.dir / each}.log")
            return call("GET", address, "/readyz")[0] == 200
        wait_for(f"{name} is ready", ready, limit_s)

    def ctl(self, *arguments, expect=0):
        """Runs hemlockctl and returns its standard output."""
        command = [str(BIN / "hemlockctl"), *arguments]
        for address in self.controls.values():
            command += ["--control", address]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        check(done.returncode == expect,
              f"{' '.join(arguments)}: exit {done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout

    def apply(self, path):
        self.ctl("document", "apply", str(path))

    def fleet(self):
        return json.loads(self.ctl("fleet", "--output", "json"))

    def faults(self, address, **faults):
        status, _, body = call("POST", address, "/faults", json.dumps(faults))
        check(status == 200, f"faults not set: {body!r}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def load(self, *overrides):
        """Starts hemlockward-load through all entries; see load_summary."""
        command = [str(BIN / "hemlockward-load"), "--set", f"targets={self.targets}"]
        settings = self.dir / "load.yaml"
        settings.write_text("entries: [%s]\nservices: [fitting, booking]\n"
                            % ", ".join(self.entries.values()))
        command += ["--settings", str(settings)]
        for it in overrides:
            command += ["--set", it]
        self.processes["load"] = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)

    def load_summary(self, limit_s):
        """Waits for the load and returns (exit code, summary)."""
        process = self.processes["load"]
        out, _ = process.communicate(timeout=limit_s)
        check(out.strip(), "the load printed no summary")
        return process.returncode, json.loads(out.strip().splitlines()[-1])

    def runs(self):
        status, _, body = call("GET", self.targets, "/runs?request_ids=true", timeout=20)
        check(status == 200, "the targets don't say what ran")
        return json.loads(body)

    def stats(self):
        return json.loads(call("GET", self.platform, "/stats")[2])

    def stop(self):
        running = [it for it in self.processes.values() if it.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + 5
        for process in running:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
