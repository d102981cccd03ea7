"""Stand-in for the platform's store, as the users' PROTOCOL.md describes it. Each daemon gets an
address of its own, so that the store can refuse some of them."""

import base64
import json
import struct
import threading
import time

from httpd import HttpServer, Reset, Silence

KEPT_ANSWERS = 5


def answer(status, **fields):
    return status, json.dumps(fields).encode()


class Topic:
    def __init__(self):
        self.first, self.records, self.producers = 0, [], {}
        self.times = []  # When each record was stored.

    def add(self, records):
        self.records += records
        self.times += [time.monotonic()] * len(records)

    def drop(self, count):
        del self.records[:count], self.times[:count]
        self.first += count

    def expire(self, keep_s):
        oldest, count = time.monotonic() - keep_s, 0
        while count < len(self.times) and self.times[count] < oldest:
            count += 1
        if count:
            self.drop(count)

    @property
    def end(self):
        return self.first + len(self.records)


class Producer:
    def __init__(self):
        self.epoch, self.sequence, self.answers = 0, None, {}


class Port:
    """The store as one daemon sees it. mode: '' (serves), 'silent', 'busy' (503) or 'reset'."""

    def __init__(self, store):
        self.mode, self.delay_s, self._store = "", 0.0, store
        self._server = HttpServer(self._serve)
        self.address = self._server.address

    def _check(self):
        if self.mode == "silent":
            raise Silence()
        if self.mode == "reset":
            raise Reset()
        return self.mode == "busy"

    def _serve(self, request):
        if self._check():
            return answer(503)
        if self.delay_s:
            time.sleep(self.delay_s)
        result = self._store.serve(request, self)
        if self._check():
            return answer(503)
        return result


class Store:
    RECORD_BYTES, CALL_BYTES = 262144, 2097152

    def __init__(self, keep_s=300):
        self._keep_s = keep_s  # Of the topics without keys; those with keys are kept whole.
        self._lock = threading.Condition()
        self._topics = {}
        self.down_topics = set()  # Their partitions reject every call with 503.
        self.on_append = None  # Called with topic, offset and records of each stored append.
        self.refused = []  # Appends that were rejected because of their size: topic, bytes.

    def port(self):
        return Port(self)

    def put(self, topic, key, value):
        """Stores a record of the operator or of a worker; no value removes the key."""
        data = json.dumps(value).encode() if value is not None else b""
        with self._lock:
            name = key.encode()
            self._topic(topic).add([bytes([len(name)]) + name + data])
            self._lock.notify_all()

    def end(self, topic):
        with self._lock:
            return self._topic(topic).end

    def first(self, topic):
        with self._lock:
            return self._topic(topic).first

    def _topic(self, name):
        topic = self._topics.setdefault(name, Topic())
        if not name.startswith("keyed."):
            topic.expire(self._keep_s)
        return topic

    def serve(self, request, port):
        query = request.query
        if query.get("topic") in self.down_topics:
            return answer(503)
        if request.path == "/log-append":
            return self._append(query, request.body)
        if request.path == "/log-read":
            return self._read(query, port)
        if request.path == "/log-newest":
            return self._newest(query)
        if request.path == "/log-trim":
            fields = json.loads(request.body)
            with self._lock:
                topic = self._topic(fields["topic"])
                before = min(int(fields["before"]), topic.end)
                if before > topic.first:
                    topic.drop(before - topic.first)
            return answer(200)
        return answer(404)

    def _append(self, query, body):
        name = query["topic"]
        records, at, total = [], 0, 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4: at + 4 + length])
            at += 4 + length
            total += length
        if total > self.CALL_BYTES or any(len(one) > self.RECORD_BYTES for one in records):
            self.refused.append((name, total))
            return answer(400, error="too large")
        with self._lock:
            topic = self._topic(name)
            if "timestamp" in query and int(query["timestamp"]) != topic.end:
                return answer(412, end=topic.end)
            producer = None
            if "producer" in query:
                producer = topic.producers.setdefault(query["producer"], Producer())
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < producer.epoch:
                    return answer(409, reason="fenced", end=topic.end)
                if sequence in producer.answers:
                    return producer.answers[sequence]
                if (epoch == producer.epoch and producer.sequence is not None
                        and sequence != producer.sequence + 1):
                    return answer(409, reason="seq", expected=producer.sequence + 1, end=topic.end)
                producer.epoch, producer.sequence = epoch, sequence
            offset = topic.end
            topic.add(records)
            result = answer(200, offset=offset, end=topic.end)
            if producer is not None and records:
                producer.answers[sequence] = result
                while len(producer.answers) > KEPT_ANSWERS:
                    del producer.answers[min(producer.answers)]
            self._lock.notify_all()
        if self.on_append is not None:
            self.on_append(name, offset, records)
        return result

    def _read(self, query, port):
        start = int(query["from"])
        most = int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._lock:
            topic = self._topic(query["topic"])
            while topic.end <= start and time.monotonic() < until and not port.mode:
                self._lock.wait(min(until - time.monotonic(), 0.1))
            if start < topic.first:
                return answer(410, first=topic.first)
            parts, size = [struct.pack(">QQ", topic.end, topic.first)], 0
            for at in range(start - topic.first, len(topic.records)):
                record = topic.records[at]
                if size and size + len(record) > most:
                    break
                parts += [struct.pack(">I", len(record)), record]
                size += len(record) + 4
            return 200, b"".join(parts)

    def _newest(self, query):
        with self._lock:
            topic = self._topic(query["topic"])
            newest = {}
            for offset, record in enumerate(topic.records, topic.first):
                newest[record[1: 1 + record[0]].decode()] = (record[1 + record[0]:], offset)
            end = topic.end
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(newest.items())
                 if value and key > query.get("after", "")]
        return answer(200, items=items, has_more=False, end=end)
