"""Independent model of the jobs that the journal holds, with which snapshots are compared.

The formats are those of scheduler/src/journal.cpp and node/src/snapshots.cpp.
"""

import struct
import time

SUBMITTED, CANCELLED, STARTED, ENDED, ABANDONED, SNAPSHOT, ACQUIRED = range(1, 8)
TEAM_USE = 9
SNAPSHOT_WITH_DROPPED = 10
# Bits of a reduced state, of a task that is done, that hold the number of its latest run.
RUN_BITS = 5
ACTIVE, COMPLETED, FAILED, PHASE_CANCELLED = range(4)
RUN_DONE, RUN_FAILED = range(2)
# Kind of the header of a part of a snapshot.
PART_HEADER = 101
# bounds.status_s of the daemons: a job may be dropped that ended longer ago.
STATUS_RETENTION_S = 120
# Half-life of the teams' past use in the daemons' options, and tolerance in a total: it is a float.
USE_HALF_LIFE_S, USE_TOLERANCE = 10, 1e-3
# Formats of numbers, and of the lengths of strings and containers, by type byte.
NUMBERS = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
           0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
STRINGS = {0xC4: ">B", 0xC5: ">H", 0xC6: ">I", 0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}
ARRAYS = {0xDC: ">H", 0xDD: ">I"}
CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


def decode(data):
    """Decodes one MessagePack value without maps; strings stay bytes. Raises ValueError."""
    position = 0

    def take(size):
        nonlocal position
        position += size
        if position > len(data):
            raise ValueError("value is cut off")
        return data[position - size : position]

    def number(form):
        return struct.unpack(form, take(struct.calcsize(form)))[0]

    def value():
        kind = take(1)[0]
        if kind < 0x80:
            return kind
        if kind >= 0xE0:
            return kind - 0x100
        if kind in CONSTANTS:
            return CONSTANTS[kind]
        if kind in NUMBERS:
            return number(NUMBERS[kind])
        if kind & 0xE0 == 0xA0 or kind in STRINGS:
            return take(number(STRINGS[kind]) if kind in STRINGS else kind & 0x1F)
        if kind & 0xF0 == 0x90 or kind in ARRAYS:
            size = number(ARRAYS[kind]) if kind in ARRAYS else kind & 0xF
            return [value() for _ in range(size)]
        raise ValueError(f"unexpected type 0x{kind:02x}")

    result = value()
    if position != len(data):
        raise ValueError("bytes behind the value")
    return result


class Task:
    """A task, by the attributes that bound each other: run, failures, done and open target."""

    def __init__(self, run=0, failures=0, done=False, target=None):
        self.run, self.failures, self.done, self.target = run, failures, done, target


class Gang:
    """Number of the runs of a step, if it is a gang, in which a member failed, and the last one."""

    def __init__(self, failures=0, last_failed=0):
        self.failures, self.last_failed = failures, last_failed
        self._failed = set()

    def fail(self, run):
        self._failed.add(run)
        self.failures, self.last_failed = len(self._failed), max(self._failed)


class JobState:
    def __init__(self, spec, phase=ACTIVE):
        self.steps = [(step[0], step[7]) for step in spec[4]]  # Count, whether a gang.
        self.gangs = {}  # By occurrence and step; those without a failed run may be missing.
        self.phase, self.ended_at = phase, None
        self.tasks = {}  # By occurrence, step and index; those without a run may be missing.
        self.dropped = set()  # Complete occurrences whose states a snapshot does not hold.
        self._left = max(1, spec[7])  # Occurrences that are not complete.

    @classmethod
    def unknown(cls, name):
        """A job of which only the id is known."""
        return cls([name, b"", b"", b"", [], 0, 0, 0])

    def is_only_cancelled(self):
        """Whether the cancellation was stored and the submission was not."""
        return self.phase == PHASE_CANCELLED and not self.steps

    def finish(self, phase):
        if self.phase == ACTIVE:
            self.phase, self.ended_at = phase, time.monotonic()

    def start(self, key, run, target):
        task = self.tasks.setdefault(key, Task())
        if run > task.run:
            task.run, task.target = run, target

    def end(self, key, run, outcome):
        task = self.tasks.get(key)
        if task is None or task.run != run or task.target is None:
            return
        task.target = None
        if outcome == RUN_FAILED:
            task.failures += 1
            if self.steps[key[1]][1]:
                self.gangs.setdefault(key[:2], Gang()).fail(run)
        if outcome != RUN_DONE:
            return
        complete = self._complete(key[0])
        occurrence, step, _ = key
        count, gang = self.steps[step]
        for index in range(count) if gang else [key[2]]:
            # One end of a gang ends all members of the same run.
            member = self.tasks.get((occurrence, step, index))
            if member is not None and member.run == run:
                member.done = True
        if not complete and self._complete(occurrence):
            self._left -= 1
            if self._left == 0:
                self.finish(COMPLETED)

    def _complete(self, occurrence):
        return all(
            (occurrence, step, index) in self.tasks and self.tasks[occurrence, step, index].done
            for step, (count, _) in enumerate(self.steps) for index in range(count)
        )


class Fold:
    """Jobs by id and epochs by target after a prefix of the journal."""

    def __init__(self):
        self.position = 0
        self.jobs = {}
        self.epochs = {}
        self.targets = {}  # Of each start that was stored, by job, task and run.
        self.use = None  # Time, and past use of each team.

    def apply(self, record):
        self.position += 1
        if record is None:
            return
        kind = record[0]
        if kind == SUBMITTED:
            known = self.jobs.setdefault(record[1][0], JobState(record[1]))
            if known.is_only_cancelled():
                known.steps = JobState(record[1]).steps
        elif kind == CANCELLED:
            self.jobs.setdefault(record[1], JobState.unknown(record[1])).finish(PHASE_CANCELLED)
        elif kind == ACQUIRED:
            self.epochs[record[1]] = max(record[2], self.epochs.get(record[1], 0))
        elif kind == TEAM_USE:
            self.use = record[1:]
        elif kind == ABANDONED and record[1] in self.jobs:
            self.jobs[record[1]].finish(FAILED)
        elif kind in (STARTED, ENDED) and record[1] in self.jobs:
            job, key, run = self.jobs[record[1]], tuple(record[2:5]), record[5]
            if kind == STARTED:
                self.targets.setdefault((record[1], key, run), record[6])
                job.start(key, run, record[6])
            else:
                job.end(key, run, record[6])


def task_rows(rows):
    """Yields index and row of the tasks of a step in a snapshot that have been started.

    Of large steps, a snapshot holds the reduced states, the index and row of others, and the
    checkpoint of a gang."""
    if not rows or not isinstance(rows[0], bytes):
        yield from enumerate(rows)
        return
    reduced, others, _ = rows
    for index, state in enumerate(reduced):
        if state:
            yield index, (state & (1 << RUN_BITS) - 1, state >> RUN_BITS, True, b"")
    yield from others


def read_snapshot(records):
    """Returns the jobs and epochs of the records of a snapshot."""
    fold = Fold()
    for record in records:
        if record[0] not in (SNAPSHOT, SNAPSHOT_WITH_DROPPED):
            fold.apply(record)
            continue
        spec, phase, _, _, occurrences, *dropped = record[1]
        job = fold.jobs[spec[0]] = JobState(spec, phase)
        for first, last in dropped[0] if dropped else []:
            job.dropped.update(range(first, last + 1))
        for occurrence, steps in occurrences:
            for number, step in enumerate(steps):
                # Elements from the third on are left out if all of them are empty.
                job.gangs[occurrence, number] = Gang(step[0], step[4] if len(step) > 4 else 0)
                for index, (run, failures, done, _, *opened) in task_rows(step[1]):
                    target = opened[0] if opened else None
                    job.tasks[occurrence, number, index] = Task(run, failures, done, target)
    return fold


def job_differences(name, before, job, now, targets):
    """Compares a job of a snapshot with its states at the snapshot's base and at its append.

    Yields what cannot be the state at any offset between them.
    """
    if job.phase not in (before.phase, now.phase):
        yield f"phase is {job.phase}, not from {before.phase} to {now.phase}"
    # Of an ended job without open runs, a snapshot holds the phase only.
    compact = job.phase != ACTIVE and not job.steps
    if not compact and job.steps != now.steps:
        yield f"steps are {job.steps}, not {now.steps}"
    for occurrence in sorted(job.dropped):
        for step, (count, _) in enumerate(job.steps):
            for index in range(count):
                task = now.tasks.get((occurrence, step, index), Task())
                if not task.done or task.target is not None:
                    yield f"{occurrence, step, index} is dropped, and not done or open"
    for key in sorted(before.gangs.keys() | job.gangs.keys()) if not compact else []:
        if key[0] in job.dropped:
            continue
        low, gang, high = (one.gangs.get(key, Gang()) for one in (before, job, now))
        for field in ("failures", "last_failed"):
            least, value, most = (getattr(one, field) for one in (low, gang, high))
            if not least <= value <= most:
                yield f"gang {key} {field} is {value}, not from {least} to {most}"
    for key in sorted(before.tasks.keys() | job.tasks.keys()):
        if key[0] in job.dropped:
            continue
        low, task, high = (one.tasks.get(key, Task()) for one in (before, job, now))
        if compact:
            if low.target is not None and (high.run, high.target) == (low.run, low.target):
                yield f"{key} run {low.run} is not open on {low.target.decode()}"
            continue
        for field in ("run", "failures", "done"):
            least, value, most = (getattr(one, field) for one in (low, task, high))
            if not least <= value <= most:
                yield f"{key} {field} is {value}, not from {least} to {most}"
        if task.target is None:
            if high.target is not None and task.run == high.run:
                yield f"{key} run {task.run} is not open on {high.target.decode()}"
        elif low.run == task.run and low.target is None:
            yield f"{key} run {task.run} is open on {task.target.decode()} and has ended"
        elif targets.get((name, key, task.run)) != task.target:
            yield f"{key} run {task.run} is open on {task.target.decode()}, which has no such start"


def use_differences(before, now):
    """Compares two records of the teams' use that follow each other, also of two owners.

    Yields what differs by more than the time between them explains: use decays, and grows by at most
    the whole cell."""
    (before_ms, before_teams), (now_ms, now_teams) = before, now
    passed_s = (now_ms - before_ms) / 1000
    old, new = dict(before_teams), dict(now_teams)
    for team in sorted(old.keys() | new.keys()):
        decayed = old.get(team, 0.0) * 0.5 ** (passed_s / USE_HALF_LIFE_S)
        least, most = decayed - USE_TOLERANCE, decayed + passed_s + USE_TOLERANCE
        if not least <= new.get(team, 0.0) <= most:
            yield (f"team {team.decode()} has used {new.get(team, 0.0):.4f}, not from "
                   f"{least:.4f} to {most:.4f}, {passed_s:.1f} s after {old.get(team, 0.0):.4f}")


class JournalModel:
    """Keeps the whole journal, and reports snapshots and trims that do not agree with it.

    Not synchronised: the store calls it under its lock."""

    def __init__(self, report):
        self._report = report
        self._records = []
        self._now = Fold()
        self._base = Fold()  # At the base of the newest snapshot.
        self._parts = {}  # Found parts of each snapshot, by base and writer.
        self._complete = []  # Base, and offset of the first record, of each complete snapshot.
        self.snapshots = 0  # Number of those that were compared.

    def append(self, records):
        """Adds records of the journal."""
        for data in records:
            try:
                record = decode(data)
            except ValueError as error:
                self._report(f"journal record {len(self._records)} cannot be decoded: {error}")
                record = None
            self._records.append(record)
            if record is not None and record[0] == TEAM_USE and self._now.use is not None:
                for difference in use_differences(self._now.use, record[1:]):
                    self._report(f"journal record {len(self._records) - 1}: {difference}")
            self._now.apply(record)

    def has_start(self, task, run, target):
        """Whether the start is stored; the task is JOB.OCCURRENCE.STEP.INDEX, as in orders."""
        job, *key = task.split(".")
        stored = self._now.targets.get((int(job, 16), tuple(map(int, key)), run))
        return stored == target.encode()

    def use(self):
        """Returns the time, and past use of each team, of the last record; None without one."""
        return self._now.use

    def append_snapshot(self, records, offset):
        """Adds records of the snapshot topic that one append has stored at the offset."""
        try:
            header, *content = [decode(data) for data in records]
            kind, base, count, part, parts, writer = header
        except (ValueError, TypeError) as error:
            self._report(f"part of a snapshot at {offset} cannot be decoded: {error}")
            return
        if kind != PART_HEADER or count != len(content):
            self._report(f"part of a snapshot at {offset} has the header {header}")
            return
        found = self._parts.setdefault((base, writer), {})
        if part == 0:
            found.clear()
        found[part] = (offset, content)
        if len(found) == parts:
            del self._parts[base, writer]
            self._complete.append((base, found[0][0]))
            self._compare(base, [one for number in sorted(found) for one in found[number][1]])

    def trimmed(self, journal_first, snapshot_first):
        """Checks, with the first offsets that are left, that a daemon can still read the state."""
        if journal_first > 0 and not any(
            base >= journal_first and offset >= snapshot_first for base, offset in self._complete
        ):
            self._report(f"journal before {journal_first} is deleted and in no complete snapshot")

    def _compare(self, base, records):
        self.snapshots += 1
        if base > len(self._records):
            self._report(f"snapshot of base {base}: the journal ends at {len(self._records)}")
            return
        if self._base.position > base:
            self._base = Fold()
        for record in self._records[self._base.position : base]:
            self._base.apply(record)
        snapshot = read_snapshot(records)
        uses = [one[1:] for one in self._records[base:] if one and one[0] == TEAM_USE]
        if snapshot.use not in [self._base.use, *uses]:
            self._report(f"snapshot of base {base}: use of teams {snapshot.use} is not stored")
        for name in sorted(snapshot.jobs.keys() | self._base.jobs.keys()):
            for difference in self._job_differences(name, snapshot):
                self._report(f"snapshot of base {base}: job {name:016x}: {difference}")
        for target in sorted(snapshot.epochs.keys() | self._base.epochs.keys()):
            least, epoch, most = (
                one.epochs.get(target, 0) for one in (self._base, snapshot, self._now)
            )
            if not least <= epoch <= most:
                self._report(
                    f"snapshot of base {base}: target {target.decode()} acquired in epoch {epoch}, "
                    f"not from {least} to {most}"
                )

    def _job_differences(self, name, snapshot):
        now = self._now.jobs.get(name)
        if now is None:
            yield "not in the journal"
        elif name in snapshot.jobs:
            before = self._base.jobs.get(name, JobState.unknown(name))
            yield from job_differences(
                name, before, snapshot.jobs[name], now, self._now.targets
            )
        elif now.ended_at is None or time.monotonic() - now.ended_at < STATUS_RETENTION_S:
            yield "missing"
