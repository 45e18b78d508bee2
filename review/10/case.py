"""TWICE: an engine loses the answer of a stream that it runs. The gateway goes on at another engine and does not
stop the run at the first one, so that two engines work on the request for its whole length."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standins import (MODEL_SERVICE, Client, Gateway, Store, StreamEngine, manifest, run_case,  # noqa: E402
                      stream_request, stream_route)

ENGINES = 5
REQUESTS = 30
LOST_SHARE = 0.4
LOST_AT_EVENT = 20
FORBIDDEN_S = 0.4


def scenario(trouble, record, folder, gateways):
    store = Store()
    engines = [StreamEngine(f"e{n}", record) for n in range(ENGINES)]
    for n, it in enumerate(engines):
        store.put("servers", it.name, it.entry("llm", zone=f"z{n % 3 + 1}"))
    # The others end a request when its connection closes.
    engines[0].drops = False
    seen, lost = set(), set()

    def lose(request_id, number):
        if number != LOST_AT_EVENT or request_id in seen:
            return None
        seen.add(request_id)
        if len(lost) + 1 > LOST_SHARE * len(seen):
            return None
        lost.add(request_id)
        return "reset"

    if trouble:
        engines[0].spoil = lose
    store.put("config", "main", manifest(
        3, [stream_route("brief", "/brief/", "llm")],
        [{"name": "llm", "healthPath": "/health", "maxConnections": 360, "engine": MODEL_SERVICE}]))
    gateways.append(Gateway(folder, "g1", store))
    gateways[0].wait_ready()

    whole = []

    def generate(number):
        client = Client(gateways[0], timeout=30)
        client.send(stream_request("/brief/1", f"s{number}", number))
        try:
            status, _, body = client.answer()
            record.write("answered", id=f"s{number}", status=status, events=body.count(b"id: "))
            whole.append(status == 200 and body.count(b"id: ") == engines[0].events)
        except EOFError:
            record.write("answered", id=f"s{number}", status="connection closed")
        client.close()

    threads = [threading.Thread(target=generate, args=(n,)) for n in range(REQUESTS)]
    for it in threads:
        it.start()
        time.sleep(0.1)
    for it in threads:
        it.join()
    time.sleep(1)

    if not trouble and whole.count(True) != REQUESTS:
        raise RuntimeError("not all streams were whole")
    runs = [run for it in engines for run in it.runs if run["started"]]
    violations = []
    for first in runs:
        for second in runs:
            if first["id"] != second["id"] or first is second or second["started"] < first["started"]:
                continue
            beside = (first["ended"] or time.monotonic()) - second["started"]
            if beside >= FORBIDDEN_S:
                asked = any(it[1] == first["id"] for engine in engines for it in engine.stop_requests
                            if engine.name == first["engine"])
                violations.append(f"{first['id']} went on at {second['engine']} while {first['engine']} worked on it "
                                  f"for {beside:.1f} s; asked to stop: {asked}")
    return violations


if __name__ == "__main__":
    run_case(__file__, scenario)
