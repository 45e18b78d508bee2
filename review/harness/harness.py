"""Stand-ins of the platform's store, of engines and of clients, and gateways as processes, all on loopback.

One event loop runs the stand-ins; the gateways are the project's own program with the deploy file's command.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up; says nothing about the gateway."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt: what was sent, answered and run, in seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.add(f"TROUBLE={1 if trouble() else 0}")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    """A port that is free for TCP and UDP at the address."""
    for _ in range(50):
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            return port
    raise CannotRun(f"no free port at {ip}")


# HTTP/1.1, as much as the stand-ins need.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


def parse_head(data):
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return lines[0], headers


def find_header(headers, name):
    return next((v for k, v in headers if k.lower() == name.lower()), "")


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers, read=None):
    if "chunked" in find_header(headers, "Transfer-Encoding").lower():
        return await read_chunks(reader)
    length = int(find_header(headers, "Content-Length") or 0)
    if read:
        return await read(reader, length)
    return await reader.readexactly(length) if length else b""


def head_bytes(status, headers):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body):
    return head_bytes(status, list(headers) + [("Content-Length", len(body))]) + body


def reset(writer):
    """Resets the connection; a plain close would look like the end of an answer without a length."""
    sock = writer.get_extra_info("socket")
    if sock and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpStandIn:
    """Serves one request at a time on a connection. A peer that closes ends the request that runs."""

    def __init__(self):
        self.server = None
        self.connections = set()

    async def listen(self, ip, port=0, **options):
        self.server = await asyncio.start_server(self.serve, ip, port, **options)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def handle(self, request, writer):
        raise NotImplementedError

    async def read_request_body(self, reader, length):
        return await reader.readexactly(length) if length else b""

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers, self.read_request_body)
                request = Request(method, target, headers, body)
                work = asyncio.ensure_future(self.handle(request, writer))
                left = asyncio.ensure_future(self.wait_for_close(reader))
                await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.request_dropped(request)
                    break
                left.cancel()
                if work.result() is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def request_dropped(self, request):
        pass

    @staticmethod
    async def wait_for_close(reader):
        while not reader.at_eof():
            await asyncio.sleep(0.01)

    def end(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
        for it in list(self.connections):
            reset(it)


class Store(HttpStandIn):
    """The platform's store as PROTOCOL.md describes it: lists, watches and writes; one revision counter."""

    latency_s = 0.004
    page = 500

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """`spec` is JSON, or the bytes that another writer left. Returns when the write was acknowledged."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, self.encode(spec))
        self.history.append((kind, self.revision, self.object_bytes(kind, name), False))
        self.notify()
        self.record.add(f"store acknowledged {kind}/{name} at revision {self.revision}")
        return time.monotonic()

    def remove(self, kind, name):
        self.revision += 1
        body = self.object_bytes(kind, name)
        del self.objects[kind][name]
        self.history.append((kind, self.revision, body, True))
        self.notify()
        self.record.add(f"store removed {kind}/{name} at revision {self.revision}")
        return time.monotonic()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def encode(spec):
        return spec if isinstance(spec, bytes) else json.dumps(spec).encode()

    def object_bytes(self, kind, name):
        revision, spec = self.objects[kind][name]
        meta = json.dumps({"name": name, "revision": revision, "created": 0, "finalizers": [], "deleting": False})
        return b'{"metadata":' + meta.encode() + b',"spec":' + spec + b',"status":{}}'

    async def handle(self, request, writer):
        await asyncio.sleep(self.latency_s)
        path, _, query = request.target.partition("?")
        query = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        parts = path.split("/")[3:]
        kind = parts[0]
        if request.method == "GET" and "watch" in query:
            body = await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
            writer.write(answer_bytes(200, [("Content-Type", "application/json")], body))
        elif request.method == "GET":
            names = sorted(it for it in self.objects.get(kind, {}) if it > query.get("after", ""))
            items = b",".join(self.object_bytes(kind, it) for it in names[: self.page])
            more = b"true" if len(names) > self.page else b"false"
            body = b'{"items":[' + items + b'],"hasMore":' + more + b',"currentRev":%d}' % self.revision
            writer.write(answer_bytes(200, [("Content-Type", "application/json")], body))
        else:
            sent = json.loads(request.body)
            name = parts[1] if len(parts) > 1 else sent["metadata"]["name"]
            exists = name in self.objects.get(kind, {})
            if request.method == "POST" and exists:
                writer.write(answer_bytes(409, [], self.object_bytes(kind, name)))
            else:
                self.put(kind, name, sent["spec"])
                writer.write(answer_bytes(200 if exists else 201, [], self.object_bytes(kind, name)))
        await writer.drain()

    async def watch(self, kind, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [it for it in self.history if it[0] == kind and it[1] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        text = b",".join(
            b'{"object":' + body + b',"deleted":' + (b"true" if gone else b"false") + b"}"
            for _, _, body, gone in events
        )
        return b'{"events":[' + text + b'],"currentRev":%d}' % self.revision


class Engine(HttpStandIn):
    """A plain application server. Notes what it begins to run and what it ends."""

    def __init__(self, record, name, service, zone, slots=6, work_s=0.015):
        super().__init__()
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        # (time, request id, tenant, path) of each run.
        self.runs = []
        self.ended = set()
        self.dropped = []

    def entry(self, state="ready", **changes):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": 1,
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": self.born,
        } | changes

    def common(self, request):
        return [("Request-Id", request.header("Request-Id"))]

    def seal(self, request, body):
        return ("Engine-Seal", f"{self.name}.{request.header('Request-Id')}.{len(body)}")

    async def rejected(self, request, writer):
        """Answers what is no request to run: calls to the engine itself, and requests meant for another engine."""
        expected = request.header("Expect-Instance")
        is_call = request.target.startswith("/-/")
        if not is_call and expected in ("", self.name):
            return False
        writer.write(answer_bytes(404 if is_call else 421, self.common(request), b""))
        await writer.drain()
        return True

    async def handle(self, request, writer):
        if await self.rejected(request, writer):
            return None
        self.runs.append((time.monotonic(), request.header("Request-Id"), request.header("Tenant"), request.target))
        body = await self.run(request)
        self.ended.add(request.header("Request-Id"))
        writer.write(answer_bytes(200, self.common(request) + [self.seal(request, body)], body))
        return await writer.drain()

    async def run(self, request):
        await asyncio.sleep(self.work_s)
        return f"answer of {self.name} to {request.header('Request-Id')}\n".encode() * 20

    def request_dropped(self, request):
        self.dropped.append(request.header("Request-Id"))


class ModelEngine(Engine):
    """Answers with a stream of events. Drops a stream whose connection closes."""

    events, event_s, prefill_s = 100, 0.05, 0.0

    async def handle(self, request, writer):
        if await self.rejected(request, writer):
            return None
        request_id = request.header("Request-Id")
        self.runs.append((time.monotonic(), request_id, request.header("Tenant"), request.target))
        await asyncio.sleep(self.prefill_s)
        stream = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(head_bytes(200, self.common(request) + [self.seal(request, b"")] + stream))
        for n in range(int(request.header("Last-Event-Id") or 0) + 1, self.events + 1):
            event = f"id: {n}\ndata: part {n} for {request_id}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        self.ended.add(request_id)
        return await writer.drain()


# The manifest.


def route(name, service, kind="unsafe", prefix=None, **changes):
    return {
        "name": name, "host": "ficu95.example", "pathPrefix": prefix or f"/{name}/", "service": service, "kind": kind,
        "timeoutMs": 1500, "targetLatencyMs": 100, "priority": 2, "maxAttempts": 1 if kind == "unsafe" else 2,
    } | changes


def manifest(version, routes, services, tenants=None, **limits):
    out = {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        | limits,
    }
    if tenants is not None:
        out["tenants"] = [{"name": name, "apiKeys": keys} for name, keys in tenants.items()]
    return out


# Gateways.


def deploy_role():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["gateway"]


def render(template, values):
    """Fills in the placeholders that the template uses: plain values and {{a.b}}."""

    def value(match):
        at = values
        for key in match[1].split("."):
            at = at[int(key)] if isinstance(at, list) else at[key]
        return str(at)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Gateway:
    """The project's gateway as a process, with the command and the settings file of the deploy file."""

    def __init__(self, record, folder, name, zone, ip, store, **bounds):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        ports = [free_port(ip) for _ in range(5)]
        self.front, self.ready, self.directory = (f"{ip}:{ports[n]}" for n in range(3))
        values = {
            "nodeName": name, "zone": zone, "ip": ip,
            "listen": {"front": self.front, "readyAddress": self.ready, "directory": self.directory},
            "internalPorts": [ports[3], ports[4]], "platform": {"address": store.address},
            "bounds": {"graceS": 8, "drainMs": 2000, "retryBudgetRatio": 0.8, "budgetSlack": 150, "budgetWindowS": 10}
            | bounds,
        }
        role = deploy_role()
        self.settings = Path(folder) / f"{name}.toml"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self.command = [str(self.settings) if it.startswith("/etc/") else it for it in role["run"].split()]
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C"},
            )
        self.record.add(f"started {self.name}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.add(f"{signal.Signals(number).name} to {self.name}")

    def exit_code(self):
        return self.process.poll() if self.process else None

    def memory_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


# Clients.


class Answer:
    """What the client saw: `status` is None if the connection ended before a head."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete, self.error = None, [], b"", False, ""

    def header(self, name):
        return find_header(self.headers, name)

    def __str__(self):
        state = "complete" if self.is_complete else f"incomplete ({self.error})"
        return f"{self.status} {state}, {len(self.body)} bytes, seal '{self.header('Engine-Seal')}'"


class Connection:
    """A client's kept connection."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.port), 1)

    async def call(self, method, target, headers, body=b"", timeout=5.0):
        out = Answer()
        try:
            await asyncio.wait_for(self.exchange(method, target, headers, body, out), timeout)
        except asyncio.TimeoutError:
            out.error = "no answer in time"
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
            out.error = type(error).__name__
        if not out.is_complete or out.header("Connection").lower() == "close":
            self.close()
        return out

    async def exchange(self, method, target, headers, body, out):
        if not self.writer:
            await self.open()
        headers = list(headers)
        if body or method == "POST":
            headers.append(("Content-Length", len(body)))
        lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        line, out.headers = parse_head((await self.reader.readuntil(b"\r\n\r\n"))[:-4])
        out.status = int(line.split(" ")[1])
        if "chunked" in out.header("Transfer-Encoding").lower():
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                if size == 0:
                    await self.reader.readline()
                    break
                out.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
        else:
            out.body = await self.reader.readexactly(int(out.header("Content-Length") or 0))
        out.is_complete = True

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Ids:
    def __init__(self):
        self.last = 0

    def next(self):
        self.last += 1
        return f"{os.getpid() & 0xFFFF:04x}{self.last:012x}"


def request_headers(request_id, key=None, deadline_ms=1500, **more):
    out = [("Host", "ficu95.example"), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms)]
    if key is not None:
        out.append(("Authorization", f"Bearer {key}"))
    return out + [(k.replace("_", "-"), v) for k, v in more.items()]


async def wait_until(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"{what} within {seconds} s")


async def is_ready(gateway):
    connection = Connection(gateway.ready)
    answer = await connection.call("GET", "/-/ready", [("Host", gateway.ready)], timeout=1)
    connection.close()
    return answer.status == 200


async def wait_ready(gateways, seconds=15):
    for it in gateways:
        await wait_until(lambda gateway=it: is_ready(gateway), seconds, f"{it.name} is not ready")


class Case:
    """Owns what was started. The gateways and the folder end with end(), the stand-ins with the event loop."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.gateways, self.stand_ins = [], []
        self.folder = tempfile.TemporaryDirectory(prefix="wisteria-review-")

    async def store(self, **changes):
        store = Store(self.record)
        for key, value in changes.items():
            setattr(store, key, value)
        await store.listen("127.0.0.1")
        self.stand_ins.append(store)
        return store

    async def engine(self, name, service, zone="kochi", kind=Engine, **options):
        engine = kind(self.record, name, service, zone, **options)
        await engine.listen("127.0.0.1")
        self.stand_ins.append(engine)
        return engine

    def gateway(self, name, zone, ip, store, **bounds):
        gateway = Gateway(self.record, self.folder.name, name, zone, ip, store, **bounds)
        self.gateways.append(gateway)
        return gateway

    def end(self):
        for it in self.gateways:
            it.end()
        self.folder.cleanup()


def run_case(folder, body, limit_s=110):
    """Runs `async body(case) -> bool`, true if the rule was broken, and exits with the verdict."""
    case = Case(folder)
    verdict = CANNOT_RUN

    async def run():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(body(case), limit_s)
        finally:
            for it in case.stand_ins:
                it.end()

    try:
        verdict = BROKEN if asyncio.run(run()) else HELD
    except CannotRun as error:
        case.record.add(f"cannot run: {error}")
    except (asyncio.TimeoutError, asyncio.CancelledError) as error:
        case.record.add(f"cannot run: {type(error).__name__}")
    finally:
        case.end()
    words = {BROKEN: "the rule was broken", HELD: "the rule held", CANNOT_RUN: "could not run"}
    case.record.add(words[verdict])
    print(words[verdict])
    sys.exit(verdict)
