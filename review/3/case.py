"""A worker without power for a moment starts again under its id. What the scheduler starts there
before it learns of the restart counts as lost, and is run a second time."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

from cell import TROUBLE, main  # noqa: E402

ROUNDS = 4
POWER_OFF_S = 0.6
WORK_MS = 150
JOBS_PER_S = 25


def violations(record):
    """Returns the tasks that the rule TWICE counts."""
    found, running, done, noted = [], {}, {}, set()
    for at, kind, fields in record.events:
        if kind == "noted" and fields["how"] == "done":
            noted.add((fields["task"], fields["run"], fields["worker"], fields["life"]))
    for at, kind, fields in sorted(record.events, key=lambda one: one[0]):
        task = fields.get("task")
        if kind == "started":
            here = running.setdefault(task, {})
            if here:
                found.append((at, task, f"run {fields['run']} starts while run {list(here)[0][0]} "
                                        "is at work"))
            elif task in done and done[task] in noted:
                found.append((at, task, f"run {fields['run']} starts after run {done[task][1]} has "
                                        "ended as done, and that end is taken note of"))
            here[fields["run"], fields["worker"], fields["life"]] = at
        elif kind in ("ended", "lost"):
            running.get(task, {}).pop((fields["run"], fields["worker"], fields["life"]), None)
            if fields.get("how") == "done":
                done[task] = (task, fields["run"], fields["worker"], fields["life"])
    return found


def check(cell):
    for number in range(7):
        cell.add_worker(f"w{number}", cpu=16000, labels=("a", f"r{number % 2}"))
    cell.start_daemons()
    stop = threading.Event()

    def client(number):
        while not stop.wait(4 / JOBS_PER_S):
            cell.submit([{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": WORK_MS}],
                        {"ms": WORK_MS}, daemon=cell.daemons[number % len(cell.daemons)])

    clients = [threading.Thread(target=client, args=(number,)) for number in range(4)]
    for one in clients:
        one.start()
    time.sleep(3)
    for _ in range(ROUNDS):
        if TROUBLE:
            # The worker with the most tasks: one of seven, as the pages allow.
            busiest = max(cell.workers, key=lambda one: len(one.runs))
            busiest.lose_power()
            time.sleep(POWER_OFF_S)
            busiest.return_power()
        time.sleep(4)
    stop.set()
    for one in clients:
        one.join()
    time.sleep(3)
    found = violations(cell.record)
    for at, task, what in found:
        cell.record.add("broken", rule="TWICE", at=f"{at:.3f}", task=task, what=f'"{what}"')
        print(f"TWICE at {at:.3f} s: {task}: {what}")
    return not found


if __name__ == "__main__":
    main(check, __file__)
