"""Stand-in of the platform's store: an append-only log of topics with one partition each."""

import base64
import json
import random
import struct
import threading
import time

from http_service import HttpService, NoAnswer, to_json

REMEMBERED_APPENDS = 5


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
    """Loses nothing that it has acknowledged. Faults are attributes that a test sets."""

    def __init__(self, port, seed):
        self.down = False  # Every call is answered with 503 and not carried out.
        self.delay_s = 0.0  # Before each answer.
        self.lose_share = 0.0  # Appends that are carried out and not answered.
        self._random = random.Random(seed)
        self._lock = threading.Condition()
        self._topics = {}
        self._service = HttpService(port, self._serve)

    def close(self):
        self._service.close()

    def put(self, topic, key, value):
        """A record of the operator or of a target; never subject to faults."""
        name = key.encode()
        with self._lock:
            self._topic(topic).records.append(bytes([len(name)]) + name + (value or b""))
            self._lock.notify_all()

    def _topic(self, name):
        return self._topics.setdefault(name, Topic())

    def _serve(self, method, path, query, body):
        if self.down:
            return to_json(503)
        time.sleep(self.delay_s)
        if path == "/log-append":
            status, answer = self._append(query, body)
            if status == 200 and self._random.random() < self.lose_share:
                raise NoAnswer()
            return status, answer
        if path == "/log-read":
            return self._read(query)
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-trim":
            return self._trim(body)
        return to_json(404)

    def _append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self._lock:
            topic = self._topic(query["topic"])
            if "timestamp" in query and int(query["timestamp"]) != topic.end:
                return to_json(412, end=topic.end)
            producer = None
            if "producer" in query:
                producer = topic.producers.setdefault(query["producer"], Producer())
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < producer.epoch:
                    return to_json(409, reason="fenced", end=topic.end)
                if sequence in producer.answers:
                    return producer.answers[sequence]
                follows = producer.sequence == 0 or sequence == producer.sequence + 1
                if epoch == producer.epoch and not follows:
                    return to_json(
                        409, reason="seq", expected=producer.sequence + 1, end=topic.end
                    )
                producer.epoch, producer.sequence = epoch, sequence
            offset = topic.end
            topic.records += records
            answer = to_json(200, offset=offset, end=topic.end)
            if producer is not None and records:
                producer.answers[sequence] = answer
                while len(producer.answers) > REMEMBERED_APPENDS:
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
                return to_json(410, first=topic.first)
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
            return to_json(200, items=items, has_more=False, end=topic.end)

    def _trim(self, body):
        fields = json.loads(body)
        with self._lock:
            topic = self._topic(fields["topic"])
            before = min(int(fields["before"]), topic.end)
            if before > topic.first:
                del topic.records[: before - topic.first]
                topic.first = before
            return to_json(200)
