"""The main job: a generation whose engine is killed halfway arrives whole, a booking runs once, a lookup is answered
while the long work runs. Exits non-zero if a token is missing, repeated or foreign."""

import json
import sys
import time

from fleet import Caller, Fleet, request

MAX_TOKENS = 300
PROMPT = "Route log of Kochi, line 7: the bus left the depot at 06:10 and stopped at the school gate at 06:55. " * 40


def start_fleet(fleet):
    fleet.start_platform()
    for name, domain in [("e1", "kochi"), ("e2", "thrissur"), ("e3", "kozhikode")]:
        fleet.engine(name, domain)
    fleet.plain_service("b1", "kochi")
    fleet.publish_vms()
    fleet.plan_routers([("r1", "kochi"), ("r2", "thrissur")])
    for name in fleet.routers:
        fleet.start_router(name)


def configure(fleet):
    """What an operator does with wisteriactl on the first day."""
    fleet.ctl("service", "put", "digest", "--kind", "generation", "--model", "summariser", "--model-version", "1")
    fleet.ctl("service", "put", "bookings", "--kind", "plain", "--idempotent", "lookup")
    fleet.ctl("workspace", "put", "kochi", "--max-generations", "50")
    fleet.ctl("preset", "put", "ordinary", "--thrift", "0.3")
    fleet.ctl("preset", "put", "peak", "--urgent-reserve", "0.3", "--thrift", "0.1")
    fleet.ctl("preset", "put", "maintenance", "--drain-limit", "60s")
    for name, (service, address, domain) in fleet.targets.items():
        fleet.ctl("target", "add", name, "--service", service, "--address", address, "--domain", domain, "--slots", "8")
    for name, router in fleet.routers.items():
        fleet.ctl("router", "count", name, "--peer-address", router["peers"], "--domain", router["domain"])
    fleet.ctl("preset", "use", "ordinary")
    for name in fleet.routers:
        fleet.wait_until(lambda it=name: fleet.status(it).get("preset_in_force") == "ordinary", f"{name} has the preset")
    fleet.wait_fresh()


def kill_serving_engine(fleet, caller):
    """Kills the engine that serves the generation once half of the answer has come."""
    fleet.wait_until(lambda: len(caller.tokens()) >= MAX_TOKENS // 2, "half of the answer")
    victim = caller.tokens()[-1]["target"]
    fleet.processes[victim].kill()
    return victim


def describe_tokens(tokens):
    """Who served which tokens, as runs of offsets."""
    runs = []
    for token in tokens:
        if runs and runs[-1][0] == (token["target"], token["router"]):
            runs[-1][2] = token["offset"]
        else:
            runs.append([(token["target"], token["router"]), token["offset"], token["offset"]])
    return runs


def check_answer(fleet, caller, victim):
    tokens = caller.tokens()
    survivor = next(p for n, p in fleet.processes.items() if n.startswith("e") and p.popen.poll() is None)
    expected = fleet.expected(survivor, PROMPT, MAX_TOKENS)
    failures = []
    if caller.result.returncode != 0:
        failures.append(f"wisteria-call ended with {caller.result.returncode}: {caller.result.stderr[-300:]}")
    if [it["offset"] for it in tokens] != list(range(MAX_TOKENS)):
        failures.append("offsets are missing or repeated")
    if caller.result.stdout.rstrip("\n") != expected.rstrip("\n"):
        failures.append("the answer differs from that of a failure-free run")
    for (target, router), first, last in describe_tokens(tokens):
        print(f"  tokens {first:4}-{last:<4} {target} by {router}")
    gap = max(b["ms"] - a["ms"] for a, b in zip(tokens, tokens[1:])) if len(tokens) > 1 else 0
    print(f"  killed {victim}; resume latency {gap:.0f} ms")
    return failures


def print_extra_work(fleet):
    generated = prefilled = 0
    for name, process in fleet.processes.items():
        if name.startswith("e") and process.popen.poll() is None:
            stats = fleet.stats(process)
            generated += stats["generated_tokens"]
            prefilled += stats["prefill_tokens"]
    print(f"  engines that live generated {generated} tokens and prefilled {prefilled} (answer: {MAX_TOKENS} tokens)")


def book(fleet):
    caller = Caller(fleet, "call", "--service", "bookings", "--operation", "book", "--arguments",
                    json.dumps({"child": "Anu", "seat": 12}))
    caller.run()
    failures = []
    if caller.result.returncode != 0:
        failures.append(f"booking ended with {caller.result.returncode}: {caller.result.stderr}")
    runs = fleet.runs(fleet.processes["b1"])["by_key"]
    if sorted(runs.values()) != [1]:
        failures.append(f"bookings by key: {runs}, but one was asked for")
    print(f"  booking: {caller.result.stdout.strip()}")
    return failures


def look_up(fleet):
    began = time.monotonic()
    caller = Caller(fleet, "call", "--service", "bookings", "--operation", "lookup", "--arguments", '{"route": "7"}')
    caller.run()
    print(f"  urgent lookup: {(time.monotonic() - began) * 1000:.0f} ms with the program's start")
    return [] if caller.result.returncode == 0 else [f"lookup ended with {caller.result.returncode}: {caller.result.stderr}"]


def main():
    with Fleet(sys.argv[1], token_ms=20) as fleet:
        start_fleet(fleet)
        configure(fleet)
        caller = Caller(fleet, "complete", "--service", "digest", "--max-tokens", str(MAX_TOKENS), stdin=PROMPT)
        caller.start()
        failures = []
        fleet.wait_until(lambda: len(caller.tokens()) >= 10, "the first tokens")
        failures += look_up(fleet)
        failures += book(fleet)
        victim = kill_serving_engine(fleet, caller)
        caller.join()
        failures += check_answer(fleet, caller, victim)
        print_extra_work(fleet)
        for it in failures:
            print(f"FAILED: {it}")
        print("main job:", "failed" if failures else "whole answer, one booking, lookup answered")
        if failures:
            raise SystemExit(1)


if __name__ == "__main__":
    main()
