"""Randomised runs of the real daemons under injected faults; the seed determines all faults.

    soak.py [--seed N] [--seconds S] [--runs N] [--fault NAME[,NAME]]

Prints one line per run. The logs of a run with violations are kept; the path of their folder is
printed.
"""

import argparse
import random
import shutil
import signal
import sys
import threading
import time

from cell import Cell, TARGET_CPU_MILLI, ZONES
from checker import CANCEL_LIMIT_S, CONTACT_S, STOP_LIMIT_S
from crowd import Crowd, post
from journal_model import USE_HALF_LIFE_S, use_differences
from programs import wait_until

# Time limit after the last fault for all accepted jobs to end.
SETTLE_S = 40.0
CLIENTS = 6
# Kinds that are injected only if named, so that the seeds of former failures draw the same faults.
ONLY_IF_NAMED = {
    "reload", "store_late", "target_shrinks", "target_answer_reset", "target_late",
    "target_late_any", "target_rejects", "journal_reads", "journal_appends", "journal_blind",
    "operator_reads", "registry_reads", "gang_fails", "target_recut",
    "zones_cut", "hostile_callers", "past_use",
}
# Kinds in whose runs a job has few attempts, and in whose runs the longest lease
# (bounds.hold_max_ms) exceeds the owner's of 7 s (kLease in node/src/cell_node_owner.cpp).
FEW_ATTEMPTS, MAX_ATTEMPTS = {"gang_fails"}, 3
LONG_HOLD, HOLD_MAX_MS = {"target_recut"}, 10000
# Kinds in whose runs the daemons have small limits, and the memory that each may use.
SMALL_LIMITS, MEMORY_MB = {"hostile_callers"}, 48
SMALL_SETTINGS = f"limits.memory_mb={MEMORY_MB}\nlimits.max_fds=400\n"
# Connections of a crowd of callers, fewer than a daemon accepts beside the ordinary ones.
CROWD = 100
# Kinds in whose runs waiting steps are ordered by the teams' use.
BY_USE = {"past_use"}
USE_ARGUMENTS = ("--past-use-half-life", str(USE_HALF_LIFE_S), "--share-order")
# Kinds beside which the bounds hold that are counted without a fault.
CALM = {"evacuate", "revoke", "quota", "target_drains"}
# Share of the faults of one daemon's requests to the store that hit the owner.
OWNER_SHARE = 0.8
JOURNAL_READS, JOURNAL_APPENDS = b"/log-read?topic=journal", b"/log-append?topic=journal"
# An owner turns cancellations away while an append has been unanswered for 1.5 s, and other daemons
# then append them: time for which its appends have no answer, and of a cancellation in it.
APPEND_SILENCE_S, CANCELLATION_AT_S = 3.0, 2.2
# Tasks of the two jobs that run while targets restart and are cut off. They outlast the longest
# lease, and three of them fill a target: an order to one that is cut off would make its owner wait
# longer.
LONG_TASKS, LONG_TASK_CPU_MILLI, LONG_WORK_MS = (1, 8), 2600, 12000
# Duration and number of the cuts of zones by turns: an owner takes runs as lost 7 to 9 s after the
# cut. Tasks of the job that runs meanwhile, each for LONG_WORK_MS.
ZONE_CUT_S, ZONE_CUTS = 9.0, 4
ZONE_TASKS, ZONE_TASK_CPU_MILLI = 3, 7800
# Time before a crash from which heartbeats may be held back: longer than one waits for an end.
HELD_BACK_S = 1.0


class Fault:
    """A fault that starts with apply(); heal() is due `lasts_s` later, and each call of `later` the
    time after apply() that stands before it."""

    def __init__(self, lasts_s, apply, heal=lambda: None, later=()):
        self.lasts_s, self.apply, self.heal, self.later = lasts_s, apply, heal, later


def zones_cut(cell):
    """The targets of one zone and of the other are cut off by turns, each time for longer than their
    leases, while a job runs each of whose tasks fills a target. Does nothing while another such
    fault lasts."""
    first = cell.random.choice(ZONES)
    rng, submitters, this = random.Random(cell.random.random()), [], object()

    def cut(zone):
        cell.checker.note(f"cut off: zone {zone}")
        for target, proxy in zip(cell.targets, cell.target_proxies):
            proxy.drop_all = target.zone == zone

    def submit():
        args = ("red", ZONE_TASKS, ZONE_TASK_CPU_MILLI, LONG_WORK_MS, rng)
        submitters.append(threading.Thread(target=cell.submit_long, args=args))
        submitters[0].start()

    def begin():
        cell.recut = cell.recut or this

    def heal():
        cut(None)
        for submitter in submitters:
            submitter.join()
        cell.recut = None

    def if_active(call):
        return lambda: cell.recut is this and call()

    zones = [first, *(zone for zone in ZONES if zone != first)]
    steps = [(0.1, if_active(submit))] + [
        (1.5 + number * ZONE_CUT_S, if_active(lambda zone=zones[number % 2]: cut(zone)))
        for number in range(ZONE_CUTS)
    ]
    return Fault(1.5 + ZONE_CUTS * ZONE_CUT_S, begin, if_active(heal), steps)


def hostile_callers(cell):
    """A crowd of callers announces bodies over the limit and sends them, leaves bodies within the
    limit incomplete, or says nothing, at one address of a daemon. The daemon stays within its
    memory and does not end."""
    rng = cell.random
    daemon = rng.choice(cell.daemons)
    address = rng.choice([daemon.address, daemon.readiness_address, daemon.peer_address])
    key = rng.choice([None, "kred"])
    data = rng.choice([
        post(1 << 20, key) + b"x" * (1 << 20), post(262144, key) + b"x" * 200_000, b"",
    ])
    crowd = []

    def send():
        crowd[0].send(data)

    def apply():
        crowd.append(Crowd(address, CROWD))
        crowd.append(threading.Thread(target=send))
        crowd[1].start()

    def heal():
        crowd[1].join()
        crowd[0].close()
        if not daemon.process.running():
            cell.checker.report_violation(f"{daemon.name} has ended")
        elif daemon.process.peak_mb() >= MEMORY_MB:
            cell.checker.report_violation(
                f"{daemon.name} has used {daemon.process.peak_mb():.0f} MB of {MEMORY_MB}"
            )

    return Fault(rng.uniform(1, 4), apply, heal)


def owner_change(cell):
    """The owner is killed or stopped, once it has stored a record of the teams' use, which it does
    after 10 s."""
    number = cell.random.choice([signal.SIGKILL, signal.SIGTERM])

    def apply():
        owners, use = cell.owners(), cell.store.use()
        if owners and use is not None and use[0] > max(owners):
            cell.checker.note(f"owner {owners[max(owners)].name} gets signal {number}")
            owners[max(owners)].restart(number)

    return Fault(0, apply)


class Recut:
    """The targets of a zone restart under their ids after a short time dark, take heartbeats that
    were meant for their former incarnations, and are cut off soon after for longer than the longest
    lease. Between the two, the owner may be killed. Long tasks start before and after the restart.
    Does nothing while another such fault lasts."""

    def __init__(self, cell):
        rng = cell.random
        zone = rng.choice(ZONES)
        self._cell, self._random = cell, random.Random(rng.random())
        self._targets = [
            (target, proxy) for target, proxy in zip(cell.targets, cell.target_proxies)
            if target.zone == zone
        ]
        self._kills, self._held_back_probability = rng.random() < 0.8, rng.choice([0.3, 0.7])
        self._submitters = []
        crash_at = rng.uniform(1, 2)
        restart_at = crash_at + rng.uniform(0.15, 0.6)
        kill_at = restart_at + rng.uniform(0.5, 1.0)
        cut_at = kill_at + rng.uniform(0.2, 0.5)
        self._steps = [
            (crash_at - HELD_BACK_S, self._hold_back), (crash_at - 0.1, self._submit),
            (crash_at, self._crash), (restart_at, self._restart), (restart_at + 0.1, self._submit),
            (kill_at, self._kill_owner), (cut_at, self._cut),
        ]
        self._lasts_s = cut_at + HOLD_MAX_MS / 1000 + rng.uniform(0.5, 2)

    def fault(self):
        def if_active(call):
            return lambda: self._cell.recut is self and call()

        steps = [(after_s, if_active(call)) for after_s, call in self._steps]
        return Fault(self._lasts_s, self._begin, if_active(self._heal), steps)

    def _begin(self):
        if self._cell.recut is None:
            self._cell.recut = self

    def _hold_back(self):
        for target, _ in self._targets:
            target.held_back_probability = self._held_back_probability

    def _submit(self):
        number = len(self._submitters)
        submitter = threading.Thread(
            target=self._cell.submit_long,
            args=(["red", "blue"][number], LONG_TASKS[number], LONG_TASK_CPU_MILLI, LONG_WORK_MS,
                  self._random),
        )
        self._submitters.append(submitter)
        submitter.start()

    def _crash(self):
        for target, _ in self._targets:
            target.crash()

    def _restart(self):
        for target, _ in self._targets:
            target.held_back_probability = 0.0
            target.restart()

    def _kill_owner(self):
        owner = self._cell.owner()
        if self._kills and owner is not None:
            self._cell.checker.note(f"owner {owner.name} killed")
            owner.restart(signal.SIGKILL)

    def _cut(self):
        self._cell.checker.note(f"cut off: {[target.name for target, _ in self._targets]}")
        for _, proxy in self._targets:
            proxy.drop_all = True

    def _heal(self):
        self._restart()
        for _, proxy in self._targets:
            proxy.drop_all = False
        for submitter in self._submitters:
            submitter.join()
        self._cell.recut = None


def set_fields(component, **fields):
    for name, value in fields.items():
        setattr(component, name, value)


def faults(cell):
    """Returns factories of faults by kind; each call draws the place and the duration."""
    rng = cell.random

    def toggled(component, lasts_s, **fields):
        # Restores the fault-free value, not the previous one, as faults of one kind may overlap.
        fault_free = {name: type(value)() for name, value in fields.items()}
        return Fault(
            lasts_s,
            lambda: set_fields(component, **fields),
            lambda: set_fields(component, **fault_free),
        )

    def pause():
        daemon = rng.choice(cell.daemons)
        return Fault(rng.uniform(0.5, 4), daemon.pause, daemon.resume)

    def silent(lasts_s, parts, before=lambda _: None):
        """The store's answers to requests with these parts are lost. Mostly the owner's requests, of
        the time when the fault begins. First calls before(daemon)."""
        chosen = daemon()
        of_owner = rng.random() < OWNER_SHARE
        place = []

        def apply():
            place.append((of_owner and cell.owner()) or chosen)
            place[0].silenced.extend(parts)
            before(place[0])

        def heal():
            for part in parts:
                place[0].silenced.remove(part)

        return Fault(lasts_s, apply, heal)

    def cancel_past(owner):
        """Another daemon appends the cancellation of a job whose tasks the owner goes on to start.
        """
        job = cell.submit_recurring()
        owner.silenced.append(JOURNAL_APPENDS)
        time.sleep(CANCELLATION_AT_S)
        if job is not None:
            cell.cancel_at(job, "b", next(one for one in cell.daemons if one is not owner))
        time.sleep(APPEND_SILENCE_S - CANCELLATION_AT_S)
        owner.silenced.remove(JOURNAL_APPENDS)

    def herd():
        chosen = rng.sample(cell.daemons, rng.randint(2, len(cell.daemons)))
        return Fault(0, lambda: [daemon.restart(signal.SIGKILL) for daemon in chosen])

    def crash():
        target = rng.choice(cell.targets)
        return Fault(rng.uniform(0.5, 8), target.crash, target.restart)

    def shrink():
        target = rng.choice(cell.targets)
        cpu_milli = rng.choice([0, 1000, 2000, 4000])
        return Fault(
            rng.uniform(1, 8),
            lambda: set_fields(target, cpu_milli=cpu_milli),
            lambda: set_fields(target, cpu_milli=TARGET_CPU_MILLI),
        )

    def evacuate():
        zone = rng.choice(ZONES)
        return Fault(
            rng.uniform(2, 5),
            lambda: cell.evacuate(zone, True),
            lambda: cell.evacuate(zone, False),
        )

    def revoke():
        def apply():
            cell.spare_key_revoked_at = cell.spare_key_revoked_at or time.monotonic()
            cell.configure()

        return Fault(0, apply)

    def quota():
        def change(cpu_milli):
            cell.limit_cpu_milli = cpu_milli
            cell.configure()

        # Never above the limit that the checker enforces.
        return Fault(3, lambda: change(12000), lambda: change(24000))

    daemon = lambda: rng.choice(cell.daemons)  # noqa: E731
    target = lambda: rng.choice(cell.targets)  # noqa: E731
    path = lambda: rng.choice(cell.target_proxies)  # noqa: E731
    seconds = lambda: rng.uniform(0.5, 5)  # noqa: E731
    return {
        "kill": lambda: Fault(0, lambda chosen=daemon(): chosen.restart(signal.SIGKILL)),
        "stop": lambda: Fault(0, lambda chosen=daemon(): chosen.restart(signal.SIGTERM)),
        "reload": lambda: Fault(0, daemon().reload),
        "herd": herd,
        "pause": pause,
        "store_down": lambda: toggled(cell.store, seconds(), down=True),
        "store_slow": lambda: toggled(cell.store, seconds(), delay_s=rng.uniform(0.05, 0.5)),
        "store_lost": lambda: toggled(cell.store, seconds(), loss_probability=0.4),
        "store_late": lambda: toggled(
            cell.store, seconds(), late_probability=rng.uniform(0.05, 0.3)
        ),
        "store_cut": lambda: toggled(daemon().store, seconds(), drop_all=True),
        "store_one_way": lambda: toggled(daemon().store, seconds(), drop_replies=True),
        "store_silent": lambda: Fault(0, daemon().store.stall_open),
        "store_reset": lambda: Fault(0, daemon().store.reset),
        "journal_reads": lambda: silent(rng.uniform(2, 8), [JOURNAL_READS]),
        "journal_appends": lambda: silent(rng.uniform(0.5, 4), [JOURNAL_APPENDS]),
        # The reads stay without an answer after a cancellation was appended past the owner.
        "journal_blind": lambda: silent(rng.uniform(5, 10), [JOURNAL_READS], cancel_past),
        "operator_reads": lambda: silent(rng.uniform(2, 8), [b"topic=keyed.op"]),
        "registry_reads": lambda: silent(rng.uniform(2, 8), [b"topic=keyed.servers"]),
        "target_crash": crash,
        "target_cut": lambda: toggled(path(), rng.uniform(0.5, 9), drop_all=True),
        "target_one_way": lambda: toggled(path(), rng.uniform(0.5, 9), drop_replies=True),
        "target_slow": lambda: toggled(path(), seconds(), delay_s=0.05),
        "target_silent": lambda: Fault(0, path().stall_open),
        "target_reset": lambda: Fault(0, path().reset),
        "target_lost": lambda: toggled(target(), seconds(), loss_probability=0.4),
        "target_answer_reset": lambda: toggled(
            path(), seconds(), answer_reset_probability=rng.uniform(0.05, 0.4)
        ),
        "target_late": lambda: toggled(
            target(), seconds(), late_probability=rng.uniform(0.1, 0.5)
        ),
        # Breaks guarantees: a start may be carried out between a restart and the first orders.
        "target_late_any": lambda: toggled(
            target(), seconds(), late_probability=rng.uniform(0.1, 0.5), late_to_any=True
        ),
        "target_rejects": lambda: toggled(
            target(), seconds(), rejection_probability=rng.uniform(0.1, 0.6)
        ),
        "target_fails": lambda: toggled(target(), seconds(), fails_tasks=True),
        "gang_fails": lambda: toggled(cell.gangs, rng.uniform(1, 4), failing=True),
        "target_recut": lambda: Recut(cell).fault(),
        "zones_cut": lambda: zones_cut(cell),
        "hostile_callers": lambda: hostile_callers(cell),
        "past_use": lambda: owner_change(cell),
        "target_shrinks": shrink,
        "target_drains": lambda: toggled(target(), seconds(), draining=True),
        "evacuate": evacuate,
        "revoke": revoke,
        "quota": quota,
    }


def inject_faults(cell, seconds, names):
    """Applies overlapping faults for a time, then heals all; returns their kinds."""
    makers = faults(cell)
    applied, healing, later = [], [], []

    def act_until(end):
        """Waits until a time and makes the later calls of faults that are due meanwhile."""
        while True:
            for due, call in [one for one in later if one[0] <= time.monotonic()]:
                call()
                later.remove((due, call))
            now = time.monotonic()
            if now >= end:
                return
            time.sleep(max(0, min([end] + [due for due, _ in later]) - now))

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        name = cell.random.choice(names or sorted(set(makers) - ONLY_IF_NAMED))
        fault = makers[name]()
        applied.append(name)
        cell.checker.note(f"fault {name} for {fault.lasts_s:.1f} s")
        disturbs = name not in CALM
        cell.checker.fault_began(disturbs)
        later.extend((time.monotonic() + after_s, call) for after_s, call in fault.later)
        later.sort(key=lambda one: one[0])
        fault.apply()
        healing.append((time.monotonic() + fault.lasts_s, fault, disturbs))
        act_until(time.monotonic() + cell.random.uniform(0.1, 1.5))
        for due, active, disturbs in list(healing):
            if due <= time.monotonic():
                cell.checker.note(f"fault healed that was due for {time.monotonic() - due:.1f} s")
                active.heal()
                cell.checker.fault_ended(disturbs)
                healing.remove((due, active, disturbs))
    for _, active, disturbs in healing:
        active.heal()
        cell.checker.fault_ended(disturbs)
    return applied


def settle(cell):
    """Waits until all accepted jobs have ended, and runs the final checks."""
    end = time.monotonic() + SETTLE_S
    left = cell.unfinished()
    while left and time.monotonic() < end:
        time.sleep(0.5)
        cell.checker.check_cancelled()
        left = cell.unfinished()
    if left:
        # On SIGUSR1, the daemons log their state, which helps to find the cause.
        for daemon in cell.daemons:
            daemon.process.send(signal.SIGUSR1)
        time.sleep(0.5)
    for name in left:
        cell.checker.report_violation(f"accepted but not finished after {SETTLE_S:.0f} s: {name}")
    cell.ask_for_cancelled()
    # The last jobs may have been cancelled a moment ago.
    end = time.monotonic() + CONTACT_S + CANCEL_LIMIT_S + STOP_LIMIT_S
    while cell.checker.runs_of_cancelled() and time.monotonic() < end:
        time.sleep(0.1)
        cell.checker.check_cancelled()
    cell.checker.finish()


def check_use(cell):
    """Compares the use of the teams that the owner counts with the last record of it, which another
    owner may have stored."""
    def counted():
        owner, before = cell.owner(), cell.store.use()
        teams = owner.team_use()
        is_last = owner is cell.owner() and before == cell.store.use()
        # An owner that has just begun has not read the record yet.
        is_read = before is not None and len(teams) == len(before[1]) and all(
            use > 0 for _, use in teams
        )
        return (before, [time.time() * 1000, teams]) if is_last and is_read else None

    before, now = wait_until(counted, "the owner shows the use of the teams")
    for difference in use_differences(before, now):
        cell.checker.report_violation(f"owner {cell.owner().name}: {difference}")


def run(seed, seconds, names):
    """Returns the violations of a run and where its logs are, as lines; none if there are none."""
    cell = Cell(
        seed,
        max_attempts=MAX_ATTEMPTS if FEW_ATTEMPTS & set(names) else 50,
        hold_max_ms=HOLD_MAX_MS if LONG_HOLD & set(names) else 6000,
        settings=SMALL_SETTINGS if SMALL_LIMITS & set(names) else "",
        arguments=USE_ARGUMENTS if BY_USE & set(names) else (),
    )
    try:
        cell.wait_until_ready()
        cell.start_clients(CLIENTS)
        applied = inject_faults(cell, seconds, names)
        cell.stop_clients()
        if BY_USE & set(names):
            check_use(cell)
        settle(cell)
    finally:
        cell.close()
    found = cell.checker.violations
    print(
        f"seed {seed}: {len(applied)} faults, {len(cell.checker.jobs())} jobs, "
        f"{cell.checker.starts} starts, {cell.store.snapshots()} snapshots, "
        f"{len(found)} violations",
        flush=True,
    )
    if not found:
        shutil.rmtree(cell.folder)
        return []
    (cell.folder / "events.log").write_text("".join(cell.checker.events))
    lines = [*found[:20], f"faults: {' '.join(applied)}", f"logs: {cell.folder}"]
    print("\n".join(f"  {line}" for line in lines), flush=True)
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--runs", type=int, default=1, help="runs with consecutive seeds")
    parser.add_argument("--fault", default="", help="kinds, comma-separated; default: all")
    options = parser.parse_args()
    names = [name for name in options.fault.split(",") if name]
    clean = [not run(options.seed + i, options.seconds, names) for i in range(options.runs)]
    print(f"soak: {sum(clean)} of {len(clean)} runs without a violation")
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())
