"""The engines of one zone crash while a batch of generations with a common system prompt has just begun.

Two thirds of the engines go on. The streams of the crashed ones may be resumed.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
from harness import Connection, Ids, ModelEngine, manifest, request_headers, route, run_case, trouble, wait_ready

TOUCH_S = 3.0  # contactMs
ALLOWED_LOSSES = 3
ZONES = ("kochi", "thrissur", "kozhikode")
ENGINES_PER_ZONE = 4
STREAMS = 24
# 8,200 tokens at 8 a ms.
PREFILL_S = 1.0
# After the batch was sent.
CRASH_AT_S = 1.4
DOWN_S = 1.2
COMMON_PART = "5c1e07a2:200"


async def body(case):
    record, ids = case.record, Ids()
    store = await case.store()
    app = await case.engine("app-0", "booking-app")
    models = [await case.engine(f"llm-{zone}-{n}", "summary-llm", zone, kind=ModelEngine, slots=64)
              for zone in ZONES for n in range(ENGINES_PER_ZONE)]
    for it in [app] + models:
        it.prefill_s = PREFILL_S
        store.put("servers", it.name, it.entry())
    routes = [route("book", "booking-app"),
              route("brief", "summary-llm", "stream", resumable=True, timeoutMs=25000, targetLatencyMs=4500,
                    gapAimMs=700, maxAttempts=5)]
    services = [{"name": "booking-app", "healthPath": "/health", "maxConnections": 100},
                {"name": "summary-llm", "healthPath": "/health", "maxConnections": 360,
                 "engine": {"kvTokens": 88000, "slots": 64, "backups": False}}]
    store.put("config", "main", manifest(3, routes, services))
    gateways = [case.gateway(f"front-{zone}-1", zone, f"127.0.22.{n + 1}", store)
                for n, zone in enumerate(ZONES[:2])]
    for it in gateways:
        it.start()
    await wait_ready(gateways)
    await asyncio.sleep(TOUCH_S)

    lost = []

    async def client(gateway, n):
        connection = Connection(gateway.front)
        first = await connection.call("POST", "/book/1", request_headers(ids.next()), b"one seat")
        is_kept = first.status == 200 and connection.writer is not None
        request_id = ids.next()
        headers = request_headers(request_id, deadline_ms=25000, Token_Counts="8200,700",
                                  Prompt_Prefix=f"{COMMON_PART},{0x10000 + n:x}:8000")
        answer = await connection.call("POST", "/brief/1", headers, b"log", timeout=25)
        connection.close()
        runs = [it.name for it in models for run in it.runs if run[1] == request_id]
        record.add(f"stream {request_id} at {gateway.name}: {answer}, at engines {runs}")
        # The last engine that got the request is sound: it has neither crashed nor failed.
        if is_kept and not answer.is_complete and runs[-1] not in crashed:
            lost.append(request_id)

    crashed = set()
    clients = [asyncio.create_task(client(gateways[n % 2], n)) for n in range(STREAMS)]
    await asyncio.sleep(CRASH_AT_S)
    if trouble():
        down = [it for it in models if it.zone == ZONES[0]]
        crashed.update(it.name for it in down)
        ports = [int(it.address.split(":")[1]) for it in down]
        for it in down:
            it.end()
        record.add(f"the engines of {ZONES[0]} crashed")
        await asyncio.sleep(DOWN_S)
        for it, port in zip(down, ports):
            await it.listen("127.0.0.1", port)
            it.born = int(time.time() * 1000)
            store.put("servers", it.name, it.entry())
    await asyncio.gather(*clients)
    for gateway in gateways:
        for line in gateway.log.read_text().splitlines():
            if '"prompt_barred","last' in line or '"prompt_bar_lifted"' in line:
                record.add(f"log of {gateway.name}: {line}")
    record.add(f"{len(lost)} kept connections were closed without a whole answer, "
               "while a sound engine was at work on the request")
    return len(lost) > ALLOWED_LOSSES


run_case(os.path.dirname(os.path.abspath(__file__)), body)
