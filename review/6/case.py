"""MIXED: an engine writes the answer to a copy request a second time, late, where the answer to the copy request of
another run is due. The gateway takes the handle in it for a copy of that run, and after a crash lets the run go on
from the memory of the other one: the client gets another client's text."""

import itertools
import json
import os
import re
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standins import (MODEL_SERVICE, Client, Gateway, Heartbeats, Server, Store, answer,  # noqa: E402
                      manifest, run_case, stream_request, stream_route)

ENGINES = 3
STREAMS = 120
EVENTS = 90
STEP_S = 0.15
# Of a copy: the answer comes when it is complete.
COPY_S = 0.02
# Of the answers of an engine that garbles, those to copy requests among them.
GARBLED_SHARE = 0.03
GARBLING_S = 5
CRASH_S = 1.2
# Three intervals of heartbeatMs.
LAPSE_S = 3.6


class CopyingEngine(Server):
    """A model engine that keeps copies of runs under handles. Crashes with crash()."""

    # (holder's address, source's address, handle) -> (id of the run, events made).
    copies = {}
    handles = itertools.count(1)
    lock_copies = threading.Lock()

    def __init__(self, name, record, **kwargs):
        self.name, self.record = name, record
        self.running = {}
        self.crashed = False
        # Until when a part of the answers is written again.
        self.garbles_until = 0.0
        self.answers = 0
        self.garbled = 0
        # Answers that came again before the answer to another copy request.
        self.mixed_up = 0
        super().__init__(**kwargs)

    def entry(self, zone):
        return {"service": "llm", "address": self.address, "zone": zone, "version": "v1", "slots": 64,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int(time.time() * 1000),
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}

    def crash(self):
        self.crashed = True
        self.stop()
        self.record.write("engine crashes", engine=self.name, runs=sorted(self.running))

    def handle(self, peer, method, target, headers, body, fields):
        if self.crashed:
            return False
        self.answers += 1
        repeated = getattr(peer, "repeated", None)
        if repeated:
            self.record.write("an earlier answer comes again", engine=self.name, before=f"{method} {target}",
                              body=body[:120] if target == "/-/kv-move" else b"", answer=repeated[-60:])
            peer.repeated = None
            self.mixed_up += target == "/-/kv-move"
            peer.connection.sendall(repeated)
        if target == "/-/kv-move":
            reply = self._copy(json.loads(body))
            time.sleep(COPY_S)
            if time.monotonic() < self.garbles_until and self.garbled + 1 <= GARBLED_SHARE * self.answers:
                self.garbled += 1
                peer.repeated = reply
            peer.connection.sendall(reply)
            return True
        if target.startswith("/-/"):
            peer.connection.sendall(answer(200, b"{}", [("Content-Type", "application/json")]))
            return True
        return self._run(peer, headers)

    def _copy(self, order):
        run = self.running.get(order["id"])
        if run is None:
            return answer(404, b"{}", [("Content-Type", "application/json")])
        if order.get("last"):
            run["stopped"] = True
        handle = f"h{next(self.handles)}"
        with self.lock_copies:
            self.copies[(order["target"], self.address, handle)] = (run["memory"], run["made"])
        self.record.write("copy", engine=self.name, id=order["id"], handle=handle, target=order["target"])
        return answer(200, json.dumps({"handle": handle, "created": run["made"]}).encode(),
                      [("Content-Type", "application/json")])

    def _run(self, peer, headers):
        request_id = headers["request-id"]
        if headers.get("expect-instance", self.name) != self.name:
            peer.connection.sendall(answer(421, b"", [("Request-Id", request_id)]))
            return True
        memory = request_id
        source = headers.get("kv-from")
        if source:
            address, handle = source.split("/", 1)
            with self.lock_copies:
                known = self.copies.pop((self.address, address, handle), None)
            if known is None:
                peer.connection.sendall(answer(503, b"", [("Not-Executed", "1"), ("Request-Id", request_id)]))
                return True
            memory = known[0]
            self.record.write("goes on", engine=self.name, id=request_id, kv_from=source, memory_of=memory)
        backup = headers.get("kv-backup")
        if backup:
            with self.lock_copies:
                self.copies[(backup, backup, request_id)] = (request_id, 0)
        run = {"memory": memory, "made": int(headers.get("last-event-id", "0")), "stopped": False}
        self.running[request_id] = run
        try:
            head = answer(200, b"", [("Request-Id", request_id), ("Engine-Seal", f"{self.name}.{request_id}"),
                                     ("Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
                                     ("Transfer-Encoding", "chunked")]).replace(b"Content-Length: 0\r\n", b"")
            peer.connection.sendall(head)
            while run["made"] < EVENTS and not run["stopped"]:
                time.sleep(STEP_S)
                if self.crashed:
                    return False
                event = b"id: %d\ndata: %s/%d\n\n" % (run["made"] + 1, memory.encode(), run["made"] + 1)
                peer.connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                run["made"] += 1
            if run["stopped"]:
                return False
            peer.connection.sendall(b"0\r\n\r\n")
            return True
        finally:
            self.running.pop(request_id, None)


def scenario(trouble, record, folder, gateways):
    store = Store()
    engines = [CopyingEngine(f"e{n}", record) for n in range(ENGINES)]
    for n, it in enumerate(engines):
        store.put("servers", it.name, it.entry(f"z{n % 3 + 1}"))
    heartbeats = Heartbeats(store, [it.name for it in engines])
    store.put("config", "main", manifest(
        3, [stream_route("brief", "/brief/", "llm")],
        [{"name": "llm", "healthPath": "/health", "maxConnections": 360, "engine": MODEL_SERVICE}]))
    gateways.append(Gateway(folder, "g1", store))
    gateways[0].wait_ready()

    violations = []
    answers = {}

    def generate(number):
        request_id = f"s{number}"
        client = Client(gateways[0], timeout=40)
        client.send(stream_request("/brief/1", request_id, number, tokens=(300, 100)))
        try:
            status, _, body = client.answer()
        except (EOFError, OSError) as error:
            answers[request_id] = type(error).__name__
            record.write("answered", id=request_id, status=type(error).__name__)
            return
        finally:
            client.close()
        answers[request_id] = status
        foreign = sorted(set(it.decode() for it in re.findall(rb"data: (\w+)/", body)) - {request_id})
        record.write("answered", id=request_id, status=status, events=body.count(b"id: "), foreign=foreign)
        if foreign:
            violations.append(f"{request_id} was answered {status} with text of {foreign}")

    threads = [threading.Thread(target=generate, args=(n,)) for n in range(STREAMS)]
    for it in threads:
        it.start()
        time.sleep(0.02)
    time.sleep(2)
    # One engine is replaced, so that the runs whose copies it held have them made anew, by copy requests.
    leaving = engines[2]
    store.put("servers", leaving.name, dict(store.objects[("servers", leaving.name)]["spec"], state="draining"))
    time.sleep(2)
    store.delete("servers", leaving.name)
    time.sleep(0.5)
    if trouble:
        garbling = engines[0]
        garbling.garbles_until = time.monotonic() + GARBLING_S
        while time.monotonic() < garbling.garbles_until and garbling.mixed_up < 2:
            time.sleep(0.02)
        time.sleep(0.2)
        garbling.crash()
        time.sleep(CRASH_S)
        # Mostly with a new id.
        engines.append(CopyingEngine(f"e{ENGINES}", record))
        store.put("servers", engines[-1].name, engines[-1].entry("z1"))
        time.sleep(LAPSE_S - CRASH_S)
        store.delete("servers", garbling.name)
    for it in threads:
        it.join()
    heartbeats.stop()
    record.write("garbled", **{it.name: f"{it.garbled} of {it.answers}" for it in engines})
    if not trouble and any(it != 200 for it in answers.values()):
        raise RuntimeError("not all streams were whole")
    return violations


if __name__ == "__main__":
    run_case(__file__, scenario)
