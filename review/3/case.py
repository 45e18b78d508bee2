"""The operator takes the last workspace out of the manifest. Its key, and any other, must be refused from then on."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
from harness import Connection, Ids, manifest, request_headers, route, run_case, trouble, wait_ready

APPLY_S = 2.0  # configApplyMs


async def body(case):
    record, ids = case.record, Ids()
    store = await case.store()
    engines = [await case.engine(f"app-{n}", "booking-app", zone) for n, zone in enumerate(("kochi", "thrissur"))]
    for it in engines:
        store.put("servers", it.name, it.entry())
    routes = [route("book", "booking-app"), route("look", "booking-app", "safe")]
    services = [{"name": "booking-app", "healthPath": "/health", "maxConnections": 100}]
    store.put("config", "main", manifest(3, routes, services, {"hule930": ["key-of-hule930"]}))
    gateways = [case.gateway(f"front-{zone}-1", zone, f"127.0.1.{n + 1}", store)
                for n, zone in enumerate(("kochi", "thrissur"))]
    for it in gateways:
        it.start()
    await wait_ready(gateways)

    async def ask(gateway, key, what):
        request_id = ids.next()
        connection = Connection(gateway.front)
        answer = await connection.call("POST", "/book/1", request_headers(request_id, key), b"one seat")
        connection.close()
        runs = [it for engine in engines for it in engine.runs if it[1] == request_id]
        record.add(f"{what} at {gateway.name}: request {request_id} answered {answer}, run {len(runs)} times"
                   + (f" with Tenant '{runs[0][2]}'" if runs else ""))
        return answer.status, len(runs)

    for it in gateways:
        assert await ask(it, "key-of-hule930", "key in force") == (200, 1)
        assert await ask(it, "key-never-held", "key that no manifest held") == (401, 0)

    if trouble():
        acknowledged = store.put("config", "main", manifest(7, routes, services, {}))
    else:
        # The workspace loses its key and stays.
        acknowledged = store.put("config", "main", manifest(7, routes, services, {"hule930": []}))
    await asyncio.sleep(acknowledged + APPLY_S + 0.5 - time.monotonic())
    runs = 0
    for it in gateways:
        for _ in range(5):
            runs += (await ask(it, "key-of-hule930", "withdrawn key"))[1]
            runs += (await ask(it, "key-never-held", "key that no manifest held"))[1]
            runs += (await ask(it, None, "no key"))[1]
    record.add(f"{runs} of 30 requests ran later than {APPLY_S} s after the acknowledgement")
    return runs > 0


run_case(os.path.dirname(os.path.abspath(__file__)), body)
