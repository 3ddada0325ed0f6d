"""One hemlockward-node without a platform: reload, refusal, planned stop, whole log lines.

Usage: node_test.py (with HEMLOCKWARD_BIN set)
"""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def status(url):
    try:
        with urllib.request.urlopen(url, timeout=3) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def main():
    binary = pathlib.Path(os.environ["HEMLOCKWARD_BIN"]) / "hemlockward-node"
    front, readiness, peer, store = (free_port() for _ in range(4))
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "node.yaml"
        text = (
            f'name: "n1"\nlisten: {{front: "127.0.0.1:{front}", readiness: "127.0.0.1:{readiness}",'
            f' peer: "127.0.0.1:{peer}"}}\nplatform: {{store: "127.0.0.1:{store}"}}\nlog: {{file: "-"}}\n'
        )
        settings.write_text(text)
        process = subprocess.Popen([binary, "--settings", settings], stdout=subprocess.PIPE, text=True)
        try:
            for _ in range(100):
                try:
                    ready = status(f"http://127.0.0.1:{readiness}/v1/ready")
                    break
                except (urllib.error.URLError, ConnectionError):
                    time.sleep(0.05)
            else:
                raise AssertionError("the node didn't start")
            assert ready == 503, f"ready without a configuration: {ready}"
            assert status(f"http://127.0.0.1:{front}/queue/0123456789abcdef") == 503
            assert status(f"http://127.0.0.1:{readiness}/metrics") == 200
            process.send_signal(signal.SIGHUP)
            time.sleep(0.5)
            settings.write_text("name: [\n")
            process.send_signal(signal.SIGHUP)
            time.sleep(0.5)
            assert process.poll() is None, "a faulty settings file ended the node"
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=20)
        finally:
            if process.poll() is None:
                process.kill()
    assert process.returncode == 0, process.returncode
    lines = output.splitlines()
    assert all(line.startswith("time=") for line in lines), lines
    events = [word for line in lines for word in line.split() if word.startswith("event=")]
    for event in ("start", "reload", "settings_not_reloaded", "stop", "stopped"):
        assert f"event={event}" in events, f"no {event} in {events}"
    bad = subprocess.run(
        [binary, "--set", "name=n1", "--set", "listen.front=nowhere"], capture_output=True, text=True
    )
    assert bad.returncode == 1 and "listen.front" in bad.stderr, bad
    print("1 passed, 0 failed")


if __name__ == "__main__":
    sys.exit(main())
