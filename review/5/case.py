"""A service whose worker crashes three times is given up and shown as failed."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

from cell import TROUBLE, main  # noqa: E402

CRASHES = 3
DOWN_S = 4.4  # As long as the shortest crash of the site's days.
BETWEEN_S = 8
SETTLE_S = 14


def check(cell):
    for number in range(7):
        cell.add_worker(f"w{number}", cpu=16000, labels=("a", f"r{number % 2}"))
    cell.start_daemons()
    # A service that needs a whole worker.
    job = cell.submit([{"count": 1, "cpu": 16000, "mem_mb": 1000, "estimate_ms": 1000,
                        "long_running": True}], {"ms": 10**7})
    if job is None:
        raise RuntimeError("the service was not accepted")
    task = f"{job}.0.0.0"
    for _ in range(CRASHES):
        time.sleep(BETWEEN_S)
        at = [one for one in cell.workers if task in one.runs]
        cell.state(job)
        if TROUBLE and at:
            at[0].lose_power()  # One of seven workers.
            time.sleep(DOWN_S)
            at[0].return_power()
    time.sleep(SETTLE_S)
    states = [cell.state(job, daemon=one) for one in cell.daemons]
    at_work = [one.name for one in cell.workers if task in one.runs]
    ends = [fields["how"] for _, fields in cell.record.of("ended") if fields["task"] == task]
    print(f"shown as {states}; at work on {at_work}; ends listed by workers: {ends}")
    if "failed" in states and "failed" not in ends:
        cell.record.add("broken", rule="LOST", job=job,
                        what='"shown as failed, no run has ended failed"')
        return False
    return bool(at_work)


if __name__ == "__main__":
    main(check, __file__)
