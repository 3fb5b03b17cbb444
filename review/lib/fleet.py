"""A small deployment on loopback for the cases of this folder.

Starts the project's own entries and agents as processes, with the commands of
deploy/system.toml. The store, the backend servers (runners), the operator and
the clients are stand-ins in this process, written after PROTOCOL.md.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ENTRY = "target/modules/entry/celerylift"
AGENT = "target/modules/agent/celerylift-agent"

# The bounds of the site kwela-bake, which the settings of a process state.
BOUNDS = {
    "stable_ms": 3000, "cancel_ms": 3000, "stop_timeout_ms": 900,
    "max_hold_ms": 6000, "ack_ms": 4000, "config_apply_ms": 2000,
    "visible_ms": 3000, "heartbeat_ms": 1500,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STARTED_AT = time.monotonic()


def now_ms():
    return int((time.monotonic() - STARTED_AT) * 1000)


class Record:
    """What was sent, answered and run: record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{now_ms():7d} ms  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# -- HTTP -------------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").split(" ", 2), headers, body


async def serve(host, port, handle):
    """Serves `handle(method, path, query, headers, body)`, which returns a
    status and a JSON object, or None to leave the call without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), headers, body = message
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                answer = await handle(method, unquote(url.path), query,
                                      headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=256)


async def request(host, port, method, path, body=b"", headers=None,
                  timeout=3.0):
    """One call on a new connection. Returns (status, body); the status is None
    if the connection failed or ended without a whole answer."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()

    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [f"Content-Length: {len(body)}",
                      "Content-Type: application/json", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, b""
            first, _, data = message
            return int(first[1]), data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""


# -- the platform's store ---------------------------------------------------

class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}      # key -> (value, rev, created, lease)
        self.events = []     # (rev, event)
        self.rev = 100
        self.leases = {}     # id -> [ttl_ms, expires]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.trouble = None  # function(method, path, body) -> action or None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, rev, created, lease = self.items[key]
        return {"key": key, "value": value, "rev": rev, "created": created,
                "lease": lease}

    def remove(self, key, rev):
        del self.items[key]
        self.events.append((rev, {"key": key, "rev": rev, "removed": True}))

    def expire(self):
        for lease, (_, expires) in list(self.leases.items()):
            if now_ms() >= expires:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.items.items() if v[3] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self.remove(key, self.rev)
            self.wake()

    def put(self, key, value, lease, rev):
        created = self.items[key][2] if key in self.items else rev
        self.items[key] = (value, rev, created, lease)
        self.events.append((rev, self.item(key)))

    def transact(self, body):
        current = [self.item(row["key"]) for row in body.get("expected", [])
                   if row["key"] in self.items]
        for row in body.get("expected", []):
            rev = self.items[row["key"]][1] if row["key"] in self.items else 0
            if rev != row["rev"]:
                return 412, {"items": current}
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.rev += 1
        for row in body.get("puts", []):
            self.put(row["key"], row["value"], row.get("lease", 0), self.rev)
        for key in body.get("remove", []):
            if key in self.items:
                self.remove(key, self.rev)
        self.wake()
        return 200, {"rev": self.rev}

    def operator_puts(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.transact({"puts": [{"key": key, "value": text}]})

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now_ms() + int(query.get("wait_ms", 0))
        while True:
            found = [e for rev, e in self.events
                     if rev > after and e["key"].startswith(prefix)]
            left = until - now_ms()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        self.expire()
        if self.trouble:
            action = self.trouble(method, path, body)
            if action == "drop":
                return None
            if action == "lose":  # Done and not answered.
                await self.carry_out(method, path, query, body)
                return None
        return await self.carry_out(method, path, query, body)

    async def carry_out(self, method, path, query, body):
        if path == "/api/kv-txn":
            content = json.loads(body)
            for row in content.get("puts", []):
                if row["key"].startswith(("op/", "servers/")):
                    return 403, {}
            return self.transact(content)
        if path == "/api/kv-key":
            if query["key"] not in self.items:
                return 404, {"as_of": self.rev}
            return 200, dict(self.item(query["key"]), as_of=self.rev)
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            page, size = [], 0
            for key in keys:  # At most 500 items or 1 MB of text.
                size += len(self.items[key][0])
                if len(page) == 500 or (page and size > 1_000_000):
                    break
                page.append(self.item(key))
            return 200, {"items": page, "has_more": len(page) < len(keys),
                         "as_of": self.rev}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-lease":
            ttl = max(1000, min(600000, json.loads(body)["ttl_ms"]))
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, now_ms() + ttl]
            return 200, {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            self.leases[lease][1] = now_ms() + self.leases[lease][0]
            return 200, {"lease": lease, "ttl_ms": self.leases[lease][0]}
        self.end_lease(lease)
        return 200, {}


class Link:
    """The link of one machine to the store: its bandwidth is limited, in each
    direction, over all its channels."""

    def __init__(self, mbps, port):
        self.bytes_per_s = mbps * 1e6 / 8
        self.port = port
        self.free_at = {"in": 0.0, "out": 0.0}

    async def pass_bytes(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(8192)
                if not data:
                    break
                now = time.monotonic()
                # A sleep that took too long is made good by the next ones.
                self.free_at[direction] = (
                    max(now - 0.03, self.free_at[direction])
                    + len(data) / self.bytes_per_s)
                await asyncio.sleep(max(0, self.free_at[direction] - now))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def connect(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self.port)
        except OSError:
            return writer.close()
        await asyncio.gather(self.pass_bytes(reader, store_writer, "out"),
                             self.pass_bytes(store_reader, writer, "in"))


# -- backend servers --------------------------------------------------------

class Run:
    def __init__(self, task, run, spec, runner, checkpoint):
        self.task, self.run, self.spec, self.runner = task, run, spec, runner
        self.started = now_ms()
        self.ended = None
        self.how = None
        self.number = None
        self.noted = None   # When ack_index reached the end.
        self.checkpoint = checkpoint

    def __str__(self):
        return f"{self.task} run {self.run} on {self.runner}"


def behaviour(spec):
    """How a task behaves, by its payload: {"ms": duration, None for ever;
    "fail_runs": the runs that fail; "fail_ms": after this time; "fail_index":
    the task that fails; "gang": whether all end with one that fails}."""
    try:
        return json.loads(spec)
    except ValueError:
        return {"ms": 900}


class Runner:
    """A backend server."""

    def __init__(self, fleet, number, port, agent_port):
        self.fleet, self.number = fleet, number
        self.record = fleet.record
        self.id = f"i-{number:08x}"
        self.name = f"runner {number}"
        self.port, self.agent_port = port, agent_port
        self.born = int(time.time() * 1000)
        self.boot = now_ms()
        self.seq = 0
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.finished = []
        self.last_number = 0
        self.barred = {}
        self.up = True
        self.server = None
        self.answers = True     # False: leaves all calls without an answer.
        self.service = "order-desk"
        self.changed = asyncio.Event()
        self.last_lease = None

    def clock(self):
        return now_ms() - self.boot

    def report(self):
        self.seq += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": "za-north-a", "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": 128000, "mem_mb": 262144, "gpu": 8},
                "labels": ["a", f"r1-{(self.number - 1) // 3}"],
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born}

    async def send_report(self):
        return await request("127.0.0.1", self.agent_port, "PUT",
                             f"/api/instances/{self.id}", self.report(),
                             {"Host": "127.0.0.1"}, timeout=1.0)

    async def send_reports(self):
        while self.up:
            await asyncio.gather(
                self.send_report(),
                asyncio.sleep(BOUNDS["heartbeat_ms"] / 1000))

    def crash(self):
        """It is lost for good: it runs nothing, refuses channels and sends
        nothing any more."""
        self.record(f"{self.name}: crashes")
        self.up = False
        for run in self.running.values():
            run.ended, run.how = now_ms(), "crashed"
        self.running.clear()
        self.server.close()

    async def advance(self):
        while self.up:
            await asyncio.sleep(0.01)
            for key, run in list(self.running.items()):
                if self.clock() >= self.deadline:
                    self.end(run, "lapsed")
                    continue
                spec = behaviour(run.spec)
                failing = (run.run in spec.get("fail_runs", [])
                           and run.task.endswith(
                               f".{spec.get('fail_index', '')}"
                               if "fail_index" in spec else ""))
                length = spec.get("fail_ms", spec["ms"]) if failing \
                    else spec["ms"]
                if length is not None and now_ms() >= run.started + length:
                    self.end(run, "failed" if failing else "done")

    def end(self, run, how):
        if self.running.pop((run.task, run.run), None) is None:
            return
        run.ended, run.how = now_ms(), how
        self.last_number += 1
        run.number = self.last_number
        self.finished.append(run)
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.record(f"{self.name}: run ended: {run.task} run {run.run} {how}")
        self.changed.set()
        self.changed = asyncio.Event()
        if how not in ("done", "broken") and behaviour(run.spec).get("gang"):
            self.fleet.spawn(self.fleet.break_gang(run))

    def extend(self, body):
        if "deadline_ms" in body:
            limit = self.clock() + BOUNDS["max_hold_ms"]
            deadline = min(body["deadline_ms"], limit)
            if deadline > self.deadline:
                self.deadline = deadline
                self.last_lease = now_ms()

    def start(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            self.extend(body)
            return 200, {}
        if body["run"] <= self.barred.get(body["task"], 0):
            self.extend(body)
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body)
        run = Run(body["task"], body["run"], body["spec"], self.name,
                  body.get("last_checkpoint", ""))
        self.running[key] = run
        self.fleet.runs.append(run)
        self.record(f"{self.name}: run started: {run.task} run {run.run} "
                    f"fence {body['fence']}")
        self.fleet.on_start(run)
        return 200, {}

    async def stop(self, body):
        key = (body["task"], body["run"])
        self.barred[body["task"]] = max(self.barred.get(body["task"], 0),
                                        body["run"])
        self.record(f"{self.name}: stop of {key[0]} run {key[1]}")
        if key in self.running:
            run = self.running[key]

            async def later():
                await asyncio.sleep(0.1)
                self.end(run, "stopped")

            self.fleet.spawn(later())
        return 200, {}

    async def hold(self, body):
        self.extend(body)
        for run in list(self.finished):
            if run.number <= body["ack_index"]:
                run.noted = now_ms()
                self.finished.remove(run)
        until = now_ms() + body.get("wait_ms", 0)
        while not self.finished and now_ms() < until:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, (until - now_ms()) / 1000))
            except asyncio.TimeoutError:
                pass
        return 200, {
            "running": [[r.task, r.run, r.checkpoint, self.percent(r), 0]
                        for r in self.running.values()],
            "finished": [[r.number, r.task, r.run, r.how, ""]
                         for r in self.finished]}

    def percent(self, run):
        length = behaviour(run.spec)["ms"]
        if length is None:
            return 100
        return min(99, (now_ms() - run.started) * 100 // length)

    async def handle(self, method, path, query, headers, content):
        if not self.up:
            raise ConnectionError
        if not self.answers:
            return None
        if headers.get("x-target-instance") != self.id:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        body = json.loads(content)
        if body.get("fence", 0) < self.fence:
            return 409, {"reason": "fence", "clock_ms": self.clock(),
                         "born": self.born}
        self.fence = max(self.fence, body.get("fence", 0))
        if path == "/api/run-start":
            status, answer = self.start(body)
        elif path == "/api/run-stop":
            status, answer = await self.stop(body)
        elif path == "/api/hold":
            status, answer = await self.hold(body)
        else:
            status, answer = 404, {}
        if not self.up:
            raise ConnectionError
        if not self.answers:
            return None
        answer.update(clock_ms=self.clock(), born=self.born)
        return status, answer


# -- the deployment ---------------------------------------------------------

def free_port_base(addresses, count):
    """Finds a range of ports that are free on all addresses."""
    import random
    chooser = random.Random(os.getpid() * 7919 + time.time_ns())
    for _ in range(200):
        base = chooser.randrange(20000, 32000, 100)
        sockets = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    s = socket.socket()
                    sockets.append(s)
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise RuntimeError("no free ports")


class Fleet:
    def __init__(self, folder, entries=3, runners=6, link_mbps=None,
                 processor_share=0.25):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="celerylift-review-")
        self.processes = {}
        self.ended = []       # (name, code, time) of ends by themselves.
        self.expected_ends = set()
        self.start_delay_s = 1.0
        self.restart = {}
        self.tasks = []
        self.fault = None
        self.runs = []
        self.on_start = lambda run: None
        self.entry_count, self.runner_count = entries, runners
        addresses = ["127.0.0.1"] + [self.entry_host(n)
                                     for n in range(1, entries + 1)]
        self.base = free_port_base(addresses, 40)
        self.store = Store(self.record)
        self.link_mbps, self.processor_share = link_mbps, processor_share
        self.runners = {}

    def entry_host(self, n):
        return f"127.0.0.{10 + n}"

    def spawn(self, work):
        async def guarded():
            try:
                await work
            except Exception as e:  # A fault of a stand-in is no result.
                self.fault = e
                raise

        self.tasks.append(asyncio.ensure_future(guarded()))

    def seeds(self):
        return ", ".join(f"{self.entry_host(n)}:1"
                         for n in range(1, min(3, self.entry_count) + 1))

    def write_settings(self):
        for n in range(1, self.entry_count + 1):
            host = self.entry_host(n)
            store = self.base + (4 + n if self.link_mbps else 0)
            with open(f"{self.work}/entry-{n}.yaml", "w") as f:
                f.write(f"""name: entry-{n}
failure_domain: za-north-a
ip: {host}
store: 127.0.0.1:{store}
listen:
  callers: {host}:{self.base + 1}
  readiness: {host}:{self.base + 2}
  link: {self.base + 3}
  metrics: {self.base + 4}
limits:
  processor_share: {self.processor_share}
  link_mbps: {self.link_mbps or 1000.0}
entries: [{self.seeds()}]
""")
        for n in range(1, self.runner_count + 1):
            with open(f"{self.work}/agent-{n}.yaml", "w") as f:
                f.write(f"""name: agent-{n}
failure_domain: za-north-a
ip: 127.0.0.1
backend_server: 127.0.0.1:{self.base + 10 + n}
listen:
  heartbeats: 127.0.0.1:{self.base + 20 + n}
  metrics: {self.base + 30 + n}
entry_port: {self.base + 3}
entries: [{self.seeds()}]
""")

    def launch(self, name):
        command = [ENTRY, "fleet-entry"] if name.startswith("entry") \
            else [AGENT, "fleet"]
        log = open(f"{self.work}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.work,
                 "CELERYLIFT_SETTINGS": f"{self.work}/{name}.yaml"})
        self.record(f"platform: {name} started")

    async def supervise(self):
        """A process that ends is started again after a short delay."""
        while True:
            await asyncio.sleep(0.02)
            for name, process in list(self.processes.items()):
                if process.poll() is None or name in self.restart:
                    continue
                code = process.returncode
                if name in self.expected_ends:
                    self.expected_ends.discard(name)
                    delay = self.start_delay_s
                    self.record(f"platform: {name} has ended ({code})")
                else:
                    self.ended.append((name, code, now_ms()))
                    delay = 1.0
                    self.record(f"platform: {name} ENDED BY ITSELF ({code})")
                self.restart[name] = now_ms() + int(delay * 1000)
            for name, at in list(self.restart.items()):
                if now_ms() >= at:
                    del self.restart[name]
                    self.launch(name)

    def signal(self, name, what):
        self.record(f"platform: {what.name} to {name}")
        if what in (signal.SIGKILL, signal.SIGTERM):
            self.expected_ends.add(name)
        self.processes[name].send_signal(what)

    async def start(self, config):
        self.write_settings()
        await serve("127.0.0.1", self.base, self.store.handle)
        for n in range(1, self.entry_count + 1 if self.link_mbps else 1):
            await asyncio.start_server(Link(self.link_mbps, self.base).connect,
                                       "127.0.0.1", self.base + 4 + n)
        for n in range(1, self.runner_count + 1):
            runner = Runner(self, n, self.base + 10 + n, self.base + 20 + n)
            self.runners[n] = runner
            runner.server = await serve("127.0.0.1", runner.port,
                                        runner.handle)
            self.spawn(runner.send_reports())
            self.spawn(runner.advance())
        for n in range(1, self.entry_count + 1):
            self.launch(f"entry-{n}")
        for n in range(1, self.runner_count + 1):
            self.launch(f"agent-{n}")
        self.spawn(self.supervise())
        self.put_config(config)
        for n in range(1, self.entry_count + 1):
            await self.until(lambda n=n: self.is_ready(n), 20,
                             f"entry-{n} is ready")
        await asyncio.sleep(4)  # Heartbeats, and stable_ms.
        self.record("the deployment is up and calm")

    def put_config(self, config):
        self.store.operator_puts("op/config", config)
        self.record(f"operator: version {config['version']} acknowledged: "
                    + json.dumps(config["routes"]))

    async def is_ready(self, n):
        status, _ = await request(self.entry_host(n), self.base + 2, "GET",
                                  "/api/readyz", timeout=1)
        return status == 200

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.03)
        raise RuntimeError(f"timed out: {what}")

    async def call(self, entry, method, path, body=b"", timeout=3.0,
                   key="key-1", show=None):
        headers = {"Host": "nony24.example", "Api-Key": key,
                   "X-Deadline-Ms": str(int(timeout * 1000))}
        status, data = await request(self.entry_host(entry), self.base + 1,
                                     method, path, body, headers, timeout)
        shown = show or (body.decode("latin-1") if isinstance(body, bytes)
                         else json.dumps(body))
        self.record(f"client: {method} {path} to entry-{entry} "
                    f"{shown[:160]} -> {status} {data[:120]!r}")
        return status, data

    def owner(self):
        """The entry that wrote to the store under a condition last: it logged
        the latest takeover."""
        best = (0, 1)
        for n in range(1, self.entry_count + 1):
            with open(f"{self.work}/entry-{n}.log", errors="replace") as f:
                for line in f:
                    if '"took_over"' in line:
                        best = max(best, (json.loads(line)["unix_ms"], n))
        return best[1]

    async def break_gang(self, ended):
        """The other members of the run of a gang end soon after one has."""
        await asyncio.sleep(0.1)
        for other in self.running():
            if (other.task.rsplit(".", 1)[0] == ended.task.rsplit(".", 1)[0]
                    and other.run == ended.run):
                self.runner_of(other).end(other, "broken")

    def running(self, task=None):
        return [run for r in self.runners.values()
                for run in r.running.values()
                if task is None or run.task == task]

    def runner_of(self, run):
        return next(r for r in self.runners.values() if r.name == run.runner)

    def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def config(version=4, routes=None, max_attempts=2):
    if routes is None:
        routes = [route(max_attempts=max_attempts)]
    return {"version": version, "routes": routes,
            "services": [{"name": "order-desk", "enforces_capacity": False}],
            "tenants": [{"name": "kwela", "api_keys": ["key-1"],
                         "guaranteed": {"gpu": 16}}]}


def route(name="r-1", prefix="/lohu930/", max_attempts=2):
    return {"name": name, "host": "nony24.example", "prefix": prefix,
            "priority": 0, "service": "order-desk",
            "max_attempts": max_attempts, "stretch": 3.0,
            "target_duration_ms": 1000}


def job(spec, count=1, **step):
    step = dict({"count": count, "cpu": 4000, "mem_mb": 2000, "gpu": 1,
                 "est_duration_ms": spec["ms"] or 1000}, **step)
    return {"spec": json.dumps(spec), "steps": [step]}


def run_case(scenario, **settings):
    """Runs a scenario, which returns what broke the rule, or None."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    for program in (ENTRY, AGENT):
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            print(f"not run: {program} is not built", file=sys.stderr)
            sys.exit(NOT_RUN)

    async def main():
        fleet = Fleet(folder, **settings)
        fleet.record(f"trouble: {'yes' if TROUBLE else 'no'}")
        work = asyncio.ensure_future(asyncio.wait_for(scenario(fleet), 115))
        for what in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(what, work.cancel)
        try:
            broken = await work
            if fleet.fault:
                raise fleet.fault
        except (Exception, asyncio.CancelledError) as e:
            fleet.record(f"the case could not run: {e!r}")
            return NOT_RUN
        finally:
            fleet.end()
        fleet.record(f"RULE BROKEN: {broken}" if broken else "the rule held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))
