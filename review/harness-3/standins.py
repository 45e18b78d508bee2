"""Stand-ins for the scripts of review 3: the platform's store, engines and clients, and the gateways as processes.

Everything runs on loopback addresses and the real clock, with Python's standard library alone. The stand-ins
follow PROTOCOL.md; where it is silent they behave like a sound store, engine or client.
"""

import asyncio
import json
import os
import re
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "bin", "wisteria-gateway")

# The bounds of the smaller sites.
DRAIN_MS = 2000
CONTACT_MS = 3000
CONFIG_APPLY_MS = 2000
GRACE_S = 8

started_at = time.monotonic()


def now():
    return time.monotonic()


def run_case(main):
    """Runs the case and returns its exit status; connections that are open at its end are dropped silently."""

    async def quietly():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await main()
        except (OSError, RuntimeError) as error:
            print("the case could not run: %r" % error)
            return 2

    return asyncio.run(quietly())


class Record:
    """What was sent, answered and run, as text lines with the seconds since the start."""

    # The one of the running case.
    current = None

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        Record.current = self

    def write(self, text):
        self.file.write("%9.3f  %s\n" % (now() - started_at, text))
        self.file.flush()


def free_ports(n, host="127.0.0.1"):
    socks, ports = [], []
    for _ in range(n):
        s = socket.socket()
        s.bind((host, 0))
        socks.append(s)
        ports.append(s.getsockname()[1])
    for s in socks:
        s.close()
    return ports


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------


async def read_head(reader):
    """First line and fields (names in lower case); None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return out
            out += data[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, body=b"", fields=None, reason="X"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in (fields or {}).items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


# --- the platform's store ---------------------------------------------------------------------------------


class Store:
    """Objects by kind and name, one revision counter, lists, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.connections = set()
        self.silent = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        obj = {"metadata": {"name": name, "revision": self.revision,
                            "created": old["metadata"]["created"] if old else self.revision,
                            "finalizers": [], "deleting": False},
               "spec": spec, "status": None}
        self.objects[kind][name] = obj
        self._note(kind, obj, False)
        return obj

    def delete(self, kind, name):
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is None:
            return
        self.revision += 1
        obj = json.loads(json.dumps(obj))
        obj["metadata"]["revision"] = self.revision
        self._note(kind, obj, True)

    def _note(self, kind, obj, deleted):
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def silence_open_connections(self):
        """All connections that are open now carry nothing more in either direction; new ones work."""
        self.silent |= self.connections
        return len(self.connections)

    def drop_silent_connections(self):
        """What a keep-alive of the gateways, or their limit on unacknowledged data, does to such connections."""
        for writer in list(self.silent):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if writer in self.silent:
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                out = await self.answer(head[0].split(" ")[0], head[0].split(" ")[1], body, writer)
                if writer in self.silent:
                    await asyncio.sleep(3600)
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def answer(self, method, target, body, writer):
        def reply(status, value):
            return response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        kind = parts[0] if parts else ""
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and len(parts) == 1 and "watch" in query:
            after, until = int(query["watch"]), now() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [e for rev, k, e in self.history if k == kind and rev > after]
                if events or now() >= until or writer in self.silent:
                    return reply(200, {"events": events, "currentRev": self.revision})
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), max(0.0, until - now()))
                except asyncio.TimeoutError:
                    pass
        if method == "GET" and len(parts) == 1:
            items = [objects[n] for n in sorted(objects) if n > query.get("after", "")]
            return reply(200, {"items": items[:500], "hasMore": len(items) > 500, "currentRev": self.revision})
        if method == "GET":
            return reply(200, objects[parts[1]]) if parts[1] in objects else reply(404, {})
        if method == "POST":
            value = json.loads(body)
            name = value["metadata"]["name"]
            if name in objects:
                return reply(409, objects[name])
            return reply(201, self.put(kind, name, value.get("spec")))
        if method == "PUT" and len(parts) == 2:
            value = json.loads(body)
            if parts[1] not in objects:
                return reply(404, {})
            revision = value.get("metadata", {}).get("revision")
            if revision is not None and revision != objects[parts[1]]["metadata"]["revision"]:
                return reply(409, objects[parts[1]])
            if value.get("spec") == objects[parts[1]]["spec"]:
                return reply(200, objects[parts[1]])
            return reply(200, self.put(kind, parts[1], value.get("spec")))
        return reply(404, {})


# --- engines ----------------------------------------------------------------------------------------------


class Engine:
    """One engine of a plain service. It registers itself and renews its entry."""

    def __init__(self, record, store, service, zone, name, slots=6, work_ms=15):
        self.record, self.store, self.service, self.zone, self.id = record, store, service, zone, name
        self.slots, self.work_s = slots, work_ms / 1000
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_registered = False
        # (request id, when it reached the engine, path)
        self.runs = []

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.is_registered = True
        self.beat()
        self.beats = asyncio.ensure_future(self.renew())

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born})

    async def renew(self):
        while self.is_registered:
            await asyncio.sleep(1.2)
            if self.is_registered:
                self.beat()

    def leave_without_notice(self):
        """The entry is removed; the engine serves on for a while."""
        self.is_registered = False
        self.store.delete("servers", self.id)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                fields = head[1]
                await read_body(reader, fields)
                if head[0].split(" ")[1] == "/health":
                    writer.write(response(200, b"", {"Instance-Id": self.id}))
                    continue
                if fields.get("expect-instance", self.id) != self.id:
                    writer.write(response(421, b"", {"Instance-Id": self.id,
                                                     "Request-Id": fields["request-id"]}))
                    continue
                self.runs.append((fields["request-id"], now(), head[0].split(" ")[1]))
                self.record.write("%s runs %s" % (self.id, fields["request-id"]))
                await asyncio.sleep(self.work_s)
                body = ("answer of %s to %s" % (self.id, fields["request-id"])).encode()
                writer.write(response(200, body, {"Request-Id": fields["request-id"],
                                                  "Engine-Seal": "seal-" + fields["request-id"],
                                                  "Content-Type": "text/plain"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- gateways ---------------------------------------------------------------------------------------------


def fill_template(values):
    """deploy/gateway.toml.in with the platform's placeholders, as DEPLOY.md tells them."""
    text = open(os.path.join(ROOT, "deploy", "gateway.toml.in")).read()

    def look_up(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
                  lambda m: m.group(2) if look_up(m.group(1)) is not None else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m.group(1))), text)


class Gateway:
    def __init__(self, folder, store_address, name, zone, ip, ports):
        front, ready, directory, internal, internal_end = ports
        self.name, self.zone, self.ip, self.port, self.ready_port = name, zone, ip, front, ready
        self.config = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.config, "w") as f:
            f.write(fill_template({
                "nodeName": name, "zone": zone, "ip": ip,
                "listen": {"front": "%s:%d" % (ip, front), "readyAddress": "%s:%d" % (ip, ready),
                           "directory": "%s:%d" % (ip, directory)},
                "internalPorts": [internal, internal_end],
                "limits": {"memoryMb": int(os.environ.get("MEMORY_MB", "110")), "maxFds": 4100},
                "bounds": {"graceS": GRACE_S, "drainMs": DRAIN_MS, "retryBudgetRatio": 0.8,
                           "budgetSlack": 150, "budgetWindowS": 10},
                "platform": {"address": store_address}}))

    async def start(self):
        log = open(self.log, "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            GATEWAY, "--config", self.config, stdout=log, stderr=log, cwd=ROOT, env=env)

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def ended(self):
        return await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


async def wait_until_ready(gateways, seconds=10):
    until = now() + seconds
    while now() < until:
        if all([await g.is_ready() for g in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


# --- clients ----------------------------------------------------------------------------------------------


class Client:
    """Keeps one connection to a gateway and sends one request at a time on it."""

    count = 0
    # The gateway to which each request was sent, by request id.
    gateway_of = {}

    def __init__(self, gateway):
        self.gateway = gateway
        self.streams = None

    async def call(self, method, path, key, deadline_ms, body=b"", host="site.example", extra=None):
        """Returns (request id, when it was sent, status or None, the answer's fields, body)."""
        Client.count += 1
        request = "%08x%08x" % (os.getpid(), Client.count)
        Client.gateway_of[request] = self.gateway.name
        fields = {"Host": host, "Request-Id": request, "Deadline-Ms": deadline_ms,
                  "Authorization": "Bearer " + key, "Content-Length": len(body)}
        fields.update(extra or {})
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % it for it in fields.items()) + "\r\n"
        sent_at = now()
        try:
            if self.streams is None:
                self.streams = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.ip, self.gateway.port, limit=1 << 20), 1)
            reader, writer = self.streams
            sent_at = now()
            Record.current.write("client sends %s, %s %s, to %s" % (request, method, path, self.gateway.name))
            writer.write(head.encode("latin-1") + body)
            got = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
            if got is None:
                raise ConnectionError
            answer = await asyncio.wait_for(read_body(reader, got[1]), deadline_ms / 1000)
            if got[1].get("connection", "").lower() == "close":
                self.close()
            return request, sent_at, int(got[0].split(" ")[1]), got[1], answer
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return request, sent_at, None, {}, b""

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None


def runs_side_by_side(engines, overlap_s):
    """(request, engine before, engine after, seconds) of runs that went on beside the next one for longer."""
    runs, out = {}, []
    for it in engines:
        for request, began, ended in it.all_work():
            runs.setdefault(request, []).append((began, ended, it.id))
    for request, works in runs.items():
        works.sort()
        for n, (_, first_ended, first) in enumerate(works):
            for began, ended, other in works[n + 1:]:
                overlap = min(first_ended, ended) - began
                if other != first and overlap > overlap_s:
                    out.append((request, first, other, overlap))
    return out


def manifest(version, routes, services, tenants=None):
    out = {"version": version, "routes": routes, "services": services,
           "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                      "idleTimeoutMs": 15000}}
    if tenants:
        out["tenants"] = tenants
    return out


def route(name, prefix, service, kind="unsafe", timeout_ms=1500, attempts=1, **more):
    out = {"name": name, "host": "site.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
           "targetLatencyMs": 100, "priority": 2, "service": service, "maxAttempts": attempts,
           "anonymous": False}
    out.update(more)
    return out


def new_folder():
    return tempfile.mkdtemp(prefix="review-3-")


# --- model engines ----------------------------------------------------------------------------------------


class ModelEngine(Engine):
    """An engine of a model service: streams of events, backups of a run's memory, moves that stop a run."""

    by_address = {}

    def __init__(self, record, store, service, zone, name, slots, events=60, event_ms=50, pause_s=2.0):
        super().__init__(record, store, service, zone, name, slots)
        self.events, self.event_s, self.pause_s = events, event_ms / 1000, pause_s
        # Work by request id: [began, ended or None, task, writer or None once the answer is lost].
        self.work = {}
        self.finished = []
        self.backups = set()
        # Requests whose memory is being copied, and how long that takes behind other moves.
        self.moving = set()
        self.move_s = 0
        # PROTOCOL.md: "Most engines drop a request when its connection closes."
        self.notices_close = True
        # How many requests may wait for a slot, and those that do.
        self.queue = 0
        self.waiting = []
        # Called with the engine, a request that begins to wait, and the connection of its answer.
        self.on_waiting = None
        # How many times as long each event takes.
        self.slowness = 1
        # Called with the engine and the request that it has turned away.
        self.on_turned_away = None

    async def start(self, host="127.0.0.1"):
        await super().start(host)
        ModelEngine.by_address[self.address] = self

    def drop_answer(self, request):
        """The connection of the answer is closed in the middle, and the run goes on: its answer is lost."""
        work = self.work[request]
        work[3], writer = None, work[3]
        writer.close()

    async def run(self, request, first):
        work = self.work[request]
        try:
            for n in range(first, self.events + 1):
                await asyncio.sleep(self.event_s * self.slowness)
                text = b"id: %d\ndata: %s-%d\n\n" % (n, request.encode(), n)
                if work[3] is not None and not work[3].is_closing():
                    work[3].write(b"%x\r\n%s\r\n" % (len(text), text))
            if work[3] is not None and not work[3].is_closing():
                work[3].write(b"0\r\n\r\n")
        finally:
            work[1] = now()
            self.finished.append((request, work[0], work[1]))
            self.work.pop(request, None)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path = head[0].split(" ")[:2]
                fields = head[1]
                body = await read_body(reader, fields)
                if path == "/health":
                    writer.write(response(200, b"", {"Instance-Id": self.id}))
                    continue
                if path == "/-/kv-move":
                    writer.write(await self.move(json.loads(body)))
                    continue
                if path.startswith("/-/kv-handle/"):
                    writer.write(response(200))
                    continue
                request = fields["request-id"]
                echo = {"Request-Id": request}
                if fields.get("expect-instance", self.id) != self.id:
                    writer.write(response(421, b"", {"Instance-Id": self.id, **echo}))
                    continue
                source = fields.get("kv-from")
                if source and not (source == self.address + "/" + request and request in self.backups):
                    writer.write(response(503, b"", {"Not-Executed": "1", **echo}))
                    continue
                if len(self.work) + len(self.waiting) >= self.slots + self.queue and not source:
                    self.record.write("%s is full, turns %s away%s" % (
                        self.id, request, " for %.1f s" % self.pause_s if self.pause_s else ""))
                    pause = {"Retry-After": self.pause_s} if self.pause_s else {}
                    writer.write(response(503, b"", {"Not-Executed": "1", **pause, **echo}))
                    if self.on_turned_away:
                        self.on_turned_away(self, request)
                    continue
                # The page: "A request starts to run with its first token." What waits for a slot is no run.
                if len(self.work) >= self.slots and not source:
                    if not await self.wait_for_slot(request, reader, writer):
                        return
                first = int(fields.get("last-event-id", "0")) + 1
                self.record.write("%s begins to work on %s at event %d%s" % (
                    self.id, request, first, ", from its backup" if source else ""))
                writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nEngine-Seal: seal-%s\r\n"
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                              % (request, request)).encode())
                holder = ModelEngine.by_address.get(fields.get("kv-backup", ""))
                if holder:
                    holder.backups.add(request)
                self.work[request] = [now(), None, None, None if writer.is_closing() else writer]
                task = self.work[request][2] = asyncio.ensure_future(self.run(request, first))
                if self.work[request][3] is None:
                    # Its answer was lost while it waited.
                    return
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait([task, closed], return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    # The other end has closed. A run whose answer was lost goes on.
                    work = self.work.get(request)
                    if work and work[3] is not None:
                        self.record.write("%s: the connection of %s has closed%s" % (
                            self.id, request, "" if self.notices_close else ", which it does not notice"))
                        if self.notices_close:
                            task.cancel()
                        else:
                            work[3] = None
                    return
                closed.cancel()
                try:
                    await closed
                except asyncio.CancelledError:
                    pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def wait_for_slot(self, request, reader, writer):
        """False if the other end has closed the connection meanwhile, and the engine has noticed it."""
        self.record.write("%s lets %s wait for a slot" % (self.id, request))
        self.waiting.append(request)
        if self.on_waiting:
            self.on_waiting(self, request, writer)
        while len(self.work) >= self.slots or self.waiting[0] != request:
            await asyncio.sleep(0.01)
            if reader.at_eof() and not writer.is_closing() and self.notices_close:
                self.waiting.remove(request)
                return False
        self.waiting.remove(request)
        return True

    async def move(self, body):
        request, last = body["id"], body.get("last")
        work = self.work.get(request)
        is_busy = request in self.moving
        self.record.write("%s is asked to move %s%s: %s" % (
            self.id, request, ", last" if last else "",
            "no such run" if work is None else "a call is in progress" if is_busy else "runs"))
        if work is None:
            return response(404)
        if is_busy:
            return response(409)
        if last:
            work[2].cancel()
            if work[3] is not None:
                work[3].close()
        else:
            self.moving.add(request)
            await asyncio.sleep(self.move_s)
            self.moving.discard(request)
        return response(200, json.dumps({"handle": "h-%s" % request, "created": 1}).encode(),
                        {"Content-Type": "application/json"})

    def all_work(self):
        """(request, began, ended) of each run, ended or not."""
        return self.finished + [(r, w[0], now()) for r, w in self.work.items()]


async def read_stream(client, path, key, deadline_ms, body, extra):
    """Sends a stream request on a new connection. Returns (request id, status or None, events, complete)."""
    Client.count += 1
    request = "%08x%08x" % (os.getpid(), Client.count)
    Client.gateway_of[request] = client.gateway.name
    fields = {"Host": "site.example", "Request-Id": request, "Deadline-Ms": deadline_ms,
              "Authorization": "Bearer " + key, "Content-Length": len(body), **extra}
    head = "POST %s HTTP/1.1\r\n" % path + "".join("%s: %s\r\n" % it for it in fields.items()) + "\r\n"
    status, events = None, []
    writer = None
    try:
        reader, writer = await asyncio.open_connection(client.gateway.ip, client.gateway.port)
        Record.current.write("client sends %s, POST %s, to %s" % (request, path, client.gateway.name))
        writer.write(head.encode() + body)
        got = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        if got is None:
            return request, None, events, False
        status = int(got[0].split(" ")[1])
        if status != 200:
            await read_body(reader, got[1])
            return request, status, events, True
        while True:
            size = int((await asyncio.wait_for(reader.readline(), 10)).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return request, status, events, True
            events += [int(n) for n in re.findall(rb"(?m)^id: (\d+)$", data)]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return request, status, events, False
    finally:
        if writer:
            writer.close()
