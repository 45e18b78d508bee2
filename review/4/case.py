"""Half of the machines lose their processes at once. Just after that the operator withdraws a key.

The machines that go on are in touch all the while, and so is the store. Two rounds, half a second apart in the second:
the gateways look around once a second, and the first round may fall just before that.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
from harness import CannotRun, Connection, Ids, manifest, request_headers, route, run_case, trouble, wait_ready

APPLY_S = 2.0  # configApplyMs
TOUCH_S = 3.0  # contactMs
DOWN_S = 2.0  # for_s of herd_kill
ROUND_S = 9.5
PER_ZONE = 4
KILLED_PER_ZONE = 2
ZONES = ("kochi", "thrissur", "kozhikode")


async def body(case):
    record, ids = case.record, Ids()
    store = await case.store()
    engines = [await case.engine(f"app-{zone}", "booking-app", zone, slots=24) for zone in ZONES]
    for it in engines:
        store.put("servers", it.name, it.entry())
    routes = [route("book", "booking-app"), route("look", "booking-app", "safe")]
    services = [{"name": "booking-app", "healthPath": "/health", "maxConnections": 100}]
    store.put("config", "main", manifest(3, routes, services, {"hule930": ["key-1", "key-2", "key-3"]}))
    machines = {}
    for z, zone in enumerate(ZONES):
        for n in range(PER_ZONE):
            name = f"front-{zone}-{n + 1}"
            machines[name] = case.gateway(name, zone, f"127.0.{10 + z}.{n + 1}", store)
    for it in machines.values():
        it.start()
    await wait_ready(machines.values())
    killed = [it for name, it in machines.items() if int(name[-1]) <= KILLED_PER_ZONE]
    going_on = [it for it in machines.values() if it not in killed]
    await asyncio.sleep(TOUCH_S + 2)

    # By request: when, by which machine, with which key.
    sent = {}

    async def client(gateway, key, until):
        connection = Connection(gateway.front)
        while time.monotonic() < until:
            request_id = ids.next()
            sent[request_id] = (time.monotonic(), gateway.name, key)
            answer = await connection.call("GET", "/look/1", request_headers(request_id, key))
            if answer.status == 401:
                record.add(f"{gateway.name} refuses {key}")
                break
            await asyncio.sleep(0.02)
        connection.close()

    async def play_round(version, key, keys_left):
        began = time.monotonic()
        clients = [asyncio.create_task(client(it, key, began + ROUND_S - 2)) for it in going_on]
        await asyncio.sleep(0.5)
        if trouble():
            for it in killed:
                it.signal(signal.SIGKILL)
        acknowledged = store.put("config", "main", manifest(version, routes, services, {"hule930": keys_left}))
        await asyncio.sleep(DOWN_S)
        if trouble():
            for it in killed:
                it.start()
        await asyncio.gather(*clients)
        if any(it.exit_code() is not None for it in going_on):
            raise CannotRun("a process that should go on has ended")
        late = [(*sent[run[1]], run[1]) for engine in engines for run in engine.runs
                if sent[run[1]][2] == key and sent[run[1]][0] > acknowledged + APPLY_S]
        for at, name, _, request_id in sorted(late):
            record.add(f"request {request_id} with {key}, sent {at - acknowledged:.3f} s after the acknowledgement, "
                       f"was run by way of {name}")
        record.add(f"{len(late)} requests with {key}, sent later than {APPLY_S} s after the acknowledgement of the "
                   "manifest without it, were run")
        await asyncio.sleep(began + ROUND_S - time.monotonic())
        return len(late)

    late = await play_round(8, "key-2", ["key-1", "key-3"])
    late += await play_round(11, "key-3", ["key-1"])
    return late > 0


run_case(os.path.dirname(os.path.abspath(__file__)), body)
