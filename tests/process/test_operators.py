"""Guards against lost or partly applied changes when operators publish concurrently."""

import threading
import unittest

from cell import RAN, REFUSED, Cell
from programs import wait_until


class Operators(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 1, "b": 1})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)

    def run_concurrently(self, actions):
        """Runs all actions concurrently; returns their results in order."""
        results = [None] * len(actions)
        barrier = threading.Barrier(len(actions))

        def run(at):
            barrier.wait()
            results[at] = actions[at]()

        threads = [threading.Thread(target=run, args=(at,)) for at in range(len(actions))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def team_at(self, daemon, name):
        config = self.cell.ctl("show", key="operator", daemons=[daemon])["config"]
        return next((t for t in config["teams"] if t["team"]["team"] == name), None)

    def test_one_of_several_changes_with_the_same_expected_offset_wins(self):
        offset = self.cell.publish("team", "set", "maps")
        self.wait_for_offset(offset)

        def change(daemon, tasks):
            path = self.cell.folder / f"{tasks}.yaml"
            path.write_text(f"changes:\n- setTeam: {{team: maps, share: 1, limit: {{tasks: {tasks}}}}}\n")
            return self.cell.ctl_process("publish", path, "--expected-offset", offset,
                                         "--operation-id", f"op-{tasks}", key="operator",
                                         daemons=[daemon]).returncode

        tasks = [11, 12, 13, 14]
        codes = self.run_concurrently(
            [lambda at=at: change("ab"[at % 2] + "0", tasks[at]) for at in range(4)]
        )
        self.assertEqual(sorted(codes), [RAN, REFUSED, REFUSED, REFUSED])
        winner = tasks[codes.index(RAN)]
        for name in self.cell.http:
            wait_until(
                lambda at=name: int(self.team_at(at, "maps")["team"]["limit"]["tasks"]) == winner,
                f"{name} has the winning limit",
            )

    def test_concurrent_changes_of_different_teams_reach_all_daemons(self):
        names = [f"team-{number}" for number in range(8)]

        def create(at):
            path = self.cell.folder / f"{names[at]}.yaml"
            path.write_text(f"changes:\n- setTeam: {{team: {names[at]}, share: 1}}\n")
            return self.cell.ctl_process("publish", path, key="operator",
                                         daemons=["ab"[at % 2] + "0"]).returncode

        codes = self.run_concurrently([lambda at=at: create(at) for at in range(8)])
        self.assertEqual(codes, [RAN] * 8)
        for daemon in self.cell.http:
            for name in names:
                wait_until(lambda d=daemon, n=name: self.team_at(d, n), f"{daemon} knows {name}")

    def wait_for_offset(self, offset):
        for name in self.cell.http:
            wait_until(lambda at=name: (self.cell.metric(at, "endiveusher_control_offset") or 0) > offset,
                       f"{name} has applied offset {offset}")


if __name__ == "__main__":
    import main

    main.run_tests()
