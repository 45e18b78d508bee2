"""wisteriactl against a real router: every noun, a typed conflict between racing operators, and its exit codes.

Run by Meta/process-tests.sh BUILD test_operators."""

import json
import os
import signal
import unittest

from fleet import Fleet, request
from main_job import configure

EXIT_USAGE, EXIT_REFUSED, EXIT_UNKNOWN, EXIT_CONFLICT = 1, 2, 3, 4


class TestOperators(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(os.environ["WISTERIA_BUILD_FOLDER"])
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.start_platform()
        self.fleet.engine("e1", "kochi")
        self.fleet.publish_vms()
        self.fleet.plan_routers([("r1", "kochi"), ("r2", "thrissur")])
        for name in self.fleet.routers:
            self.fleet.start_router(name)
        configure(self.fleet)

    def ctl(self, *arguments, code=0):
        result = self.fleet.ctl(*arguments, check=False)
        codes = code if isinstance(code, tuple) else (code,)
        self.assertIn(result.returncode, codes, result.stdout + result.stderr)
        return result.stdout + result.stderr

    def test_race_names_the_winner(self):
        seen = json.loads(self.ctl("preset", "show", "peak"))["stamp"]["changed_in"]
        self.ctl("preset", "put", "peak", "--thrift", "0.2", "--operator", "asha", "--change-id", "asha-1",
                 "--expected", str(seen))
        lost = self.ctl("preset", "put", "peak", "--thrift", "0.9", "--operator", "binu", "--expected", str(seen),
                        code=EXIT_CONFLICT)
        self.assertIn("preset/peak was changed by asha", lost)
        self.assertIn("asha-1", lost)
        self.assertEqual(0.2, json.loads(self.ctl("preset", "show", "peak"))["resume"]["thrift"])

    def test_repeated_change_id_applies_once(self):
        first = self.ctl("workspace", "put", "w2", "--weight", "2", "--change-id", "again")
        second = self.ctl("workspace", "put", "w2", "--weight", "2", "--change-id", "again", "--expected", "0")
        self.assertEqual(first, second)

    def test_lists_and_differences(self):
        self.assertIn("digest", self.ctl("service", "list"))
        self.assertIn("kochi", self.ctl("workspace", "list"))
        difference = self.ctl("preset", "diff", "ordinary", "peak")
        self.assertIn("resume/thrift", difference)
        self.assertNotIn("drain_limit_s", difference)
        self.assertIn("e1", self.ctl("target", "list"))
        self.assertIn("r2", self.ctl("router", "list"))
        status = json.loads(self.ctl("status", "--json", "--each"))
        self.assertEqual({"ordinary"}, {it["preset_in_force"] for it in status["routers"]})
        self.assertIn("TARGET", self.ctl("status"))

    def test_targets_retire_and_go(self):
        self.ctl("target", "retire", "e1")
        self.assertTrue(json.loads(self.ctl("target", "show", "e1"))["retiring"])
        self.ctl("target", "remove", "e1")
        self.ctl("target", "show", "e1", code=EXIT_REFUSED)

    def test_specification_from_a_file(self):
        path = self.fleet.write_settings("spec", '{"selection": "affinity", "resume_by_service": '
                                         '{"digest": {"policy": "adaptive", "thrift": 0.7}}}')
        self.ctl("preset", "put", "night", "--from", path)
        self.assertEqual(0.7, json.loads(self.ctl("preset", "show", "night"))["resume_by_service"]["digest"]["thrift"])
        wrong = self.fleet.write_settings("wrong", '{"selektion": "affinity"}')
        self.assertIn("selektion", self.ctl("preset", "put", "night", "--from", wrong, code=EXIT_USAGE))

    def test_mistakes_have_no_effect(self):
        before = self.ctl("preset", "show", "peak")
        for arguments in [("preset", "put", "peak", "--urgent-reserve", "7"), ("service", "put", "s", "--kind", "odd"),
                          ("preset", "put"), ("preset", "frobnicate"), ("preset", "put", "peak", "--unknown"),
                          ("preset", "put", "peak", "--drain-limit", "soon"), ("status", "--timeout", "-1")]:
            with self.subTest(arguments):
                self.ctl(*arguments, code=EXIT_USAGE)
        self.ctl("preset", "use", "nowhere", code=EXIT_REFUSED)
        self.assertEqual(before, self.ctl("preset", "show", "peak"))

    def test_store_outage_is_told_truthfully(self):
        self.fleet.fault(self.fleet.store, kind="down", ms=60000)
        said = self.ctl("workspace", "put", "w3", "--timeout", "2", code=(EXIT_REFUSED, EXIT_UNKNOWN))
        self.assertRegex(said, "store_unavailable|unknown|deadline_exceeded|configuration_stale")
        self.fleet.fault(self.fleet.store, kind="none")

    def test_drain_and_dead_routers(self):
        self.assertIn("draining", self.ctl("drain", "r2"))
        self.fleet.wait_until(lambda: self.has_left("r2"), "r2 drains")
        self.fleet.processes["r1"].signal(signal.SIGKILL)
        self.fleet.processes["r2"].signal(signal.SIGKILL)
        self.ctl("status", "--timeout", "1", code=EXIT_REFUSED)
        self.ctl("workspace", "put", "w4", "--timeout", "1", code=EXIT_REFUSED)

    def has_left(self, name):
        """Whether a router drains or has ended."""
        if self.fleet.processes[name].popen.poll() is not None:
            return True
        try:
            return request(self.fleet.entry(name), "GET", "/healthz")[2] == {"status": "draining"}
        except OSError:
            return False


if __name__ == "__main__":
    unittest.main()
