"""REFUSED: an engine fails an unsafe request with 503 after it has run it. The gateway passes the 503 on, which
promises the client that the request has not run, and the client books again."""

import collections
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standins import Client, Engine, Gateway, Store, answer, manifest, request, route, run_case  # noqa: E402

GATEWAYS = 3
CLIENTS = 18
BOOKINGS_PER_CLIENT = 40
FAILED_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


class FailingEngine(Engine):
    """Answers some requests that it has run with 503, and says nothing of not having run them."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.random = random.Random(47)

    def reply(self, peer, request_id):
        if self.random.random() >= FAILED_SHARE:
            return super().reply(peer, request_id)
        self.record.write("engine fails", engine=self.name, id=request_id, status=503)
        peer.connection.sendall(answer(503, b"database is overloaded",
                                       [("Request-Id", request_id), ("Engine-Seal", f"{self.name}.{request_id}"),
                                        ("Content-Type", "text/plain")], "Service Unavailable"))
        return True


def scenario(trouble, record, folder, gateways):
    store = Store()
    # One engine of eight fails: a share of 0.125.
    engines = [(FailingEngine if trouble and n == 0 else Engine)(f"e{n}", record) for n in range(8)]
    for n, it in enumerate(engines):
        store.put("servers", it.name, it.entry("booking", zone=f"z{n % 3 + 1}"))
    store.put("config", "main", manifest(
        3, [route("book", "/book/", "unsafe", "booking", timeoutMs=800)],
        [{"name": "booking", "healthPath": "/health", "maxConnections": 100}]))
    for n in range(GATEWAYS):
        gateways.append(Gateway(folder, f"g{n}", store, ip=f"127.0.0.{n + 2}", zone=f"z{n + 1}"))
    for it in gateways:
        it.wait_ready()

    answers = {}

    def book(number):
        gateway = gateways[number % GATEWAYS]
        client = Client(gateway)
        for n in range(BOOKINGS_PER_CLIENT):
            # One retry, with an id of its own, and only after a promise.
            for attempt in range(2):
                request_id = f"c{number}-booking{n}-attempt{attempt}"
                client.send(request("POST", "/book/1", request_id, b"seat 12", 1500))
                status, headers, _ = client.answer()
                answers[request_id] = status
                record.write("answered", id=request_id, status=status, seal=headers.get("engine-seal"))
                if headers.get("connection") == "close":
                    client = Client(gateway)
                if status not in PROMISES:
                    break
                time.sleep(min(float(headers.get("retry-after", "0.1")), 0.5))

    threads = [threading.Thread(target=book, args=(n,)) for n in range(CLIENTS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()

    runs = collections.Counter(run["id"] for it in engines for run in it.runs)
    booked = collections.Counter(it.rsplit("-", 1)[0] for it in runs)
    record.write("bookings that were run for two attempts", count=sum(n > 1 for n in booked.values()))
    if not trouble and any(status != 200 for status in answers.values()):
        raise RuntimeError("not all requests were answered 200")
    return [f"{it} was answered {status} and has run" for it, status in answers.items()
            if status in PROMISES and runs[it]]


if __name__ == "__main__":
    run_case(__file__, scenario)
