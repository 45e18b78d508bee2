"""Placers on real processes: engines reach the wished state, and a new holder takes over from a killed or frozen one."""

import unittest

from fleet import request
from test_failures import FleetTest


class TestPlacement(FleetTest):
    def start_placer(self, name):
        path = self.fleet.write_settings(name, f"""
id = "{name}"
domain = "kochi"
[platform]
object_api = "{self.fleet.store.address}"
[log]
level = "info"
""")
        return self.fleet.start(name, "wisteria-placer", "--config", path)

    def state(self, engine):
        return request(self.fleet.processes[engine].address, "GET", "/v1/engine/state")[2]

    def wait_for_model(self, version, *engines):
        for name in engines:
            self.fleet.wait_until(lambda it=name: self.state(it)["model_version"] == version, f"{name} has version {version}")

    def wish(self, version):
        configuration = request(self.fleet.entry("r1"), "GET", "/v1/admin/configuration")[2]
        spec = next(it for it in configuration["services"] if it["name"] == "digest")
        self.accept({"kind": "put_service", "expected": spec["stamp"]["changed_in"],
                     "spec": {**spec, "model_version": version}})

    def test_engines_reach_the_wished_state(self):
        self.start_placer("p1")
        self.wait_for_model("1", "e1", "e2", "e3")
        self.wish("2")
        self.wait_for_model("2", "e1", "e2", "e3")
        self.assertEqual("summariser", self.state("e1")["model"])

    def test_new_holder_takes_over(self):
        first = self.start_placer("p1")
        self.wait_for_model("1", "e1", "e2", "e3")
        self.start_placer("p2")
        first.kill()
        self.wish("2")
        self.wait_for_model("2", "e1", "e2", "e3")

    def test_woken_holder_does_not_undo_the_new_one(self):
        first = self.start_placer("p1")
        self.wait_for_model("1", "e1", "e2", "e3")
        first.freeze()
        self.start_placer("p2")
        self.wish("2")
        self.wait_for_model("2", "e1", "e2", "e3")
        first.thaw()
        self.wish("3")
        self.wait_for_model("3", "e1", "e2", "e3")


if __name__ == "__main__":
    unittest.main()
