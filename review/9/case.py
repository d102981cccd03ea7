"""Large jobs come at once. The platform kills a process that exceeds limits.memory_mb and starts it
again, as DEPLOY.md says; a small job that was accepted before must be run and be shown."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))

from small_cell import TROUBLE, CouldNotRun, run_case, wait_for  # noqa: E402

MEMORY_MB = 260  # limits.memory_mb of the settings
RESTART_S = 0.5
LARGE_JOBS = 3
# A body of some 20 KB; limits.max_body_bytes is 262,144.
LARGE_STEPS, LARGE_TASKS = (256, 4096) if TROUBLE else (3, 60)
SMALL = "/b/5c0e7a21d94b36f8"
WATCH_S = 30
FINISH_S = 14  # bounds.finish_s


def resident_mb(pid):
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class Platform(threading.Thread):
    """Kills each daemon that exceeds its memory, and restarts daemons that have ended."""

    def __init__(self, cell):
        super().__init__()
        self._cell = cell
        self.stop = threading.Event()
        self.ends = []

    def run(self):
        restart_at = {}
        while not self.stop.wait(0.05):
            for daemon in self._cell.daemons:
                if daemon.process.poll() is None:
                    used = resident_mb(daemon.process.pid)
                    if used > MEMORY_MB:
                        self._cell.record.write(f"{daemon.name} uses {used:.0f} MB")
                        daemon.send(signal.SIGKILL)
                        daemon.process.wait()
                        self.ends.append(daemon.name)
                elif daemon not in restart_at:
                    restart_at[daemon] = time.monotonic() + RESTART_S
                elif restart_at[daemon] <= time.monotonic():
                    del restart_at[daemon]
                    daemon.start()


def run(cell):
    cell.wait_until_ready()
    wait_for(lambda: all(target._sequence > 1 for target in cell.targets), 10, "workers register")
    platform = Platform(cell)
    platform.start()
    try:
        small = {"count": 4, "cpu": 2600, "mem_mb": 4800, "estimate_ms": 4000}
        cell.submit(SMALL, {"spec": "4000:2600:0",
                            "steps": [small, {**small, "after": [0]}]})
        step = {"count": LARGE_TASKS, "cpu": 1800, "mem_mb": 3400, "estimate_ms": 300}
        answers = []
        for number in range(LARGE_JOBS):
            steps = [{**step, "after": [at - 1]} if at else step for at in range(LARGE_STEPS)]
            body = {"spec": "300:1800:0", "steps": steps}
            answer = cell.call(cell.daemons[number], "POST", f"/b/{0xabc0 + number:016x}", "kred",
                               body)
            answers.append(answer and answer[0])
            time.sleep(1)
        time.sleep(WATCH_S)
        until, shown = time.monotonic() + FINISH_S, []
        while time.monotonic() < until and "completed" not in shown:
            shown += [cell.state(daemon, SMALL) for daemon in cell.daemons]
            time.sleep(0.5)
    finally:
        platform.stop.set()
        platform.join()
    ends = len(platform.ends)
    cell.record.write(f"large jobs answered {answers}; {ends} ends for memory over {MEMORY_MB} MB")
    if not any(answer == 200 for answer in answers):
        raise CouldNotRun("no large job was accepted")
    if "completed" not in shown:
        return (f"{SMALL} is not shown as completed {WATCH_S + FINISH_S} s after it was accepted "
                f"({ends} ends for memory); the last answers are {shown[-3:]}")
    return None


run_case(pathlib.Path(__file__).resolve().parent, run)
