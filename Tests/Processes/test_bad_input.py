"""Bad input at a router's edges: each case gets its typed error, and nothing crashes, hangs or leaks.

Bounded in count and time; run by Meta/process-tests.sh BUILD test_bad_input."""

import json
import os
import socket
import time
import unittest

from fleet import Fleet, request
from main_job import configure

IDLE_CONNECTIONS = 1000
# A hang ends here; no duration is asserted below it.
SOCKET_TIMEOUT_S = 30
MIB = 1024 * 1024
DEEP_LEVELS = 100_000

GENERATION = {"model": "digest", "prompt": "Route 7", "max_tokens": 4, "stream": True}
CALL = {"operation": "lookup", "arguments": {}}
COMPLETIONS = "/v1/completions"
CALLS = "/v1/services/bookings/calls"
WORKSPACE = {"Wisteria-Workspace": "kochi"}


def generation(**changes):
    return {**GENERATION, **changes}


def without(body, field):
    return {name: value for name, value in body.items() if name != field}


# name: (method, path, body, headers over the workspace's, status, error type)
INVALID = (400, "invalid_request")
CASES = {
    "no JSON": ("POST", COMPLETIONS, "hello", {}, *INVALID),
    "empty body": ("POST", COMPLETIONS, "", {}, *INVALID),
    "cut JSON": ("POST", COMPLETIONS, json.dumps(GENERATION)[:-5], {}, *INVALID),
    "JSON list": ("POST", COMPLETIONS, "[1]", {}, *INVALID),
    "bad UTF-8 in the body": ("POST", COMPLETIONS, b'{"model":"digest","prompt":"\xff\xfe","max_tokens":1,"stream":true}',
                              {}, *INVALID),
    "deep JSON": ("POST", COMPLETIONS, "[" * DEEP_LEVELS, {}, *INVALID),
    "other content type": ("POST", COMPLETIONS, json.dumps(GENERATION), {"Content-Type": "text/plain"},
                           415, "unsupported_media_type"),
    "oversized body": ("POST", COMPLETIONS, b"x" * (9 * MIB), {}, 413, "payload_too_large"),
    "oversized prompt": ("POST", COMPLETIONS, generation(prompt="x" * (MIB + 1)), {}, 413, "payload_too_large"),
    "unknown service": ("POST", COMPLETIONS, generation(model="nobody"), {}, 404, "unknown_service"),
    "plain service asked to generate": ("POST", COMPLETIONS, generation(model="bookings"), {}, 404, "unknown_service"),
    "unknown workspace": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Workspace": "nobody"}, 404, "unknown_workspace"),
    "no workspace": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Workspace": ""}, *INVALID),
    "no prompt": ("POST", COMPLETIONS, without(GENERATION, "prompt"), {}, *INVALID),
    "prompt is a number": ("POST", COMPLETIONS, generation(prompt=7), {}, *INVALID),
    "no stream": ("POST", COMPLETIONS, without(GENERATION, "stream"), {}, *INVALID),
    "max_tokens 0": ("POST", COMPLETIONS, generation(max_tokens=0), {}, *INVALID),
    "max_tokens negative": ("POST", COMPLETIONS, generation(max_tokens=-1), {}, *INVALID),
    "max_tokens huge": ("POST", COMPLETIONS, generation(max_tokens=10**30), {}, *INVALID),
    "max_tokens a fraction": ("POST", COMPLETIONS, generation(max_tokens=1.5), {}, *INVALID),
    "max_tokens true": ("POST", COMPLETIONS, generation(max_tokens=True), {}, *INVALID),
    "temperature a text": ("POST", COMPLETIONS, generation(temperature="hot"), {}, *INVALID),
    "urgency unknown": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Urgency": "now"}, *INVALID),
    "timeout negative": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Timeout-Ms": "-1"}, *INVALID),
    "timeout 0": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Timeout-Ms": "0"}, *INVALID),
    "timeout huge": ("POST", COMPLETIONS, GENERATION, {"Wisteria-Timeout-Ms": "9" * 30}, *INVALID),
    "event id malformed": ("POST", COMPLETIONS, generation(received=" a"), {"Last-Event-ID": "x/y"}, *INVALID),
    "event id huge": ("POST", COMPLETIONS, generation(received=" a"),
                      {"Last-Event-ID": "g/e1/s/0/18446744073709551615"}, *INVALID),
    "event id without the text": ("POST", COMPLETIONS, GENERATION, {"Last-Event-ID": "g/e1/s/0/1"}, *INVALID),
    "call of an unknown service": ("POST", "/v1/services/nobody/calls", CALL, {}, 404, "unknown_service"),
    "call of a generation service": ("POST", "/v1/services/digest/calls", CALL, {}, 404, "unknown_service"),
    "call without operation": ("POST", CALLS, {"arguments": {}}, {}, *INVALID),
    "call with arguments in a list": ("POST", CALLS, {"operation": "lookup", "arguments": []}, {}, *INVALID),
    "call with deep arguments": ("POST", CALLS, '{"operation":"lookup","arguments":' + '{"a":' * DEEP_LEVELS + "1"
                                 + "}" * DEEP_LEVELS + "}", {}, *INVALID),
    "booking without key": ("POST", CALLS, {"operation": "book"}, {}, 400, "missing_idempotency_key"),
    "booking with a long key": ("POST", CALLS, {"operation": "book"}, {"Idempotency-Key": "k" * 201}, *INVALID),
    "booking with a blank in its key": ("POST", CALLS, {"operation": "book"}, {"Idempotency-Key": "a b"}, *INVALID),
    "forged ticket": ("POST", CALLS, {"operation": "book"}, {"Idempotency-Key": "wt1.r1.1.1.00"}, *INVALID),
    "tickets negative": ("GET", "/v1/entry-points?tickets=-1", None, {}, *INVALID),
    "tickets above the limit": ("GET", "/v1/entry-points?tickets=101", None, {}, *INVALID),
    "tickets huge": ("GET", "/v1/entry-points?tickets=" + "9" * 30, None, {}, *INVALID),
    "unknown path": ("GET", "/v1/nothing", None, {}, 404, "unknown_object"),
    "change without edit": ("POST", "/v1/admin/changes", {"change_id": "c", "operator": "o"}, {}, *INVALID),
    "change of an unknown kind": ("POST", "/v1/admin/changes",
                                  {"change_id": "c", "operator": "o", "edit": {"kind": "drop"}}, {}, *INVALID),
    "negative weight": ("POST", "/v1/admin/changes", {"change_id": "c", "operator": "o", "edit": {
        "kind": "put_workspace", "spec": {"name": "x", "weight": -1}, "expected": 0}}, {}, *INVALID),
}


class TestBadInput(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(os.environ["WISTERIA_BUILD_FOLDER"])
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.start_platform()
        cls.fleet.engine("e1", "kochi")
        cls.fleet.plain_service("b1", "kochi")
        cls.fleet.publish_vms()
        cls.fleet.plan_routers([("r1", "kochi")])
        cls.fleet.start_router("r1")
        configure(cls.fleet)
        cls.address = cls.fleet.entry("r1")
        cls.pid = cls.fleet.processes["r1"].popen.pid

    def send(self, method, path, body, headers):
        return request(self.address, method, path, body, {**WORKSPACE, **headers}, timeout=SOCKET_TIMEOUT_S)

    def connect(self):
        host, port = self.address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def assert_serves(self):
        """The router lives, answers a lookup and streams a whole answer."""
        self.assertIsNone(self.fleet.processes["r1"].popen.poll(), "the router ended")
        status, _, body = self.send("POST", CALLS, CALL, {})
        self.assertEqual((200, "ran"), (status, body.get("outcome")), body)
        status, _, text = self.send("POST", COMPLETIONS, GENERATION, {})
        self.assertEqual(200, status, text)
        self.assertIn("[DONE]", text)

    def read_to_end(self, sock):
        chunks = []
        while chunk := sock.recv(65536):
            chunks.append(chunk)
        return b"".join(chunks)

    def test_typed_errors(self):
        for name, (method, path, body, headers, status, kind) in CASES.items():
            with self.subTest(name):
                got, _, answer = self.send(method, path, body, headers)
                self.assertEqual((status, kind), (got, answer["error"]["type"]), answer)
        self.assert_serves()

    def test_truncated_body(self):
        sock = self.connect()
        sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                     b"Wisteria-Workspace: kochi\r\nContent-Length: 500\r\n\r\n{\"model\":")
        sock.shutdown(socket.SHUT_WR)
        answer = self.read_to_end(sock)
        self.assertNotIn(b" 200 ", answer.split(b"\r\n")[0])
        self.assert_serves()

    def test_no_http(self):
        for garbage in [b"\x00\xff\xfe" * 100 + b"\r\n\r\n", b"GET\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n",
                        b"GET / HTTP/1.1\r\n" + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
                        b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n"]:
            sock = self.connect()
            try:
                sock.sendall(garbage)
                sock.shutdown(socket.SHUT_WR)
                self.assertNotIn(b" 200 ", self.read_to_end(sock).split(b"\r\n")[0])
            except (ConnectionResetError, BrokenPipeError):
                pass
        self.assert_serves()

    def test_engine_cuts_mid_event(self):
        self.fleet.fault(self.fleet.processes["e1"], kind="cut_mid_event", tokens=3)
        self.addCleanup(self.fleet.fault, self.fleet.processes["e1"], kind="none")
        body = generation(prompt="cut in the middle", max_tokens=12)
        _, _, text = self.send("POST", COMPLETIONS, body, {})
        offsets = [int(it.rsplit("/", 1)[1]) for it in text.splitlines() if it.startswith("id: ")]
        self.assertEqual(list(range(12)), offsets[:12])
        self.assertIn("[DONE]", text)

    def test_slow_reader(self):
        body = json.dumps(generation(max_tokens=200)).encode()
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                     b"Wisteria-Workspace: kochi\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        for _ in range(20):
            self.assertTrue(sock.recv(1))
            time.sleep(0.05)
        self.assert_serves()

    def test_idle_connections(self):
        before = self.descriptors()
        socks = [self.connect() for _ in range(IDLE_CONNECTIONS)]
        self.assert_serves()
        for sock in socks:
            sock.close()
        allowance = 20
        self.fleet.wait_until(lambda: self.descriptors() <= before + allowance, "idle connections are closed")
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
