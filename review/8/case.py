"""UNASKED: a request whose transfer codings the gateway's parser can't read runs with another body, and what is
inside its body runs as a request of its own."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standins import Client, Engine, Gateway, Store, manifest, request, route, run_case  # noqa: E402

ROUNDS = 5


def chunked(data):
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


def send(gateway, record, request_id, codings, body, length=None):
    """Sends one POST whose chunked body is `body`. Returns the statuses of all answers on its connection."""
    client = Client(gateway, timeout=1)
    head = (f"POST /book/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 1500\r\n"
            f"Transfer-Encoding: {codings}\r\n" + (f"Content-Length: {length}\r\n" if length is not None else ""))
    record.write("sent", id=request_id, head=head, body=body)
    client.send(head.encode() + b"\r\n" + chunked(body))
    statuses = []
    try:
        while True:
            statuses.append(client.answer()[0])
    except (EOFError, OSError):
        pass
    client.close()
    record.write("answered", id=request_id, statuses=statuses)
    return statuses


def scenario(trouble, record, folder, gateways):
    store = Store()
    engines = [Engine(f"e{n}", record) for n in range(3)]
    for n, it in enumerate(engines):
        store.put("servers", it.name, it.entry("booking", zone=f"z{n + 1}"))
    store.put("config", "main", manifest(
        3, [route("book", "/book/", "unsafe", "booking", timeoutMs=800)],
        [{"name": "booking", "healthPath": "/health", "maxConnections": 100}]))
    gateways.append(Gateway(folder, "g1", store))
    gateways[0].wait_ready()

    sent = {}
    for n in range(ROUNDS):
        # A note of 100 bytes in a booking, that happens to have the form of a request.
        note = request("POST", "/book/9", f"inside-{n}")
        codings = "x-plain;v=1, chunked" if trouble else "chunked"
        first_line = len(b"%x\r\n" % len(note))
        sent[f"coded-{n}"] = note
        send(gateways[0], record, f"coded-{n}", codings, note)
        sent[f"coded-and-length-{n}"] = note
        send(gateways[0], record, f"coded-and-length-{n}", codings, note, first_line if trouble else None)

    violations = []
    for run in (run for it in engines for run in it.runs):
        if run["id"] not in sent:
            violations.append(f"{run['id']} was run, which no client sent as a request: {run['target']}")
        elif run["body"] != sent[run["id"]]:
            violations.append(f"{run['id']} was run with the body {run['body']!r}, sent was {sent[run['id']]!r}")
    if not trouble and sum(len(it.runs) for it in engines) != len(sent):
        raise RuntimeError("not all requests were run")
    return violations


if __name__ == "__main__":
    run_case(__file__, scenario)
