#!/usr/bin/env python3
"""REFUSED: a job must never run if each attempt to submit it was rejected.

    refused_jobs.py [--programs BUILD-FOLDER] [--keep FOLDER] [CASE...]

Starts entries and agents as processes on loopback, with the stand-ins of
review/lib/fleet.py, and disturbs the store or an entry while submissions are
being written. Without CASE it plays store_ends and entry_stops.
Exit status: 0 the rule held, 1 it was broken, 2 the case could not be played.
"""
import argparse
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import fleet as standins  # noqa: E402
from fleet import BROKEN, HELD, NOT_RUN, now_ms  # noqa: E402

DEADLINE_MS = 3000
OUTAGE_S = 4.0
# Submissions that reach the store within this time have their writes done.
WRITE_WINDOW_S = 0.03
# Until a job that is in the store has been started.
START_S = 6.0
# When callers submit jobs to an entry, after its SIGTERM. It ends 3.5 to 5.3 s
# after the signal.
SENT_AFTER_TERM_S = [3.2 + 0.1 * n for n in range(21)]
CALLERS_AT_ONCE = 10
# Each entry is stopped this often. Which requests still get a response from a
# server that stops is up to the order of its threads.
STOPS = 2
STOP_INTERVAL_S = 8.0


class StoreEndpoint:
    """The store's address for one entry. It can be closed: connections are
    refused, and idle ones end."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.server = None
        self.connections = {}   # writer -> whether a call is open

    async def open(self):
        self.server = await asyncio.start_server(
            self.connect, "127.0.0.1", self.deployment.store_port(self.number),
            backlog=256)

    def close(self, open_calls=True):
        """Where `open_calls` is false, calls that are open are carried out to
        their end, and their connections end without an answer."""
        if self.server:
            self.server.close()
            self.server = None
        for writer, has_call in list(self.connections.items()):
            if open_calls or not has_call:
                self.reset(writer)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
        writer.transport.abort()

    async def connect(self, reader, writer):
        self.connections[writer] = False
        try:
            while True:
                message = await standins.read_message(reader)
                if message is None:
                    break
                (method, target, _), _, body = message
                url = standins.urlsplit(target)
                query = {k: v[0] for k, v in
                         standins.parse_qs(url.query).items()}
                self.connections[writer] = True
                answer = await self.deployment.serve_store(
                    self, method, url.path, query, body)
                if self.server is None:
                    self.reset(writer)
                    break
                if answer is None:
                    await asyncio.sleep(30)
                    break
                if answer == "reset":
                    self.reset(writer)
                    break
                self.connections[writer] = False
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.connections[writer]
            writer.close()


class Deployment(standins.Fleet):
    """A fleet whose entries reach the store through a endpoint each."""

    def __init__(self, folder, **settings):
        super().__init__(folder, **settings)
        self.endpoints = {n: StoreEndpoint(self, n)
                      for n in range(1, self.entry_count + 1)}
        self.rejects_calls = False  # The store answers 503.
        self.on_submission = None   # Handles the write of a submission.
        self.written = {}           # Job -> when its submission was stored.
        self.next_job = 0
        self.answers = {}           # Job -> the answers to its attempts.

    def store_port(self, number):
        return self.base + 4 + number

    def write_settings(self):
        super().write_settings()
        for n in range(1, self.entry_count + 1):
            path = f"{self.work}/entry-{n}.yaml"
            with open(path) as f:
                text = f.read()
            with open(path, "w") as f:
                f.write(text.replace(
                    f"store: 127.0.0.1:{self.base}\n",
                    f"store: 127.0.0.1:{self.store_port(n)}\n"))

    async def start(self, config):
        for endpoint in self.endpoints.values():
            await endpoint.open()
        await super().start(config)

    async def serve_store(self, endpoint, method, path, query, body):
        await asyncio.sleep(0.004)
        self.store.expire()
        if self.rejects_calls:
            return 503, {}

        async def carry_out():
            return await self.store.carry_out(method, path, query, body)

        job = submitted_job(path, body)
        if job is None:
            return await carry_out()

        async def store_submission():
            status, content = await carry_out()
            if status == 200:
                self.written[job] = now_ms()
                self.record(f"store: submission of {job} is stored for "
                            f"entry-{endpoint.number}")
            return status, content

        if self.on_submission is None:
            return await store_submission()
        return await self.on_submission(job, endpoint, store_submission)

    def close_endpoints(self, numbers, open_calls=True):
        self.record("store: ends connections of entries "
                    f"{sorted(numbers)} and accepts no more"
                    + ("" if open_calls else
                       "; open calls are carried out, without an answer"))
        for n in numbers:
            self.endpoints[n].close(open_calls)

    async def open_endpoints(self):
        self.record("store: accepts all connections")
        for endpoint in self.endpoints.values():
            if endpoint.server is None:
                await endpoint.open()

    async def submit(self, number, job, deadline_ms=DEADLINE_MS,
                     connection=None):
        """One attempt, on an open connection if one is given."""
        body = json.dumps(standins.job({"ms": 300}, cpu=100, mem_mb=100,
                                       gpu=0)).encode()
        sent_at = now_ms()
        try:
            status, text, reused = await asyncio.wait_for(
                self.exchange(number, "POST", job, body, deadline_ms,
                              connection), deadline_ms / 1000 + 3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, text, reused = None, b"", connection is not None
        self.answers.setdefault(job, []).append(status)
        self.record(
            f"client: submission of {job} to entry-{number}"
            f"{' on an open connection' if reused else ''}, sent at {sent_at}"
            f" -> {status} {text[:80].decode('latin-1').strip()!r}")
        return status, sent_at

    async def exchange(self, number, method, job, body, deadline_ms,
                       connection):
        reused = connection is not None
        if not reused:
            connection = await self.connect_caller(number)
        reader, writer = connection
        try:
            writer.write(
                f"{method} /lohu930/{job} HTTP/1.1\r\n"
                "Host: nony24.example\r\nApi-Key: key-1\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            message = await standins.read_message(reader)
            if message is None:
                return None, b"", reused
            return int(message[0][1]), message[2], reused
        finally:
            if method == "POST":
                writer.close()

    async def connect_caller(self, number):
        return await asyncio.open_connection(self.entry_host(number),
                                             self.base + 1)

    def violations(self):
        """Jobs that run though all attempts were rejected."""
        found = []
        for job, statuses in self.answers.items():
            runs = [r for r in self.runs if r.task.startswith(job + ".")]
            if runs and all(status in (429, 503) for status in statuses):
                found.append(job)
                self.record(f"REFUSED: {job} was answered {statuses}, stored "
                            f"at {self.written.get(job)} and started at "
                            f"{runs[0].started}")
        return found

    def summary(self):
        counts = {}
        for statuses in self.answers.values():
            for status in statuses:
                counts[str(status)] = counts.get(str(status), 0) + 1
        return counts


def submitted_job(path, body):
    """The job whose submission a call writes, or None."""
    if path != "/api/kv-txn":
        return None
    for row in json.loads(body).get("puts", []):
        parts = row["key"].split("/")
        if parts[:2] == ["cl", "job"] and parts[3] == "in":
            return parts[2]
    return None


def job_name(number):
    return f"{0xd00000000000 + number:016x}"


# -- the store ends while submissions are being written ------------------------

async def end_store(deployment, callers, close):
    """`close` is called once the submissions are written; the store is back
    after the callers' deadline."""
    closed = asyncio.Event()
    arrivals = []

    async def on_submission(job, endpoint, store_submission):
        if closed.is_set():
            return await store_submission()
        arrivals.append(job)
        await store_submission()
        if len(arrivals) == 1:
            await asyncio.sleep(WRITE_WINDOW_S)
            closed.set()
            close()
        else:
            await closed.wait()
        return "reset"

    deployment.on_submission = on_submission
    attempts = [asyncio.ensure_future(deployment.submit(entry, job_name(n)))
                for n, entry in enumerate(callers)]
    await asyncio.wait_for(closed.wait(), 5)
    await asyncio.sleep(OUTAGE_S)
    deployment.on_submission = None
    deployment.rejects_calls = False
    await deployment.open_endpoints()
    await asyncio.gather(*attempts)
    await asyncio.sleep(START_S)


async def store_ends(deployment):
    await end_store(deployment, [1, 2, 3] * 2,
                    lambda: deployment.close_endpoints([1, 2, 3]))


async def store_ends_after_open_calls(deployment):
    """Open calls are carried out to their end, without an answer."""
    await end_store(
        deployment, [1, 2, 3] * 2,
        lambda: deployment.close_endpoints([1, 2, 3], open_calls=False))


async def one_entry_is_cut_off(deployment):
    await end_store(deployment, [1] * 6, lambda: deployment.close_endpoints([1]))


async def store_ends_under_relayed_calls(deployment):
    """Entry 1 has no connection to the store and relays its calls."""
    deployment.close_endpoints([1])
    await asyncio.sleep(1.5)
    await end_store(deployment, [1] * 6,
                    lambda: deployment.close_endpoints([2, 3]))


async def store_rejects_calls(deployment):
    """The store accepts connections and answers 503 to all new calls."""

    def close():
        deployment.record("store: resets the connections of the submissions, "
                          "and answers 503 to all new calls")
        deployment.rejects_calls = True

    await end_store(deployment, [1, 2, 3] * 2, close)


# -- an entry stops while submissions are being written ------------------------

async def stop_entry(deployment, number, sent_after_s, at_once):
    """Callers with open connections go on until the entry has ended. Returns
    each attempt: when it was sent after the signal, the job and the status."""
    connections = [await deployment.connect_caller(number)
                   for _ in range(len(sent_after_s) * at_once)]
    for connection in connections:  # Each has served a call.
        await deployment.exchange(number, "GET", "", b"", DEADLINE_MS,
                                  connection)
    deployment.signal(f"entry-{number}", signal.SIGTERM)
    term_at = now_ms()
    attempts = []

    async def submit(connection):
        job = job_name(deployment.next_job)
        deployment.next_job += 1
        status, sent_at = await deployment.submit(number, job,
                                                  connection=connection)
        return sent_at - term_at, job, status

    for n, after in enumerate(sent_after_s):
        await asyncio.sleep(max(0, after - (now_ms() - term_at) / 1000))
        for _ in range(at_once):
            attempts.append(asyncio.ensure_future(submit(connections.pop())))
        if n % 10 == 0:  # One on a new connection.
            attempts.append(asyncio.ensure_future(submit(None)))
    return await asyncio.gather(*attempts)


async def stop_entries(deployment, delays_s, sent_after_s=None,
                       at_once=CALLERS_AT_ONCE, stops=STOPS):
    """The store stores a submission after one of `delays_s` and answers none.
    None stands for a store without disturbance."""
    writes = []

    async def on_submission(job, endpoint, store_submission):
        if delays_s is None:
            return await store_submission()

        async def later(delay):
            await asyncio.sleep(delay)
            await store_submission()

        writes.append(asyncio.ensure_future(
            later(delays_s[len(writes) % len(delays_s)])))
        return None

    deployment.on_submission = on_submission

    async def stop_repeatedly(number):
        await asyncio.sleep(number)
        results = []
        for n in range(stops):
            if n > 0:
                await asyncio.sleep(STOP_INTERVAL_S - max(sent_after_s))
                await deployment.until(lambda: deployment.is_ready(number), 5,
                                       f"entry-{number} is ready")
            results += await stop_entry(deployment, number, sent_after_s,
                                        at_once)
        return results

    sent_after_s = sent_after_s or SENT_AFTER_TERM_S
    results = await asyncio.gather(*(stop_repeatedly(number)
                                     for number in deployment.endpoints))
    deployment.on_submission = None
    if delays_s is not None and not writes:
        raise RuntimeError("no submission was being written")
    await asyncio.gather(*writes)
    await asyncio.sleep(START_S)
    by_time = {}
    for after, job, status in sum(results, []):
        rows = by_time.setdefault(after // 500 / 2, {})
        key = (f"{status} "
               + ("stored" if job in deployment.written else "not stored"))
        rows[key] = rows.get(key, 0) + 1
    for after, rows in sorted(by_time.items()):
        deployment.record(f"sent {after} s after SIGTERM: {rows}")


async def entry_stops(deployment):
    await stop_entries(deployment, [0.0])


async def entry_stops_and_writes_are_late(deployment):
    await stop_entries(deployment, [1.0, 2.0, 3.0, 4.0, 5.0, 6.0])


async def entry_stops_undisturbed(deployment):
    await stop_entries(deployment, None, [0.2 * n for n in range(28)], 1, 1)


CASES = {case.__name__: case for case in (
    store_ends, store_ends_after_open_calls, one_entry_is_cut_off,
    store_ends_under_relayed_calls, store_rejects_calls, entry_stops,
    entry_stops_and_writes_are_late, entry_stops_undisturbed)}
DEFAULT_CASES = ["store_ends", "entry_stops"]


def play(name, scenario, keep=None):
    """Returns the exit status of one case."""
    folder = tempfile.mkdtemp(prefix="celerylift-refused-")

    async def main():
        deployment = Deployment(folder, entries=3, runners=3)
        work = asyncio.ensure_future(asyncio.wait_for(
            run(deployment), 60))
        for what in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(what, work.cancel)
        try:
            await work
            if deployment.fault:
                raise deployment.fault
        except (Exception, asyncio.CancelledError) as e:
            deployment.record(f"the case could not run: {e!r}")
            return NOT_RUN
        finally:
            for endpoint in deployment.endpoints.values():
                endpoint.close()
            for process in deployment.processes.values():
                if process.poll() is None:
                    process.kill()
            for process in deployment.processes.values():
                process.wait()
            for entry in range(1, deployment.entry_count + 1):
                log = f"{deployment.work}/entry-{entry}.log"
                if os.path.exists(log):
                    shutil.copy(log, folder)
            deployment.end()
        found = deployment.violations()
        deployment.record(
            f"{name}: answers {deployment.summary()}, "
            f"{len(deployment.written)} stored, "
            + (f"RULE BROKEN by {len(found)} jobs" if found
               else "the rule held"))
        return BROKEN if found else HELD

    async def run(deployment):
        await deployment.start(standins.config())
        await scenario(deployment)

    try:
        return asyncio.run(main())
    finally:
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def main(cases=None):
    cases = cases or CASES
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--programs", default=os.environ.get(
        "CELERYLIFT_PROGRAMS", os.path.join(ROOT, "target")))
    parser.add_argument("--keep", help="keeps records and logs in this folder")
    parser.add_argument("cases", nargs="*", metavar="CASE",
                        help=", ".join(cases))
    options = parser.parse_args()
    for name in ("ENTRY", "AGENT"):
        path = os.path.join(os.path.abspath(options.programs),
                            getattr(standins, name).removeprefix("target/"))
        setattr(standins, name, path)
        if not os.access(path, os.X_OK):
            print(f"not run: {path} is not built", file=sys.stderr)
            return NOT_RUN
    results = []
    for name in options.cases or DEFAULT_CASES:
        keep = os.path.join(options.keep, name) if options.keep else None
        results.append(play(name, cases[name], keep))
    return BROKEN if BROKEN in results else max(results)


if __name__ == "__main__":
    sys.exit(main())
