"""RECOVER: another writer's entries, whose service isn't named in the manifest, carry the addresses of sound
engines. The gateway takes them for later processes at these addresses, gives up the requests that run there, and
never uses the sound engines again; a restart of all gateways doesn't help."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standins import (Client, Engine, Gateway, Heartbeats, Store, manifest, request, route, run_case)  # noqa: E402

GATEWAYS = 2
ENGINES = 3
RECOVER_S = 12
DOWN_S = 0.8


def scenario(trouble, record, folder, gateways):
    store = Store()
    engines = [Engine(f"e{n}", record, work_s=0.1) for n in range(ENGINES)]
    for n, it in enumerate(engines):
        store.put("servers", it.name, it.entry("booking", zone=f"z{n + 1}"))
    heartbeats = Heartbeats(store, [it.name for it in engines])
    store.put("config", "main", manifest(
        3, [route("book", "/book/", "unsafe", "booking", timeoutMs=800),
            route("look", "/look/", "safe", "booking", timeoutMs=800, maxAttempts=2)],
        [{"name": "booking", "healthPath": "/health", "maxConnections": 100}]))
    for n in range(GATEWAYS):
        gateways.append(Gateway(folder, f"g{n}", store, ip=f"127.0.0.{n + 2}", zone=f"z{n + 1}"))
    for it in gateways:
        it.wait_ready()

    results = []
    lock = threading.Lock()

    def one(number):
        kind = ("POST", "/book/1") if number % 3 else ("GET", "/look/1")
        sent_at = time.monotonic()
        try:
            client = Client(gateways[number % GATEWAYS], timeout=2)
            client.send(request(*kind, f"r{number}", b"seat 12" if kind[0] == "POST" else b"", 1500))
            status = client.answer()[0]
            client.close()
        except (OSError, EOFError) as error:
            status = type(error).__name__
        record.write("answered", id=f"r{number}", status=status)
        with lock:
            results.append((sent_at, status))

    stopped = threading.Event()

    def traffic():
        number = 0
        while not stopped.wait(0.1):
            number += 1
            threading.Thread(target=one, args=(number,), daemon=True).start()

    threading.Thread(target=traffic, daemon=True).start()

    def served_share(begin, end):
        with lock:
            statuses = [status for sent_at, status in results if begin <= sent_at < end]
        share = sum(status == 200 for status in statuses) / len(statuses)
        record.write("served", share=round(share, 3), requests=len(statuses))
        return share

    started_at = time.monotonic()
    time.sleep(5)
    before = served_share(started_at, time.monotonic() - 1)

    if trouble:
        for it in engines:
            entry = dict(store.objects[("servers", it.name)]["spec"], service="not-named-here")
            record.write("another writer", name=f"other-{it.name}", spec=entry)
            store.put("servers", f"other-{it.name}", entry)
        time.sleep(0.5)
        record.write("all gateways are killed")
        for it in gateways:
            it.signal(signal.SIGKILL)
            it.process.wait()
        time.sleep(DOWN_S)
        for it in gateways:
            it.start()
    else:
        time.sleep(0.5 + DOWN_S)
    back_at = time.monotonic()
    time.sleep(RECOVER_S + 10)
    after = served_share(back_at + RECOVER_S, time.monotonic() - 1)
    stopped.set()
    heartbeats.stop()
    time.sleep(1)

    violations = []
    if before >= 0.25 and after < 0.25:
        violations.append(f"{after:.2f} of the requests were served later than {RECOVER_S} s after the gateways were "
                          f"back, {before:.2f} before")
    elif before < 0.25:
        raise RuntimeError("too few requests were served before")
    return violations


if __name__ == "__main__":
    run_case(__file__, scenario)
