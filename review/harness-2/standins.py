"""Stand-ins of the users' platform for the scripts of the second review: the store, plain engines, and the
gateway's process. Python's standard library only; loopback addresses only."""

import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_ports(count, ip="127.0.0.1"):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for it in sockets:
            it.bind((ip, 0))
        return [it.getsockname()[1] for it in sockets]
    finally:
        for it in sockets:
            it.close()


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        with open(path, "w", encoding="utf-8"):
            pass
        # Processes that a case starts append to it, too.
        self._file = open(path, "a", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, what, **fields):
        with self._lock:
            text = " ".join(f"{name}={value!r}" for name, value in fields.items())
            self._file.write(f"{time.monotonic() - self._start:8.3f} {what} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


class HttpPeer:
    """One accepted connection: reads requests, with a length or in chunks."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def _fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _take(self, count):
        while len(self.buffer) < count:
            self._fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def request(self):
        method, target, _ = self._line().decode("latin-1").split(" ", 2)
        fields = []
        while line := self._line():
            name, value = line.decode("latin-1").split(":", 1)
            fields.append((name.lower(), value.strip()))
        headers = dict(reversed(fields))
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(self._line().split(b";")[0], 16):
                body += self._take(size)
                self._line()
            while self._line():
                pass
        else:
            body = self._take(int(headers.get("content-length", "0")))
        return method, target, headers, body, fields


class Server:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, ip="127.0.0.1", port=0):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self._socket.listen(256)
        self.address = "%s:%d" % self._socket.getsockname()
        self.connections = set()
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        peer = HttpPeer(connection)
        try:
            while self.handle(peer, *peer.request()):
                pass
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def handle(self, peer, method, target, headers, body, fields):
        raise NotImplementedError

    def stop(self):
        self._socket.close()
        with self.lock:
            connections = list(self.connections)
        for it in connections:
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def answer(status, body=b"", fields=(), reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Store(Server):
    """The platform's store: lists in pages, watches, creates and replaces."""

    PAGE = 50
    PAGE_BYTES = 1 << 20

    def __init__(self, **kwargs):
        self.revision = 100
        self.era = 1
        self.objects = {}
        self.history = []
        self.changed = threading.Condition()
        # Called with (method, target) before a call is served; returns a raw answer, False to close the
        # connection, or None to serve it.
        self.hook = lambda method, target: None
        super().__init__(**kwargs)

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            known = self.objects.get((kind, name))
            item = {"metadata": {"name": name, "revision": self.revision,
                                 "created": known["metadata"]["created"] if known else self.revision,
                                 "finalizers": [], "deleting": False},
                    "spec": spec, "status": known["status"] if known else None}
            self.objects[(kind, name)] = item
            self.history.append((self.revision, kind, {"object": item, "deleted": False}))
            self.changed.notify_all()
            return item

    def delete(self, kind, name):
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is None:
                return
            self.revision += 1
            gone = dict(item, metadata=dict(item["metadata"], revision=self.revision))
            self.history.append((self.revision, kind, {"object": gone, "deleted": True}))
            self.changed.notify_all()

    def _json(self, status, body):
        return answer(status, json.dumps(body).encode(),
                      [("Content-Type", "application/json"), ("Store-Era", self.era)])

    def handle(self, peer, method, target, headers, body, fields):
        replaced = self.hook(method, target)
        if replaced is False:
            return False
        if replaced is not None:
            peer.connection.sendall(replaced)
            return True
        path, _, query = target.partition("?")
        options = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        match = re.fullmatch(r"/-/objects/([^/]+)(?:/([^/]+))?(/status)?", path)
        if not match:
            peer.connection.sendall(self._json(404, {}))
            return True
        kind, name = match[1], match[2]
        if method == "GET" and "watch" in options:
            reply = self._watch(kind, int(options["watch"]), int(options.get("waitMs", "0")) / 1000)
        elif method == "GET" and name is None:
            reply = self._list(kind, options.get("after", ""))
        elif method == "GET":
            item = self.objects.get((kind, name))
            reply = self._json(200 if item else 404, item or {})
        elif method == "POST":
            data = json.loads(body)
            known = self.objects.get((kind, data["metadata"]["name"]))
            reply = self._json(409, known) if known else self._json(
                201, self.put(kind, data["metadata"]["name"], data["spec"]))
        elif method == "PUT":
            known = self.objects.get((kind, name))
            data = json.loads(body)
            reply = self._json(404, {}) if not known else self._json(
                200, known if known["spec"] == data["spec"] else self.put(kind, name, data["spec"]))
        else:
            reply = self._json(404, {})
        peer.connection.sendall(reply)
        return True

    def _list(self, kind, after):
        with self.changed:
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items, size = [], 0
            for name in names[:self.PAGE]:
                item = self.objects[(kind, name)]
                size += len(json.dumps(item))
                if items and size > self.PAGE_BYTES:
                    break
                items.append(item)
            return self._json(200, {"items": items, "hasMore": len(names) > len(items),
                                    "currentRev": self.revision})

    def _watch(self, kind, revision, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while True:
                events = [event for rev, k, event in self.history if rev > revision and k == kind]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return self._json(200, {"events": events, "currentRev": self.revision})
                self.changed.wait(left)


class Engine(Server):
    """A plain engine: runs a request in `work_s` and says so in its records."""

    def __init__(self, name, record, work_s=0.01, **kwargs):
        self.name = name
        self.record = record
        self.work_s = work_s
        self.runs = []
        super().__init__(**kwargs)

    def handle(self, peer, method, target, headers, body, fields):
        request_id = headers.get("request-id", "")
        if target == "/health":
            peer.connection.sendall(answer(200, b"", [("Instance-Id", self.name)]))
            return True
        if headers.get("expect-instance", self.name) != self.name:
            peer.connection.sendall(answer(421, b"", [("Instance-Id", self.name), ("Request-Id", request_id)]))
            return True
        self.record.write("run", engine=self.name, id=request_id, method=method, target=target,
                          body=body[:200], body_bytes=len(body), tenant=headers.get("tenant"))
        with self.lock:
            self.runs.append({"id": request_id, "method": method, "target": target, "body": body,
                              "headers": headers, "fields": fields})
        time.sleep(self.work_s)
        return self.reply(peer, request_id)

    def reply(self, peer, request_id):
        peer.connection.sendall(answer(200, f"done {request_id}".encode(),
                                       [("Request-Id", request_id), ("Engine-Seal", f"{self.name}.{request_id}"),
                                        ("Content-Type", "text/plain")]))
        return True

    def entry(self, service, zone="z1", slots=6, state="ready", born=None, **extra):
        return {"service": service, "address": self.address, "zone": zone, "version": "v1", "slots": slots,
                "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": born if born is not None else int(time.time() * 1000), **extra}


def manifest(version, routes, services, tenants=None, **limits):
    out = {"version": version, "routes": routes, "services": services,
           "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                      "idleTimeoutMs": 15000, **limits}}
    if tenants is not None:
        out["tenants"] = tenants
    return out


def route(name, prefix, kind, service, **extra):
    return {"name": name, "host": "app.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000,
            "targetLatencyMs": 100, "priority": 1, "service": service, "maxAttempts": 1, "anonymous": False,
            "stickySessions": False} | extra


class Gateway:
    """The gateway's process, with the command and the template of the deploy file."""

    BOUNDS = {"graceS": 8, "drainMs": 2000, "retryBudgetRatio": 0.8, "budgetSlack": 150, "budgetWindowS": 10}

    def __init__(self, folder, name, store, ip="127.0.0.1", zone="z1", memory_mb=110, max_fds=4100):
        self.folder, self.name = folder, name
        callers, directory, ready, peers, metrics = free_ports(5, ip)
        self.ip, self.callers, self.directory, self.ready, self.metrics = ip, callers, directory, ready, metrics
        values = {"nodeName": name, "zone": zone, "ip": ip, "listen.front": f"{ip}:{callers}",
                  "listen.directory": f"{ip}:{directory}", "listen.readyAddress": f"{ip}:{ready}",
                  "internalPorts.0": peers, "internalPorts.1": metrics, "platform.address": store.address,
                  "limits.memoryMb": memory_mb, "limits.maxFds": max_fds,
                  **{f"bounds.{key}": value for key, value in self.BOUNDS.items()}}
        with open(os.path.join(ROOT, "deploy", "gateway.toml.in"), encoding="utf-8") as file:
            text = re.sub(r"\{\{#bounds\.canaryShare\}\}.*?\{\{/bounds\.canaryShare\}\}", "", file.read(),
                          flags=re.S)
        text = re.sub(r"\{\{([^}]+)\}\}", lambda it: str(values[it[1]]), text)
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None
        self.start()

    def start(self):
        self.log = os.path.join(self.folder, f"{self.name}-{time.monotonic_ns()}.log")
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(["target/bin/wisteria-gateway", "--config", self.settings], cwd=ROOT,
                                            stdout=log, stderr=subprocess.STDOUT, start_new_session=True)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), timeout=1) as it:
                it.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return it.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.is_ready():
                return
            if self.process.poll() is not None:
                raise RuntimeError("the gateway has ended")
            time.sleep(0.05)
        raise RuntimeError("the gateway is not ready")


class Client:
    """One connection to a gateway. Reads answers with a length, in chunks, or up to the close."""

    def __init__(self, gateway, timeout=10):
        self.socket = socket.create_connection((gateway.ip, gateway.callers), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, data):
        self.socket.sendall(data)

    def _fill(self):
        data = self.socket.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _take(self, count):
        while len(self.buffer) < count:
            self._fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def answer(self):
        """Returns (status, headers, body). Raises EOFError if the connection ends before."""
        status = int(self._line().split()[1])
        headers = {}
        while line := self._line():
            name, value = line.decode("latin-1").split(":", 1)
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(self._line(), 16):
                body += self._take(size)
                self._line()
            self._line()
        else:
            body = self._take(int(headers.get("content-length", "0")))
        return status, headers, body

    def close(self):
        self.socket.close()


def request(method, target, request_id, body=b"", deadline_ms=5000, fields=()):
    head = f"{method} {target} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {request_id}\r\n"
    head += f"Deadline-Ms: {deadline_ms}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


class StreamEngine(Server):
    """A model engine: reads the prompt, then sends an event every `step_s`. Keeps copies of its runs at the
    engine that Kv-Backup names, goes on from them, and stops a run by POST /-/kv-move with `last`."""

    copies = {}
    copies_lock = threading.Lock()

    def __init__(self, name, record, events=60, step_s=0.05, prefill_s=0.2, **kwargs):
        self.name, self.record = name, record
        self.events, self.step_s, self.prefill_s = events, step_s, prefill_s
        # Ends the request when its connection closes, as most engines do.
        self.drops = True
        # Called with (request_id, event number) before an event is sent; returns bytes to send in its place, or
        # "reset" to lose the rest of the answer while the run goes on.
        self.spoil = lambda request_id, number: None
        self.runs = []
        self.stop_requests = []
        super().__init__(**kwargs)

    def entry(self, service, zone="z1", slots=64, state="ready", born=None, **extra):
        return Engine.entry(self, service, zone, slots, state, born, stage="both",
                            models=[{"name": "m", "version": 1, "adapters": []}], **extra)

    def handle(self, peer, method, target, headers, body, fields):
        request_id = headers.get("request-id", "")
        if target == "/health":
            peer.connection.sendall(answer(200, b"", [("Instance-Id", self.name)]))
            return True
        if target == "/-/kv-move":
            peer.connection.sendall(self._move(json.loads(body)))
            return True
        if target.startswith("/-/"):
            peer.connection.sendall(answer(200, b"{}", [("Content-Type", "application/json")]))
            return True
        if headers.get("expect-instance", self.name) != self.name:
            peer.connection.sendall(answer(421, b"", [("Instance-Id", self.name), ("Request-Id", request_id)]))
            return True
        source = headers.get("kv-from")
        if source:
            with self.copies_lock:
                known = self.copies.pop((source.split("/", 1)[1], self.address), None)
            if known is None:
                peer.connection.sendall(answer(503, b"", [("Not-Executed", "1"), ("Request-Id", request_id)]))
                return True
        return self._run(peer, request_id, headers, bool(source))

    def _move(self, order):
        with self.lock:
            found = [it for it in self.runs if it["id"] == order["id"] and it["ended"] is None]
            if order.get("last"):
                self.stop_requests.append((time.monotonic(), order["id"]))
        if not found:
            return answer(404, b"{}", [("Content-Type", "application/json")])
        handle = f"h{len(self.runs)}"
        if order.get("last"):
            found[0]["stopped"].set()
            self.record.write("stopped", engine=self.name, id=order["id"])
        else:
            with self.copies_lock:
                self.copies[(handle, order["target"])] = order["id"]
        return answer(200, json.dumps({"handle": handle, "created": found[0]["events"]}).encode(),
                      [("Content-Type", "application/json")])

    def _run(self, peer, request_id, headers, from_copy):
        first = int(headers.get("last-event-id", "0")) + 1
        run = {"id": request_id, "engine": self.name, "first": first, "events": first - 1, "started": None,
               "ended": None, "stopped": threading.Event(), "connected": True}
        with self.lock:
            self.runs.append(run)
        backup = headers.get("kv-backup")
        if backup:
            with self.copies_lock:
                self.copies[(request_id, backup)] = request_id
        if not from_copy:
            time.sleep(self.prefill_s)
        run["started"] = time.monotonic()
        self.record.write("run starts", engine=self.name, id=request_id, first=first, from_copy=from_copy)
        self._send(peer, run, answer(200, b"", [("Request-Id", request_id), ("Weight-Versions", "1"),
                                                ("Engine-Seal", f"{self.name}.{request_id}"),
                                                ("Content-Type", "text/event-stream"),
                                                ("Transfer-Encoding", "chunked")])
                   .replace(b"Content-Length: 0\r\n", b""))
        for number in range(first, self.events + 1):
            if run["stopped"].wait(self.step_s) or (not run["connected"] and self.drops):
                break
            spoiled = self.spoil(request_id, number)
            if spoiled == "reset":
                self.record.write("answer lost", engine=self.name, id=request_id, event=number)
                peer.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.connection.close()
                run["connected"] = False
            event = b"id: %d\ndata: %s/%d\n\n" % (number, request_id.encode(), number)
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            if isinstance(spoiled, bytes):
                self.record.write("spoiled", engine=self.name, id=request_id, event=number)
                chunk = spoiled
            self._send(peer, run, chunk)
            run["events"] = number
        else:
            self._send(peer, run, b"0\r\n\r\n")
        run["ended"] = time.monotonic()
        self.record.write("run ends", engine=self.name, id=request_id, events=run["events"],
                          stopped=run["stopped"].is_set(), connected=run["connected"])
        return run["connected"] and not run["stopped"].is_set()

    def _send(self, peer, run, data):
        if not run["connected"]:
            return
        try:
            peer.connection.sendall(data)
        except OSError:
            run["connected"] = False


MODEL_SERVICE = {"slots": 64, "kvTokens": 88000, "kvBytes": 18432, "linkMbps": 370000.0, "moves": True,
                 "backups": True, "stride": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0,
                 "models": [{"name": "m"}]}


def stream_route(name, prefix, service, **extra):
    return route(name, prefix, "stream", service,
                 **{"timeoutMs": 25000, "targetLatencyMs": 4500, "maxAttempts": 5, "stickySessions": True,
                    "resumable": True, "gapAimMs": 700} | extra)


def stream_request(target, request_id, number, fields=(), tokens=(500, 200)):
    return request("POST", target, request_id, b"x" * tokens[0], 25000,
                   [("Model", "m"), ("Token-Counts", f"{tokens[0]},{tokens[1]}"),
                    ("Prompt-Prefix", f"5c1e07a2:200,{number:08x}:{tokens[0] - 200}"), ("Length-Hint", "60"),
                    *fields])


class Heartbeats:
    """Renews the entries of engines every `heartbeatMs`, as they do: `sequence` rises, the rest stays."""

    def __init__(self, store, names, interval_s=1.2):
        self._stopped = threading.Event()
        threading.Thread(target=self._run, args=(store, names, interval_s), daemon=True).start()

    def _run(self, store, names, interval_s):
        while not self._stopped.wait(interval_s):
            for name in names:
                item = store.objects.get(("servers", name))
                if item:
                    store.put("servers", name, dict(item["spec"], sequence=item["spec"]["sequence"] + 1))

    def stop(self):
        self._stopped.set()


def run_case(case_file, scenario):
    """Runs `scenario(trouble, record, folder, gateways)`, which returns the violations that it saw, and exits
    with 1 if there are any, 0 if there are none and 2 if the case couldn't run. Ends the gateways that the
    scenario has put into `gateways`."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt"))
    record.write("case", trouble=trouble)
    gateways = []
    status = 2
    try:
        with temporary_folder() as folder:
            try:
                violations = scenario(trouble, record, folder, gateways)
                for it in violations:
                    record.write("RULE BROKEN", detail=it)
                record.write("end", violations=len(violations))
                print(f"{len(violations)} violations" + "".join(f"\n  {it}" for it in violations[:10]))
                status = 1 if violations else 0
            finally:
                for it in gateways:
                    it.stop()
    except Exception as error:  # The case couldn't run.
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}")
    record.close()
    # Threads of the stand-ins may still wait for bytes.
    os._exit(status)
