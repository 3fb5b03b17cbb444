#!/usr/bin/env python3
"""Clients outside the system's control must not end a process.

    hostile_clients.py [--programs BUILD-FOLDER] [--keep FOLDER] CASE...

Starts an entry, an agent and the stand-ins of review/lib/fleet.py on loopback
and sends a crowd of clients to one of their addresses. A case holds if the
process lives, stays within the memory and the descriptors of its machine, and
answers one ordinary request while the crowd's connections are still open.
Exit status: 0 the case held, 1 it did not, 2 it could not be played.
"""
import argparse
import asyncio
import json
import os
import select
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import fleet as standins  # noqa: E402
from fleet import BROKEN, HELD, NOT_RUN  # noqa: E402

# What the machines of entries and agents have: memory in MB, and descriptors
# apart from those that are reserved for files.
BOUNDS = {"entry-1": (260, 3900), "agent-1": (128, 3896)}
# A crowd on an entry or an agent whose bodies are larger than its memory.
ENTRY_CROWD, AGENT_CROWD = 1200, 600
BODY = 250_000
FAR_OVER = 5_000_000
ENDLESS = 1 << 40
LARGE_JOBS = 720
MANY_TASK_JOBS = 120
CROWD_S = 20.0
ATTEMPTS = 3


@dataclass
class Crowd:
    """Clients that all send `head` and then `unit` again and again, `total`
    bytes in all, and keep their connections open."""
    port: str
    count: int
    head: object            # Bytes, or a function of the client's number.
    unit: bytes = b"x"
    total: int = 0
    piece: int = 1 << 16    # Bytes in one send.
    interval_s: float = 0   # Between two sends of a client.
    reads: bool = True
    returns: int = 1        # How often a client that was cut off comes back.
    clients: dict = field(default_factory=dict)
    sent: int = 0
    cut: int = 0
    max_sent: int = 600_000_000


@dataclass
class Client:
    number: int
    returns: int
    connection: socket.socket = None
    head: bytes = b""
    position: int = 0
    due: float = 0


class CrowdThread(threading.Thread):
    """Sends one or several crowds until it is told to end."""

    def __init__(self, crowds, address_of):
        super().__init__(daemon=True)
        self.crowds, self.address_of = crowds, address_of
        self.poll = select.epoll()
        self.ending = threading.Event()
        self.settled = threading.Event()
        self.waiting = 0  # Clients that have more to send.

    def run(self):
        until = time.monotonic() + CROWD_S
        self.by_fd = {}
        for crowd in self.crowds:
            for number in range(crowd.count):
                self.open(crowd, Client(number, crowd.returns))
        while not self.ending.is_set():
            for fd, events in self.poll.poll(0.05):
                if fd in self.by_fd:
                    self.serve(*self.by_fd[fd], events)
            if self.crowds[0].interval_s:
                for crowd, client in list(self.by_fd.values()):
                    self.send(crowd, client)
            if self.waiting == 0 or time.monotonic() > until:
                self.settled.set()
        for _, client in self.by_fd.values():
            client.connection.close()

    def open(self, crowd, client):
        client.connection = socket.socket()
        client.connection.setblocking(False)
        client.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        if not crowd.reads:
            client.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                         4096)
        client.connection.connect_ex(self.address_of(crowd.port))
        client.head = crowd.head(client.number) if callable(crowd.head) \
            else crowd.head
        client.position = 0
        self.by_fd[client.connection.fileno()] = crowd, client
        self.waiting += 0 if self.is_done(crowd, client) else 1
        self.poll.register(client.connection, self.events(crowd, True))

    @staticmethod
    def events(crowd, sends):
        return ((select.EPOLLOUT if sends and not crowd.interval_s else 0)
                | (select.EPOLLIN if crowd.reads else 0) | select.EPOLLRDHUP)

    def serve(self, crowd, client, events):
        if events & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            return self.close(crowd, client)
        if events & select.EPOLLIN and not self.receive(crowd, client):
            return None
        if events & select.EPOLLOUT:
            self.send(crowd, client)

    def receive(self, crowd, client):
        try:
            if client.connection.recv(1 << 16):
                return True
        except BlockingIOError:
            return True
        except OSError:
            pass
        self.close(crowd, client)
        return False

    def is_done(self, crowd, client):
        return client.position >= len(client.head) + crowd.total

    def send(self, crowd, client):
        now = time.monotonic()
        if self.is_done(crowd, client) or now < client.due:
            return
        client.due = now + crowd.interval_s
        at = client.position - len(client.head)
        if at < 0:
            data = client.head[client.position:]
        else:
            start = at % len(crowd.unit)
            size = min(crowd.piece, crowd.total - at)
            data = memoryview(crowd.unit)[start:start + size]
        try:
            size = client.connection.send(data)
        except BlockingIOError:
            return
        except OSError:
            return self.close(crowd, client)
        client.position += size
        crowd.sent += size
        if self.is_done(crowd, client):
            self.waiting -= 1
            self.poll.modify(client.connection, self.events(crowd, False))
        if crowd.sent > crowd.max_sent:
            self.settled.set()

    def close(self, crowd, client):
        del self.by_fd[client.connection.fileno()]
        self.poll.unregister(client.connection)
        client.connection.close()
        crowd.cut += 1
        if not self.is_done(crowd, client):
            self.waiting -= 1
        if client.returns > 0:
            client.returns -= 1
            self.open(crowd, client)


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def peak_mb(pid):
    with open(f"/proc/{pid}/status") as f:
        for line in f:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise ProcessLookupError(pid)


class Watch:
    """Memory and descriptors of one process at their peak."""

    def __init__(self, deployment, name):
        self.name = name
        self.process = deployment.processes[name]
        self.memory_mb, self.descriptors = 0.0, 0

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.05)

    def look(self):
        try:
            self.memory_mb = max(self.memory_mb, peak_mb(self.process.pid))
            self.descriptors = max(self.descriptors,
                                   descriptors(self.process.pid))
        except (OSError, ProcessLookupError):
            pass

    def faults(self, deployment):
        memory_mb, max_descriptors = BOUNDS[self.name]
        self.look()
        found = []
        if (self.process.poll() is not None
                or deployment.processes[self.name] is not self.process):
            found.append(f"{self.name} has ended")
        if self.memory_mb > memory_mb:
            found.append(f"{self.name} used {self.memory_mb:.0f} MB, its "
                         f"machine has {memory_mb}")
        if self.descriptors > max_descriptors:
            found.append(f"{self.name} had {self.descriptors} descriptors, "
                         f"it may have {max_descriptors}")
        return found


class Deployment(standins.Fleet):
    def address_of(self, port):
        host = self.entry_host(1)
        return {"callers": (host, self.base + 1),
                "readiness": (host, self.base + 2),
                "entry metrics": (host, self.base + 4),
                "heartbeats": ("127.0.0.1", self.base + 21),
                "agent metrics": ("127.0.0.1", self.base + 31)}[port]

    async def submit(self, number):
        """Hands in one ordinary job, as a caller does that tries again."""
        job = f"{0xe00000000000 + number:016x}"
        content = standins.job({"ms": 300}, cpu=100, mem_mb=100, gpu=0)
        for _ in range(ATTEMPTS):
            status, _ = await self.call(1, "POST", f"/lohu930/{job}", content)
            if status == 200:
                return job
            await asyncio.sleep(1)
        return None

    async def heartbeat(self):
        for _ in range(ATTEMPTS):
            status, _ = await self.runners[1].send_report()
            if status == 200:
                return True
            await asyncio.sleep(1)
        return False

    async def ready(self):
        for _ in range(ATTEMPTS):
            if await self.is_ready(1):
                return True
            await asyncio.sleep(1)
        return False

    async def metrics(self, port):
        for _ in range(ATTEMPTS):
            status, _ = await standins.request(*self.address_of(port), "GET",
                                               "/metrics")
            if status == 200:
                return True
            await asyncio.sleep(1)
        return False

    async def unanswered(self, ports):
        """Which ordinary requests got no answer. Each case asks for a job."""
        found = []
        job = await self.submit(1)
        if job is None:
            found.append("an ordinary job was not accepted")
        if "heartbeats" in ports and not await self.heartbeat():
            found.append("a heartbeat was not accepted")
        if "readiness" in ports and not await self.ready():
            found.append("readiness was not answered")
        for port in ports:
            if port.endswith("metrics") and not await self.metrics(port):
                found.append(f"{port} were not answered")
        if job and ports & {"heartbeats", "agent metrics"}:
            try:
                await self.until(lambda: any(
                    run.task.startswith(job + ".") for run in self.runs), 10,
                    "the job runs")
            except RuntimeError:
                found.append("the job did not run")
        return found


async def send_crowd(deployment, *crowds):
    """Returns what did not hold."""
    ports = {crowd.port for crowd in crowds}
    watches = [Watch(deployment, name) for name in BOUNDS]
    tasks = [asyncio.ensure_future(watch.run()) for watch in watches]
    thread = CrowdThread(crowds, deployment.address_of)
    thread.start()
    try:
        end = time.monotonic() + CROWD_S + 5
        while not thread.settled.is_set() and time.monotonic() < end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)  # What has been sent is read.
        found = await deployment.unanswered(ports)
    finally:
        thread.ending.set()
        for task in tasks:
            task.cancel()
    for crowd in crowds:
        deployment.record(f"crowd: {crowd.count} clients at {crowd.port} sent "
                          f"{crowd.sent / 1e6:.0f} MB, {crowd.cut} "
                          "connections were cut off")
    for watch in watches:
        found = watch.faults(deployment) + found
        deployment.record(f"{watch.name}: {watch.memory_mb:.0f} MB, "
                          f"{watch.descriptors} descriptors")
    thread.join(5)
    return found


def head(method, path, *headers):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: nony24.example",
                        "Api-Key: key-1", "X-Deadline-Ms: 3000", *headers,
                        "", ""]).encode()


def post(*headers, path="/lohu930/0000d00000000001"):
    return head("POST", path, *headers)


def announced(size, path="/lohu930/0000d00000000001"):
    return post(f"Content-Length: {size}", path=path)


def chunked(path="/lohu930/0000d00000000001"):
    return post("Transfer-Encoding: chunked", path=path)


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


FILL = b"x" * 65536
CHUNKS_64K, CHUNKS_8 = chunk(65536), chunk(8) * 4096


def chunk_bytes(size, body):
    """Bytes on the wire of `body` bytes in chunks of `size`."""
    return body // size * len(chunk(size))


# -- callers -------------------------------------------------------------------

async def bodies_that_stop_short_of_their_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", ENTRY_CROWD, announced(BODY), FILL, BODY - 1))


async def bodies_in_pieces_that_stop_short_of_their_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", ENTRY_CROWD, announced(BODY), FILL, BODY - 1, piece=9000,
        interval_s=0.1))


async def large_chunks_that_stop_short_of_their_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", 1500, chunked(), CHUNKS_64K, chunk_bytes(65536, 196_608)))


async def very_small_chunks_that_stop_short_of_their_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", 1500, chunked(), CHUNKS_8, chunk_bytes(8, 200_000)))


async def announced_bodies_far_over_the_limit(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", ENTRY_CROWD, announced(FAR_OVER), FILL, FAR_OVER - 1))


async def chunks_without_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", ENTRY_CROWD, chunked(), CHUNKS_64K, ENDLESS))


async def bodies_that_go_on_past_their_announced_length(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", ENTRY_CROWD, announced(BODY), FILL, ENDLESS))


async def headers_that_never_end(deployment):
    return await send_crowd(deployment, Crowd(
        "callers", 1800, head("GET", "/lohu930/")[:-2],
        b"X-Fill: " + b"x" * 190 + b"\r\n", 12_000, piece=200, interval_s=0.3))


async def silent_connections(deployment):
    return await send_crowd(deployment, Crowd("callers", 2100, b""))


async def responses_that_nobody_reads(deployment):
    return await send_crowd(deployment, Crowd(
        "entry metrics", 1500, b"", head("GET", "/metrics") * 50, 200_000,
        reads=False))


def large_job(number):
    """The path and the body of a legal job near the limit of a body."""
    content = standins.job({"ms": 300}, cpu=100, mem_mb=100, gpu=0,
                           required_label="x" * (BODY - 1000))
    return (f"/lohu930/{0xd00000000000 + number:016x}",
            json.dumps(content).encode())


async def requests_that_wait_for_the_store(deployment):

    def request(number):
        path, body = large_job(number)
        return announced(len(body), path) + body

    deployment.store.trouble = lambda method, path, body: "drop"
    restored = asyncio.get_running_loop().call_later(
        8, lambda: setattr(deployment.store, "trouble", None))
    try:
        return await send_crowd(deployment, Crowd("callers", 1000, request,
                                                  returns=0))
    finally:
        restored.cancel()


async def large_jobs_that_are_accepted(deployment):
    """A few callers hand in one large job after the other."""
    watch = Watch(deployment, "entry-1")
    answers = {}

    async def hand_in(numbers):
        for number in numbers:
            path, body = large_job(number)
            status, _ = await deployment.call(1, "POST", path, body)
            answers[status] = answers.get(status, 0) + 1

    await asyncio.gather(*(hand_in(range(n, LARGE_JOBS, 8))
                           for n in range(8)))
    found = await deployment.unanswered(set())
    found = watch.faults(deployment) + found
    deployment.record(f"answers {answers}, entry-1: {watch.memory_mb:.0f} MB")
    return found


async def jobs_of_many_tasks_that_are_accepted(deployment):
    """Small bodies whose jobs have the largest number of tasks."""
    watch = Watch(deployment, "entry-1")
    content = standins.job({"ms": 300}, count=8000, cpu=100, mem_mb=100,
                           gpu=0, required_label="none")
    answers = {}
    for number in range(MANY_TASK_JOBS):
        path = f"/lohu930/{0xd00000000000 + number:016x}"
        status, _ = await deployment.call(1, "POST", path, content)
        answers[status] = answers.get(status, 0) + 1
    await asyncio.sleep(3)  # The owner has them all.
    found = await deployment.unanswered(set())
    found = watch.faults(deployment) + found
    deployment.record(f"answers {answers}, entry-1: {watch.memory_mb:.0f} MB")
    return found


# -- the other addresses -------------------------------------------------------

HEARTBEAT = "/api/instances/i-00000001"


async def heartbeats_that_stop_short_of_their_end(deployment):
    return await send_crowd(deployment, Crowd(
        "heartbeats", AGENT_CROWD, announced(BODY, HEARTBEAT), FILL, BODY - 1))


async def heartbeats_in_very_small_chunks(deployment):
    return await send_crowd(deployment, Crowd(
        "heartbeats", 700, chunked(HEARTBEAT), CHUNKS_8,
        chunk_bytes(8, 200_000)))


async def silent_connections_at_the_heartbeat_address(deployment):
    return await send_crowd(deployment, Crowd("heartbeats", 2100, b""))


async def bodies_at_the_metrics_address_of_an_agent(deployment):
    return await send_crowd(deployment, Crowd(
        "agent metrics", AGENT_CROWD, announced(BODY, "/metrics"), FILL,
        BODY - 1))


async def bodies_at_the_readiness_address(deployment):
    return await send_crowd(deployment, Crowd(
        "readiness", ENTRY_CROWD, announced(BODY, "/api/readyz"), FILL,
        BODY - 1))


async def bodies_at_all_addresses_of_an_entry(deployment):
    return await send_crowd(deployment, *(
        Crowd(port, 400, announced(BODY), FILL, BODY - 1)
        for port in ("callers", "readiness", "entry metrics")))


async def connections_at_all_addresses_of_an_entry(deployment):
    return await send_crowd(deployment, *(
        Crowd(port, 1400, b"")
        for port in ("callers", "readiness", "entry metrics")))


CASES = {case.__name__: case for case in (
    bodies_that_stop_short_of_their_end,
    bodies_in_pieces_that_stop_short_of_their_end,
    large_chunks_that_stop_short_of_their_end,
    very_small_chunks_that_stop_short_of_their_end,
    announced_bodies_far_over_the_limit, chunks_without_end,
    bodies_that_go_on_past_their_announced_length, headers_that_never_end,
    silent_connections, responses_that_nobody_reads,
    requests_that_wait_for_the_store, large_jobs_that_are_accepted,
    jobs_of_many_tasks_that_are_accepted,
    heartbeats_that_stop_short_of_their_end,
    heartbeats_in_very_small_chunks,
    silent_connections_at_the_heartbeat_address,
    bodies_at_the_metrics_address_of_an_agent,
    bodies_at_the_readiness_address, bodies_at_all_addresses_of_an_entry,
    connections_at_all_addresses_of_an_entry)}


def play(name, keep=None):
    """Returns the exit status of one case."""
    folder = tempfile.mkdtemp(prefix="celerylift-clients-")

    async def main():
        deployment = Deployment(folder, entries=1, runners=1)
        work = asyncio.ensure_future(asyncio.wait_for(run(deployment), 80))
        for what in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(what, work.cancel)
        try:
            found = await work
            if deployment.fault:
                raise deployment.fault
        except (Exception, asyncio.CancelledError) as e:
            deployment.record(f"the case could not run: {e!r}")
            return NOT_RUN
        finally:
            for process in BOUNDS:
                log = f"{deployment.work}/{process}.log"
                if os.path.exists(log):
                    shutil.copy(log, folder)
            deployment.end()
        deployment.record(f"{name}: " + ("; ".join(found) or "held"))
        return BROKEN if found else HELD

    async def run(deployment):
        await deployment.start(standins.config())
        return await CASES[name](deployment)

    try:
        return asyncio.run(main())
    finally:
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--programs", default=os.path.join(ROOT, "target"))
    parser.add_argument("--keep", help="keeps records and logs in this folder")
    parser.add_argument("cases", nargs="+", metavar="CASE", choices=CASES,
                        help=", ".join(CASES))
    options = parser.parse_args()
    for name in ("ENTRY", "AGENT"):
        path = os.path.join(os.path.abspath(options.programs),
                            getattr(standins, name).removeprefix("target/"))
        setattr(standins, name, path)
        if not os.access(path, os.X_OK):
            print(f"not run: {path} is not built", file=sys.stderr)
            return NOT_RUN
    results = []
    for name in options.cases:
        keep = os.path.join(options.keep, name) if options.keep else None
        results.append(play(name, keep))
    return BROKEN if BROKEN in results else max(results)


if __name__ == "__main__":
    sys.exit(main())
