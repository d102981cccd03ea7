"""Guards against changes that are lost or half applied when operators act at the same time."""

import threading
import unittest

from cell import RAN, REFUSED, Cell
from programs import wait_until


class Operators(unittest.TestCase):
    def setUp(self):
        self.cell = Cell({"a": 1, "b": 1})
        self.cell.__enter__()
        self.addCleanup(self.cell.__exit__, None, None, None)

    def race(self, actions):
        """Runs all actions at the same time; returns their results in order."""
        results = [None] * len(actions)
        barrier = threading.Barrier(len(actions))

        def act(at):
            barrier.wait()
            results[at] = actions[at]()

        threads = [threading.Thread(target=act, args=(at,)) for at in range(len(actions))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def team_at(self, daemon, name):
        config = self.cell.ctl("show", key="operator", daemons=[daemon])["config"]
        return next((t for t in config["teams"] if t["team"]["team"] == name), None)

    def test_one_of_several_changes_of_the_same_state_wins(self):
        offset = self.cell.publish("team", "set", "maps")
        self.await_offset(offset)

        def change(daemon, tasks):
            path = self.cell.folder / f"{tasks}.yaml"
            path.write_text(f"changes:\n- setTeam: {{team: maps, share: 1, limit: {{tasks: {tasks}}}}}\n")
            return self.cell.ctl_process("publish", path, "--expected-offset", offset,
                                         "--operation-id", f"op-{tasks}", key="operator",
                                         daemons=[daemon]).returncode

        tasks = [11, 12, 13, 14]
        codes = self.race([lambda at=at: change("ab"[at % 2] + "0", tasks[at]) for at in range(4)])
        self.assertEqual(sorted(codes), [RAN, REFUSED, REFUSED, REFUSED])
        winner = tasks[codes.index(RAN)]
        for name in self.cell.http:
            wait_until(
                lambda at=name: int(self.team_at(at, "maps")["team"]["limit"]["tasks"]) == winner,
                f"{name} has the winning limit",
            )

    def test_changes_of_different_teams_all_apply_everywhere(self):
        names = [f"team-{number}" for number in range(8)]

        def create(at):
            path = self.cell.folder / f"{names[at]}.yaml"
            path.write_text(f"changes:\n- setTeam: {{team: {names[at]}, share: 1}}\n")
            return self.cell.ctl_process("publish", path, key="operator",
                                         daemons=["ab"[at % 2] + "0"]).returncode

        self.assertEqual(self.race([lambda at=at: create(at) for at in range(8)]), [RAN] * 8)
        for daemon in self.cell.http:
            for name in names:
                wait_until(lambda d=daemon, n=name: self.team_at(d, n), f"{daemon} knows {name}")

    def await_offset(self, offset):
        for name in self.cell.http:
            wait_until(lambda at=name: (self.cell.metric(at, "endiveusher_control_offset") or 0) > offset,
                       f"{name} has applied offset {offset}")


if __name__ == "__main__":
    import main

    main.run_tests()
