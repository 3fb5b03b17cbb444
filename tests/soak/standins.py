"""The store, the links and the callers, which can be disturbed."""
import asyncio
import bisect
import json
import os
import random
import re
import socket
import struct
import sys
from collections import defaultdict
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
import fleet
from fleet import now_ms, read_message
from plan import NOT_SENT

HANG, RESET = object(), object()    # Answers of a stand-in.
ORDERS = ("/api/kv-txn", "/api/run-start", "/api/run-stop", "/api/hold")
TRAPS = ("/api/kv-txn", "/api/run-start")


class Port:
    """An HTTP server that can be disturbed. `handle` carries a call out."""

    def __init__(self, soak, port, handle, late_s):
        self.soak, self.port, self.handle = soak, port, handle
        self.late_s = late_s    # How late calls are carried out.
        self.writers = set()
        self.troubles = []      # (kind, share of the calls)
        self.refusing = 0
        self.gone = False
        self.trap = None

    async def open(self):
        self.server = await asyncio.start_server(
            self.connection, self.soak.host, self.port, backlog=256)
        return self

    def close(self):
        self.gone = True
        self.shut()

    def shut(self):
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def refuse(self, seconds):
        self.refusing += 1
        self.shut()
        await asyncio.sleep(seconds)
        self.refusing -= 1
        if self.refusing == 0 and not self.gone:
            await self.open()

    def is_silent(self):
        return any(kind == "silent" for kind, _ in self.troubles)

    async def serve(self, message):
        (method, target, _), headers, body = message
        url = urlsplit(target)
        path = unquote(url.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        call = method, path, query, headers, body
        kinds = {kind for kind, share in self.troubles
                 if random.random() < share}
        if "silent" in kinds:
            return HANG
        if "busy" in kinds:
            return random.choice([503, 429]), {}
        if "late" in kinds and path in ORDERS:
            after = random.uniform(*self.late_s)
            self.note(f"carried out {after:.1f} s late", path, body)
            self.soak.later(after, self.handle, *call)
            return HANG
        answer = await self.handle(*call)
        if self.trap and path in TRAPS and not self.trap.done():
            self.trap.set_result(self)
        if self.trap and self.trap.done() and (
                path in TRAPS or self.trap.result() is self):
            kinds.add("lose")
        if "lose" in kinds or self.is_silent():
            self.note("not answered", path, body)
            return HANG
        return answer

    def note(self, what, path, body):
        if path in TRAPS:
            self.soak.record(f"port {self.port}: {path} {what}: "
                             f"{body[:90]!r} .. {body[-70:]!r}")

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self.serve(message)
                if answer is HANG:
                    await reader.read()
                    break
                if answer is RESET:
                    abort(writer)
                    break
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: "
                             "application/json\r\nContent-Length: "
                             f"{len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def abort(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


async def first_to_carry_out(ports):
    """Waits for an order. It and those of the next moment are carried out and
    not answered. Returns the port that got the first, if any."""
    trap = asyncio.get_running_loop().create_future()
    for port in ports:
        port.trap = trap
    await asyncio.wait([trap], timeout=2)
    await asyncio.sleep(0.4 if trap.done() else 0)
    for port in ports:
        port.trap = None
    return trap.result() if trap.done() else None


class Store(fleet.Store):
    """A store whose leases can pause."""
    paused = 0

    def expire(self):
        if not self.paused:
            super().expire()

    async def pause_leases(self, seconds):
        self.paused += 1
        await asyncio.sleep(seconds)
        self.paused -= 1
        for lease in self.leases.values():
            lease[1] += seconds * 1000

    async def watch(self, query):
        after, until = int(query["after"]), now_ms() + int(query["wait_ms"])
        while True:
            start = bisect.bisect_right(self.events, after, key=lambda e: e[0])
            found = [event for _, event in self.events[start:]
                     if event["key"].startswith(query["prefix"])]
            if found or now_ms() >= until:
                return 200, {"events": found, "as_of": self.rev}
            after = self.rev
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass


class Link:
    """The path from one agent to one entry; it can be cut."""

    def __init__(self, soak, entry, agent):
        self.soak, self.entry, self.agent = soak, entry, agent
        self.cuts = 0
        self.mended = asyncio.Event()
        self.mended.set()
        # The agent finds the other entries through its links, too.
        self.announced = re.compile(
            rb"127\.0\.%d\.1(\d):%d" % (soak.slot, soak.base + 3))
        self.shown = rb"127.0.%d.2\1:%d" % (soak.slot, soak.link_port(agent))

    async def open(self):
        await asyncio.start_server(self.connect, self.soak.link_host(
            self.entry), self.soak.link_port(self.agent))
        return self

    async def cut(self, seconds):
        self.cuts += 1
        self.mended.clear()
        await asyncio.sleep(seconds)
        self.cuts -= 1
        if self.cuts == 0:
            self.mended.set()

    async def pass_bytes(self, reader, writer, rewrite):
        try:
            while data := await reader.read(65536):
                await self.mended.wait()
                writer.write(rewrite(data))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def connect(self, reader, writer):
        await self.mended.wait()
        try:
            entry_reader, entry_writer = await asyncio.open_connection(
                self.soak.entry_host(self.entry), self.soak.base + 3)
        except OSError:
            return writer.close()
        await asyncio.gather(
            self.pass_bytes(reader, entry_writer, bytes),
            self.pass_bytes(entry_reader, writer,
                            lambda b: self.announced.sub(self.shown, b)))


class Caller:
    """A client that uses its open connections until they are closed."""

    def __init__(self, soak):
        self.soak = soak
        self.idle = defaultdict(list)

    async def channel(self, entry):
        while self.idle[entry]:
            reader, writer = self.idle[entry].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.wait_for(asyncio.open_connection(
            self.soak.entry_host(entry), self.soak.base + 1), 1)

    async def call(self, entry, method, path, body=b"", patience=3.0):
        """Returns the status, None without a whole answer, the advised wait
        in seconds and the body."""
        try:
            reader, writer = await self.channel(entry)
        except (OSError, asyncio.TimeoutError):
            return NOT_SENT, 0, b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: nony24.example\r\n"
                f"Api-Key: key-1\r\nX-Deadline-Ms: {int(patience * 1000)}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        try:
            writer.write(head.encode() + body)
            message = await asyncio.wait_for(read_message(reader), patience)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            message = None
        if message is None or len(message[0]) < 2:
            writer.close()
            return None, 0, b""
        first, headers, data = message
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle[entry].append((reader, writer))
        return int(first[1]), float(headers.get("retry-after", 0)), data

    async def submit_once(self, job, entry, patience):
        body = json.dumps({"spec": job.spec, "steps": job.steps}).encode()
        sent = now_ms()
        status, wait, data = await self.call(
            entry, "POST", job.queue + job.id, body, patience)
        job.tries.append((sent, entry, status, now_ms()))
        self.soak.record(f"caller: job {job.id} sent {sent} to entry-{entry} "
                         f"-> {status} {data[:90]!r} wait {wait}")
        return status, wait

    async def submit(self, job):
        entry, left, patience = job.entry, job.max_tries, job.patience
        for _ in range(2 * job.max_tries):
            status, wait = await self.submit_once(job, entry, patience)
            left -= status != NOT_SENT
            if left == 0 or status not in (None, NOT_SENT, 429, 502, 503, 504):
                break
            await asyncio.sleep(min(wait, 4) or 0.1)
            entry, patience = entry % self.soak.entry_count + 1, 3.0
        if job.accepted() and job.repeat_after:
            await asyncio.sleep(job.repeat_after)
            await self.submit_once(job, entry % self.soak.entry_count + 1, 3.0)
        job.over = True

    async def ask(self, job, entry):
        status, _, data = await self.call(entry, "GET", job.queue + job.id)
        if status == 200:
            job.state = json.loads(data).get("state", "")
        elif status == 410:
            job.state = "unknown"
