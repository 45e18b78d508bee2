"""A client asks the callers' address for paths that only other routers should be served.

The operator's new version adds a route for a whole host. A client asks for a path of it, with and without a key.
"""

import asyncio
import os
import sys
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
from harness import Connection, Ids, manifest, request_headers, route, run_case, trouble, wait_ready

KEYS = {"hule930": ["key-of-hule930"], "puxa403": ["key-of-puxa403"]}


def note_keys(record, answer):
    """Which keys of the manifest the client now holds."""
    text = answer.body
    if answer.header("Content-Encoding") == "deflate":
        text = zlib.decompress(text)
    held = [it for keys in KEYS.values() for it in keys if it.encode() in text]
    if held:
        record.add(f"  the answer holds the keys {held}")


async def body(case):
    record, ids = case.record, Ids()
    store = await case.store()
    engines = [await case.engine(f"app-{n}", "booking-app", zone) for n, zone in enumerate(("kochi", "thrissur"))]
    for it in engines:
        store.put("servers", it.name, it.entry())
    routes = [route("book", "booking-app"), route("look", "booking-app", "safe")]
    services = [{"name": "booking-app", "healthPath": "/health", "maxConnections": 100}]
    store.put("config", "main", manifest(3, routes, services, KEYS))
    gateways = [case.gateway(f"front-{zone}-1", zone, f"127.0.20.{n + 1}", store)
                for n, zone in enumerate(("kochi", "thrissur"))]
    for it in gateways:
        it.start()
    await wait_ready(gateways)
    store.put("config", "main", manifest(7, routes + [route("all", "booking-app", "safe", prefix="/")], services, KEYS))
    await asyncio.sleep(2.5)

    paths = ["/look/1", "/status", "/prices/today"]
    if trouble():
        paths += ["/metrics", "/v1/peer/views/configuration/0/0", "/v1/peer/views/targets/0/0"]
    broken = 0
    for gateway in gateways:
        for path in paths:
            for key in ("key-of-hule930", None):
                request_id = ids.next()
                connection = Connection(gateway.front)
                answer = await connection.call("GET", path, request_headers(request_id, key))
                connection.close()
                runs = sum(it[1] == request_id for engine in engines for it in engine.runs)
                is_broken = answer.status is not None and 200 <= answer.status < 300 and not answer.header("Engine-Seal")
                broken += is_broken
                record.add(f"GET {path} {'with' if key else 'without'} a key at {gateway.name}: answered {answer}, "
                           f"run {runs} times{': BROKEN' if is_broken else ''}")
                if is_broken:
                    note_keys(record, answer)
    record.add(f"{broken} successes without an engine's seal")
    return broken > 0


run_case(os.path.dirname(os.path.abspath(__file__)), body)
