"""Runs a small fleet of real processes on loopback for the main job and the failure tests.

Everything is started by this module and ended by the process ids that it started."""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time

HOST = "127.0.0.1"
START_TIMEOUT_S = 20
# Machines that run tests are slow at times; nothing is asserted about durations, so this only ends a hang.
PATIENCE_S = 90


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def request(address, method, path, body=None, headers=None, timeout=30):
    """One HTTP request; returns (status, headers, parsed JSON or text)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        all_headers = dict(headers or {})
        data = None
        if body is not None:
            data = body if isinstance(body, (bytes, str)) else json.dumps(body)
            all_headers.setdefault("Content-Type", "application/json")
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
        try:
            parsed = json.loads(text)
        except ValueError:
            parsed = text
        return response.status, dict(response.getheaders()), parsed
    finally:
        connection.close()


class Process:
    """One started program; its output goes to a file of the fleet's scratch folder."""

    def __init__(self, name, command, folder, waits_for_listening):
        self.name = name
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "ab")
        self.address = None
        stdout = subprocess.PIPE if waits_for_listening else self.log
        self.popen = subprocess.Popen(command, stdout=stdout, stderr=self.log, stdin=subprocess.DEVNULL)
        if waits_for_listening:
            line = self.popen.stdout.readline().decode()
            if not line.startswith("listening "):
                raise RuntimeError(f"{name} did not start: {line!r}")
            self.address = line.split()[1]

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()
        self.log.close()
        if self.popen.stdout:
            self.popen.stdout.close()

    def freeze(self):
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.popen.send_signal(signal.SIGCONT)

    def text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    """Stand-ins, routers and tools. Use as a context manager."""

    def __init__(self, build, token_ms=10):
        self.bin = os.path.join(build, "bin")
        self.token_ms = token_ms
        self.scratch = tempfile.TemporaryDirectory(prefix="wisteriahold-")
        self.folder = self.scratch.name
        self.processes = {}
        self.routers = {}
        self.targets = {}

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        for process in self.processes.values():
            process.kill()
        if kind is not None:
            for process in self.processes.values():
                print(f"---- {process.name}\n" + "\n".join(process.text().splitlines()[-25:]))
        self.scratch.cleanup()

    def start(self, name, binary, *arguments, waits_for_listening=False):
        command = [os.path.join(self.bin, binary), *arguments]
        process = Process(name, command, self.folder, waits_for_listening)
        self.processes[name] = process
        return process

    def stand_in(self, name, kind, *arguments, listen=f"{HOST}:0"):
        return self.start(name, f"standin-{kind}", "--listen", listen, *arguments, waits_for_listening=True)

    def start_platform(self):
        self.store = self.stand_in("object-api", "object-api")
        self.vms = self.stand_in("vm-list", "vm-list")

    def engine(self, name, domain, *arguments):
        process = self.stand_in(name, "engine", "--token-ms", str(self.token_ms), *arguments)
        self.targets[name] = ("digest", process.address, domain)
        return process

    def plain_service(self, name, domain):
        process = self.stand_in(name, "plain-service")
        self.targets[name] = ("bookings", process.address, domain)
        return process

    def write_settings(self, name, text):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def plan_routers(self, names_and_domains):
        """Chooses the addresses first, since each router's seeds name the others."""
        for name, domain in names_and_domains:
            self.routers[name] = {"domain": domain, "callers": f"{HOST}:{free_port()}", "peers": f"{HOST}:{free_port()}"}

    def start_router(self, name):
        router = self.routers[name]
        seeds = json.dumps([it["peers"] for it in self.routers.values()])
        path = self.write_settings(name, f"""
id = "{name}"
domain = "{router['domain']}"
seeds = {seeds}
[listen]
callers = "{router['callers']}"
peers = "{router['peers']}"
[platform]
object_api = "{self.store.address}"
vm_list = "{self.vms.address}"
[log]
level = "info"
""")
        process = self.start(name, "wisteria-router", "--config", path)
        self.wait_until(lambda: self.answers(router["callers"]), f"{name} answers")
        return process

    @staticmethod
    def answers(address):
        try:
            return request(address, "GET", "/healthz", timeout=2)[0] in (200, 503)
        except OSError:
            return False

    @staticmethod
    def wait_until(condition, what, timeout=PATIENCE_S):
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"timed out: {what}")
            time.sleep(0.05)

    def entry(self, name):
        return self.routers[name]["callers"]

    def all_entries(self):
        return ",".join(it["callers"] for it in self.routers.values())

    def ctl(self, *arguments, check=True):
        path = self.write_settings("operator", "operator = \"test\"\nentry_points = "
                                   + json.dumps([it["callers"] for it in self.routers.values()]) + "\n")
        command = [os.path.join(self.bin, "wisteriactl"), "--config", path, *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=PATIENCE_S, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"wisteriactl {' '.join(arguments)}: {result.returncode}\n{result.stdout}{result.stderr}")
        return result

    def publish_vms(self, leaving=()):
        vms = [{"target": name, "address": address, "state": "leaving" if name in leaving else "live"}
               for name, (_, address, _) in self.targets.items()]
        request(self.vms.address, "PUT", "/standin/vms", {"vms": vms})

    def status(self, router):
        return request(self.entry(router), "GET", "/v1/admin/status")[2]

    def wait_fresh(self, *names):
        for name in names or self.routers:
            self.wait_until(lambda it=name: self.status(it).get("fresh"), f"{name} is fresh")

    def fault(self, process, **fault):
        status, _, answer = request(process.address, "POST", "/standin/fault", fault)
        assert status == 200, answer

    def stats(self, process):
        return request(process.address, "GET", "/standin/stats")[2]

    def runs(self, process):
        return request(process.address, "GET", "/standin/runs")[2]

    def expected(self, engine, prompt, max_tokens):
        return request(engine.address, "POST", "/standin/expected", {"prompt": prompt, "max_tokens": max_tokens})[2]["text"]

    def serving_engines(self):
        """Names of engines with a stream running now."""
        busy = []
        for name, (service, address, _) in self.targets.items():
            if service != "digest" or self.processes[name].popen.poll() is not None:
                continue
            try:
                if request(address, "GET", "/load", timeout=2)[2]["running"] > 0:
                    busy.append(name)
            except OSError:
                pass
        return busy


class Caller(threading.Thread):
    """Runs wisteria-call in the background and keeps its answer and its trace of tokens."""

    def __init__(self, fleet, *arguments, stdin=None, entries=None):
        super().__init__()
        self.trace_path = os.path.join(fleet.folder, f"trace-{id(self)}.jsonl")
        settings = fleet.write_settings(f"caller-{id(self)}", "entry_points = " + json.dumps(
            entries or [it["callers"] for it in fleet.routers.values()]) + "\nworkspace = \"kochi\"\n")
        kind, rest = arguments[0], list(arguments[1:])
        extra = ["--trace", self.trace_path] if kind == "complete" else []
        self.command = [os.path.join(fleet.bin, "wisteria-call"), "--config", settings, kind, *rest, *extra]
        self.stdin = stdin
        self.result = None

    def run(self):
        self.result = subprocess.run(self.command, input=self.stdin, capture_output=True, text=True,
                                     timeout=PATIENCE_S * 2, check=False)

    def tokens(self):
        """The trace so far: one dictionary a token."""
        try:
            with open(self.trace_path, encoding="utf-8") as file:
                return [json.loads(line) for line in file if line.endswith("\n")]
        except FileNotFoundError:
            return []
