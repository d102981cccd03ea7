"""Stand-in for the platform's store: append-only logs, one per topic, with a single partition."""

import base64
import json
import random
import struct
import threading
import time

from http_service import HttpService, NoAnswer, json_answer
from journal_model import JournalModel

# Answers kept per producer for repeated appends.
KEPT_APPEND_ANSWERS = 5
# Range of the time after which a late append is executed.
LATE_S = (1, 6)


class Topic:
    def __init__(self):
        self.first = 0
        self.records = []
        self.producers = {}

    @property
    def end(self):
        return self.first + len(self.records)


class Producer:
    def __init__(self):
        self.epoch = 0
        self.sequence = 0
        self.answers = {}


class Store:
    """Keeps every acknowledged record. Faults are attributes set by the test.

    The model gets the whole journal, each snapshot and each trim, and reports differences."""

    def __init__(self, port, seed, report):
        self.down = False  # Every call is rejected with 503 and has no effect.
        self.journal_down = False  # Appends to the journal are rejected with 503.
        self.delay_s = 0.0  # Before each answer.
        self.loss_probability = 0.0  # Of the answer to an append that was carried out.
        self.late_probability = 0.0  # Of an append, which gets no answer and is executed later.
        self._random = random.Random(seed)
        self._lock = threading.Condition()
        self._topics = {}
        self._model = JournalModel(report)
        self._closed = threading.Event()
        self._service = HttpService(port, self._serve)

    def close(self):
        self._closed.set()
        self._service.close()

    def put(self, topic, key, value):
        """Appends a record of the operator or of a target; not subject to faults."""
        name = key.encode()
        with self._lock:
            self._topic(topic).records.append(bytes([len(name)]) + name + (value or b""))
            self._lock.notify_all()

    def has_start(self, task, run, target):
        """Whether the journal holds the record of the start, also if it was deleted since."""
        with self._lock:
            return self._model.has_start(task, run, target)

    def use(self):
        """Returns the last record of the teams' use: its time in ms, and the use of each team."""
        with self._lock:
            return self._model.use()

    def snapshots(self):
        """Returns the number of snapshots that were compared with the journal."""
        return self._model.snapshots

    def _topic(self, name):
        return self._topics.setdefault(name, Topic())

    def _serve(self, method, path, query, body):
        if self.down:
            return json_answer(503)
        if self.journal_down and path == "/log-append" and query.get("topic") == "journal":
            return json_answer(503)
        time.sleep(self.delay_s)
        if path == "/log-append":
            if self.late_probability and self._random.random() < self.late_probability:
                if not self._closed.wait(self._random.uniform(*LATE_S)):
                    self._append(query, body)
                raise NoAnswer()
            status, answer = self._append(query, body)
            if status == 200 and self._random.random() < self.loss_probability:
                raise NoAnswer()
            return status, answer
        if path == "/log-read":
            return self._read(query)
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-trim":
            return self._trim(body)
        return json_answer(404)

    def _append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self._lock:
            topic = self._topic(query["topic"])
            # `timestamp` on the wire is the offset at which the partition must end.
            if "timestamp" in query and int(query["timestamp"]) != topic.end:
                return json_answer(412, end=topic.end)
            producer = None
            if "producer" in query:
                producer = topic.producers.setdefault(query["producer"], Producer())
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < producer.epoch:
                    return json_answer(409, reason="fenced", end=topic.end)
                if sequence in producer.answers:
                    return producer.answers[sequence]
                follows = producer.sequence == 0 or sequence == producer.sequence + 1
                if epoch == producer.epoch and not follows:
                    return json_answer(
                        409, reason="seq", expected=producer.sequence + 1, end=topic.end
                    )
                producer.epoch, producer.sequence = epoch, sequence
            offset = topic.end
            topic.records += records
            if query["topic"] == "journal":
                self._model.append(records)
            elif query["topic"] == "snapshot" and records:
                self._model.append_snapshot(records, offset)
            answer = json_answer(200, offset=offset, end=topic.end)
            if producer is not None and records:
                producer.answers[sequence] = answer
                while len(producer.answers) > KEPT_APPEND_ANSWERS:
                    del producer.answers[min(producer.answers)]
            self._lock.notify_all()
            return answer

    def _read(self, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._lock:
            topic = self._topic(query["topic"])
            while topic.end <= start and time.monotonic() < until and not self.down:
                self._lock.wait(until - time.monotonic())
            if start < topic.first:
                return json_answer(410, first=topic.first)
            body = struct.pack(">QQ", topic.end, topic.first)
            for record in topic.records[start - topic.first :]:
                body += struct.pack(">I", len(record)) + record
            return 200, body

    def _newest(self, query):
        with self._lock:
            topic = self._topic(query["topic"])
            newest = {}
            for offset, record in enumerate(topic.records, topic.first):
                key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
                newest[key] = (value, offset)
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value and key.decode() > query.get("after", "")
            ]
            return json_answer(200, items=items, has_more=False, end=topic.end)

    def _trim(self, body):
        fields = json.loads(body)
        with self._lock:
            topic = self._topic(fields["topic"])
            before = min(int(fields["before"]), topic.end)
            if before > topic.first:
                del topic.records[: before - topic.first]
                topic.first = before
                self._model.trimmed(self._topic("journal").first, self._topic("snapshot").first)
            return json_answer(200)
