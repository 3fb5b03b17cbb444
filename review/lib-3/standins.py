"""Stand-ins for the cases 11 to 15: the platform's store, backend servers and
clients, and the start of the project's programs on loopback.

They do what PROTOCOL.md says. Only the Python standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
QUEUE, HOST, SERVICE = "/lohu930/", "nony24.example", "order-desk"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HANG = object()         # A stand-in gives no answer.

# Bounds of the small sites, in milliseconds.
STABLE_MS, VISIBLE_MS, ACK_MS, CANCEL_MS = 3000, 3000, 4000, 3000
MAX_HOLD_MS, STOP_MS, BEAT_MS, FINISH_MS = 6000, 900, 1500, 14000
GANG_MS = 3000


class CannotRun(Exception):
    pass


def now_ms():
    return int(time.monotonic() * 1000)


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    return lines[0].split(" ", 2), headers, await reader.readexactly(size)


class HttpPort:
    """An HTTP server of a stand-in."""

    def __init__(self, handle):
        self.handle, self.writers, self.server = handle, set(), None
        self.silent = set()     # Channels that are silent for good.

    def silence(self):
        """All open channels go silent; new ones work."""
        self.silent |= self.writers
        return len(self.writers)

    async def open(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port,
                                                 backlog=256, limit=1 << 25)

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers, body = await read_message(reader)
                if writer not in self.silent:
                    answer = await self.handle(method, target, headers, body)
                if answer is HANG or writer in self.silent:
                    await reader.read()
                    return
                status, out = answer
                data = json.dumps(out).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             "application/json\r\nContent-Length: "
                             f"{len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()


async def http_call(host, port, method, target, body=b"", headers=None,
                    timeout=3.0):
    """Returns the status and the body; (None, b"") without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port, limit=1 << 25), timeout)
        head = f"{method} {target} HTTP/1.1\r\n"
        for name, value in {"Host": host, "Content-Length": len(body),
                            "Content-Type": "application/json",
                            **(headers or {})}.items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        first, _, data = await asyncio.wait_for(read_message(reader), timeout)
        return int(first[1]), data
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return None, b""
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's store. Keys are texts of at most 200 bytes."""
    VALUE_BYTES = 1 << 20

    def __init__(self):
        self.rev, self.items, self.events, self.leases = 1, {}, [], {}
        self.next_lease = 0
        self.changed = asyncio.Event()
        self.down = False       # Silent: calls hang, leases run out.
        self.answer_ms = 4
        self.port = HttpPort(self.handle)

    def touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {"key": key, "value": value, "rev": self.rev,
                "created": created, "lease": lease}
        self.items[key] = item
        self.events.append((self.rev, item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.events.append((self.rev, {"key": key, "rev": self.rev,
                                           "removed": True}))

    def put_config(self, config):
        self.rev += 1
        self.put("op/config",
                 base64.b64encode(json.dumps(config).encode()).decode())
        self.touch()

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if now_ms() >= until:
                self.end_lease(lease)

    def end_lease(self, lease):
        if not self.leases.pop(lease, None):
            return False
        held = [k for k, i in self.items.items() if i["lease"] == lease]
        if held:
            self.rev += 1
            for key in held:
                self.remove(key)
            self.touch()
        return True

    async def tick(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, target, headers, body):
        if self.down:
            return HANG
        await asyncio.sleep(self.answer_ms / 1000)
        answer = await self.carry_out(method, target, body)
        return HANG if self.down else answer

    async def carry_out(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, errors="surrogateescape").items()}
        path = unquote(url.path)
        data = json.loads(body) if body else {}
        self.expire()
        if path == "/api/kv-key":
            if len(query["key"].encode(errors="surrogateescape")) > 200:
                return 400, {}
            item = self.items.get(query["key"])
            return (200, dict(item, as_of=self.rev)) if item \
                else (404, {"as_of": self.rev})
        if path == "/api/kv-range":
            return self.range(query)
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(data)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(600_000, data["ttl_ms"]))
            self.leases[self.next_lease] = [now_ms() + ttl, ttl]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[0] = now_ms() + lease[1]
            return 200, {"ttl_ms": lease[1]}
        if path.startswith("/api/kv-lease-end/"):
            return (200 if self.end_lease(int(path.rsplit("/", 1)[1]))
                    else 404), {}
        return 404, {}

    def range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            if len(page) == 500 or size > 1_000_000:
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": page, "has_more": len(page) < len(keys),
                     "as_of": self.rev}

    async def watch(self, query):
        after = int(query["after"])
        until = now_ms() + min(30_000, int(query["wait_ms"]))
        while True:
            if self.down:
                return 503, {}
            found = [e for rev, e in self.events
                     if rev > after and e["key"].startswith(query["prefix"])]
            left = until - now_ms()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass

    def transact(self, data):
        expected = data.get("expected") or []
        puts, removals = data.get("puts") or [], data.get("remove") or []
        if len(expected) + len(puts) + len(removals) > 64 or any(
                len(p["value"]) * 3 // 4 > self.VALUE_BYTES or
                len(p["key"].encode()) > 200 for p in puts):
            return 400, {}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        revs = {e["key"]: self.items.get(e["key"], {}).get("rev", 0)
                for e in expected}
        if any(revs[e["key"]] != e["rev"] for e in expected):
            return 412, {"items": [self.items.get(k, {"key": k, "rev": 0})
                                   for k in revs]}
        self.rev += 1
        for p in puts:
            self.put(p["key"], p["value"], p.get("lease", 0))
        for key in removals:
            self.remove(key)
        self.touch()
        return 200, {"rev": self.rev}


class Run:
    def __init__(self, task, number, spec, saved):
        self.task, self.number, self.spec, self.saved = (task, number, spec,
                                                         saved)
        self.started, self.stop_at = now_ms(), None
        words = dict(re.findall(r"(\w+)=(\d+)", spec))
        self.ms = int(words.get("ms", 1000))    # How long it works.
        # This run, or each run, fails by its own fault, half way.
        self.fails = int(words.get("fails", 0)) == number or "never" in words
        self.gang = int(words.get("gang", 0))   # Its members, 0: no gang.

    def gang_key(self):
        return self.task.rsplit(".", 1)[0], self.number


class Server:
    """One life of a backend server. It guards no capacity."""

    def __init__(self, fleet, number, cpu=128_000, mem_mb=262_144, gpu=8):
        self.fleet, self.number = fleet, number
        self.id, self.born = f"i-{number:08x}", int(time.time() * 1000)
        self.boot, self.seq, self.fence = now_ms(), 0, 0
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}
        self.running, self.finished, self.ended = {}, [], {}
        self.last_end, self.deadline = 0, 0
        self.lapses = []            # When the lease has run out.
        self.changed = asyncio.Event()
        self.unhealthy = False      # Refuses starts, and does nothing.
        self.reporting = True
        self.reports = 0            # Acknowledged.
        self.checkpoint = lambda run: ""
        self.labels = ["a", f"r1-{(number - 1) // 3 + 1}"]
        self.port = HttpPort(self.handle)

    def clock(self):
        return now_ms() - self.boot + 1000

    async def crash(self, seconds):
        """Loses all that it runs and knows, and is back under its id."""
        self.record(f"crashes with {len(self.running)} runs")
        self.reporting = False
        self.port.close()
        self.running, self.finished, self.ended = {}, [], {}
        await asyncio.sleep(seconds)
        self.born, self.boot = int(time.time() * 1000), now_ms()
        self.seq = self.fence = self.last_end = self.deadline = 0
        await self.port.open(self.host, self.app)
        self.reporting = True
        self.record("is back")
        await self.send(self.report())

    def record(self, text):
        self.fleet.record(f"server {self.number}: {text}")

    def report(self):
        self.seq += 1
        return {"service": SERVICE, "address": f"{self.host}:{self.app}",
                "zone": "za-north-a", "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born}

    async def open(self, host, app, control):
        self.host, self.app, self.control = host, app, control
        await self.port.open(host, app)
        self.fleet.spawn(self.send_reports())
        self.fleet.spawn(self.advance())

    async def send_reports(self):
        while True:
            if self.reporting:
                status, _ = await self.send(self.report())
                self.reports += status == 200
            await asyncio.sleep(BEAT_MS / 1000)

    async def send(self, report, name=None):
        return await http_call(self.host, self.control, "PUT",
                               f"/api/instances/{name or self.id}",
                               json.dumps(report).encode(), timeout=1.0)

    def end(self, run, how):
        del self.running[run.task, run.number]
        self.fleet.leave_gang(self, run, how)
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how,
                              run.saved])
        self.ended[run.task] = max(run.number, self.ended.get(run.task, 0))
        self.fleet.on_end(self, run, self.last_end, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def advance(self):
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.clock() >= self.deadline
            if lapsed and self.deadline:
                self.lapses.append(now_ms())
                self.deadline = 0
            for run in list(self.running.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stop_at is not None and now_ms() >= run.stop_at:
                    self.end(run, "stopped")
                elif run.stop_at is not None:
                    continue
                elif not self.fleet.is_present(run):
                    if now_ms() >= run.started + GANG_MS:
                        self.end(run, "alone")
                elif run.fails and now_ms() >= run.started + run.ms // 2:
                    self.end(run, "failed")
                elif now_ms() >= run.started + run.ms:
                    self.end(run, "done")

    def lists(self):
        running = []
        for run in self.running.values():
            run.saved = self.checkpoint(run) or run.saved
            percent = min(99, (now_ms() - run.started) * 100 // max(1, run.ms))
            running.append([run.task, run.number, run.saved, percent, 0])
        return {"clock_ms": self.clock(), "born": self.born,
                "running": running, "finished": self.finished[:500]}

    async def handle(self, method, target, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        data = json.loads(body)
        if data.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        path = urlsplit(target).path
        if path == "/api/run-start":
            return self.start(data)
        self.fence = data.get("fence", 0)
        if path == "/api/run-stop":
            return self.stop(data)
        if path == "/api/hold":
            return await self.hold(data)
        return 404, {}

    def extend(self, deadline):
        latest = self.clock() + MAX_HOLD_MS
        self.deadline = max(self.deadline, min(deadline, latest))

    def start(self, data):
        task, number = data["task"], data["run"]
        if self.unhealthy:
            self.record(f"refuses the start of {task} run {number}: unhealthy")
            return 429, {"clock_ms": self.clock()}
        self.fence = data.get("fence", 0)
        if data["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(data["deadline_ms"])
        if (task, number) in self.running:
            return 200, {"clock_ms": self.clock()}
        if number <= self.ended.get(task, 0):
            self.record(f"refuses the start of {task} run {number}: old")
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        run = Run(task, number, data["spec"], data.get("last_checkpoint", ""))
        self.running[task, number] = run
        self.fleet.on_start(self, run)
        self.fleet.join_gang(self, run)
        return 200, {"clock_ms": self.clock()}

    def stop(self, data):
        run = self.running.get((data["task"], data["run"]))
        if run and run.stop_at is None:
            run.stop_at = now_ms() + 50
        elif not run:
            self.ended[data["task"]] = max(data["run"],
                                           self.ended.get(data["task"], 0))
        return 200, {"clock_ms": self.clock()}

    async def hold(self, data):
        if "deadline_ms" in data:
            self.extend(data["deadline_ms"])
        acked = [e for e in self.finished if e[0] <= data["ack_index"]]
        self.finished = self.finished[len(acked):]
        for end in acked:
            self.fleet.on_ack(self, end)
        until = now_ms() + min(2000, data.get("wait_ms", 0))
        while not self.finished and now_ms() < until:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()


def fill(template, fields):
    """Fills in a settings template as DEPLOY.md says, as far as it is used."""
    def value_of(name, scope):
        found = scope
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else (
                found[int(part)] if isinstance(found, list) else None)
            if found is None:
                return None
        return found

    def section(match):
        value = value_of(match[1], fields)
        if isinstance(value, list):
            return "".join(match[2].replace("{{.}}", str(v)).replace(
                "{{,}}", "," if i + 1 < len(value) else "")
                for i, v in enumerate(value))
        return match[2] if value not in (None, False) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: "" if value_of(
        m[1], fields) is None else str(value_of(m[1], fields)), text)


class Fleet:
    """The programs of one small deployment, started as the platform does."""
    # Offsets of the ports.
    LINK, METRICS, FRONT, READY, CONTROL, APP, STORE = range(7)

    def __init__(self, folder, entries=3, servers=3, **capacity):
        self.record_file = open(os.path.join(folder, "record.txt"), "w",
                                encoding="utf-8", errors="backslashreplace")
        self.begun = now_ms()
        self.work = tempfile.mkdtemp(prefix="celerylift-review-")
        self.slot = random.randint(10, 240)
        self.base = self.free_ports(entries, servers)
        self.store = Store()
        self.tasks, self.processes, self.restart_at = set(), {}, {}
        self.told, self.own_ends = {}, []
        self.entries, self.settings = entries, {}
        self.servers = {n: Server(self, n, **capacity)
                        for n in range(1, servers + 1)}
        self.starts, self.ends, self.noted, self.gangs = [], [], [], {}
        self.config = {
            "version": 4,
            "routes": [{"name": "r-1", "host": HOST, "prefix": QUEUE,
                        "priority": 1, "service": SERVICE, "max_attempts": 2,
                        "stretch": 3.0, "target_duration_ms": 1000}],
            "services": [{"name": SERVICE, "enforces_capacity": False}],
            "tenants": [{"name": "kwela", "api_keys": ["key-1"],
                         "guaranteed": {"gpu": 8}}]}
        for program in ("modules/entry/celerylift",
                        "modules/agent/celerylift-agent"):
            if not os.access(f"{ROOT}/target/{program}", os.X_OK):
                raise CannotRun(f"target/{program} has not been built")

    def entry_ip(self, n):
        return f"127.9.{self.slot}.{n}"

    def side_ip(self, n):
        return f"127.9.{self.slot}.{100 + n}"

    def store_ip(self):
        return f"127.9.{self.slot}.250"

    def free_ports(self, entries, servers):
        addresses = [self.store_ip()]
        addresses += [self.entry_ip(n) for n in range(1, entries + 1)]
        addresses += [self.side_ip(n) for n in range(1, servers + 1)]
        for _ in range(50):
            base = random.randint(20_000, 30_000)
            try:
                for host in addresses:
                    for port in range(base, base + 7):
                        with socket.socket() as s:
                            s.bind((host, port))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def record(self, text):
        self.record_file.write(f"{(now_ms() - self.begun) / 1000:8.3f} "
                               f"{text}\n")
        self.record_file.flush()

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Gangs: they work from when all are present, and end together.

    def join_gang(self, server, run):
        if not run.gang:
            return
        members = self.gangs.setdefault(run.gang_key(), [])
        members.append((server, run))
        if len(members) == run.gang:
            for _, member in members:
                member.started = now_ms()

    def is_present(self, run):
        return not run.gang or len(self.gangs[run.gang_key()]) == run.gang

    def leave_gang(self, server, run, how):
        if not run.gang:
            return
        members = self.gangs[run.gang_key()]
        if (server, run) not in members:
            return
        self.gangs[run.gang_key()] = []
        for other, member in members:
            if member is not run and (member.task,
                                      member.number) in other.running:
                other.end(member, "done" if how == "done" else "broken")

    # What the servers see.

    def on_start(self, server, run):
        self.starts.append((now_ms(), server.number, run.task, run.number))
        self.record(f"server {server.number} starts {run.task} run "
                    f"{run.number}")

    def on_end(self, server, run, number, how):
        self.ends.append((now_ms(), server.number, run.task, run.number, how))
        self.record(f"server {server.number} lists end {number}: {run.task} "
                    f"run {run.number} {how}")

    def on_ack(self, server, end):
        self.noted.append((now_ms(), server.number, end[1], end[2], end[3]))
        self.record(f"server {server.number}: end {end[0]} is taken note of: "
                    f"{end[1]} run {end[2]} {end[3]}")

    # Processes.

    def fields(self, name, ip, role):
        return {
            "node_name": name, "zone": "za-north-a", "ip": ip,
            "port_range": [self.base + self.LINK, self.base + self.METRICS],
            "seeds": [f"{self.entry_ip(n)}:{self.base + self.CONTROL}"
                      for n in range(1, min(3, self.entries) + 1)],
            "listen": {"front": f"{ip}:{self.base + self.FRONT}",
                       "ready": f"{ip}:{self.base + self.READY}",
                       "control": f"{ip}:{self.base + self.CONTROL}"},
            "app": f"{ip}:{self.base + self.APP}",
            "limits": {"cpu_share": 0.25 if role == "entry" else 0.15,
                       "memory_mb": 260 if role == "entry" else 128,
                       "max_fds": 4100 if role == "entry" else 4096,
                       "link_mbps": 1000.0},
            "platform": {
                "address": f"{self.store_ip()}:{self.base + self.STORE}"},
            "bounds": {}}

    def write_settings(self, name, ip, role):
        with open(f"{ROOT}/platform/{role}.yaml.in") as f:
            text = fill(f.read(), self.fields(name, ip, role))
        self.settings[name] = f"{self.work}/{name}.yaml"
        with open(self.settings[name], "w") as f:
            f.write(text)

    def launch(self, name):
        command = ["target/modules/entry/celerylift", "fleet-entry"] \
            if name.startswith("entry") else [
                "target/modules/agent/celerylift-agent", "fleet"]
        with open(f"{self.work}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                 "HOME": self.work,
                                 "CELERYLIFT_SETTINGS": self.settings[name]})
        self.record(f"platform: starts {name}")

    def signal(self, name, what):
        self.record(f"platform: {what.name} to {name}")
        self.told[name] = what
        self.processes[name].send_signal(what)

    async def supervise(self):
        """Starts processes that have ended again after a second."""
        while True:
            await asyncio.sleep(0.02)
            for name, process in list(self.processes.items()):
                if name in self.restart_at:
                    if now_ms() >= self.restart_at[name]:
                        del self.restart_at[name]
                        self.launch(name)
                elif process.poll() is not None:
                    told = self.told.pop(name, None)
                    self.record(f"platform: {name} has ended, code "
                                f"{process.returncode}, told {told}")
                    if told is None:
                        self.own_ends.append((now_ms(), name))
                        self.record("  its last words: " + self.log_tail(name))
                    self.restart_at[name] = now_ms() + 1000

    def log_tail(self, name):
        with open(f"{self.work}/{name}.log", "rb") as f:
            lines = f.read().decode(errors="backslashreplace").splitlines()
        words = [x for x in lines if not x.startswith("{")]
        return " | ".join(words[-3:])

    def log(self, name):
        with open(f"{self.work}/{name}.log", "rb") as f:
            return f.read().decode(errors="backslashreplace")

    def owner(self):
        """The number of the entry that took over last, by the logs."""
        latest = (0, 0)
        for n in range(1, self.entries + 1):
            for line in self.log(f"entry-{n}").splitlines():
                if '"event":"took_over"' in line:
                    latest = max(latest, (json.loads(line)["unix_ms"], n))
        return latest[1]

    async def until(self, condition, seconds, what):
        end = now_ms() + seconds * 1000
        while now_ms() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"waited {seconds} s in vain until {what}")

    async def is_ready(self, n):
        status, _ = await http_call(self.entry_ip(n), self.base + self.READY,
                                    "GET", "/api/readyz", timeout=1.0)
        return status == 200

    async def start(self):
        await self.store.port.open(self.store_ip(), self.base + self.STORE)
        self.spawn(self.store.tick())
        self.store.put_config(self.config)
        for n in range(1, self.entries + 1):
            self.write_settings(f"entry-{n}", self.entry_ip(n), "entry")
            self.launch(f"entry-{n}")
        for n, server in self.servers.items():
            self.write_settings(f"agent-{n}", self.side_ip(n), "agent")
            self.launch(f"agent-{n}")
        self.spawn(self.supervise())
        await asyncio.sleep(0.3)
        for n, server in self.servers.items():
            await server.open(self.side_ip(n), self.base + self.APP,
                              self.base + self.CONTROL)
        for n in range(1, self.entries + 1):
            await self.until(lambda n=n: self.is_ready(n), 20,
                             f"entry-{n} is ready")
        await self.until(lambda: all(s.reports > 0
                                     for s in self.servers.values()), 20,
                         "all servers have reported")
        # As on the sites: traffic starts 10 s after the machines do.
        await asyncio.sleep(max(0, 10 - (now_ms() - self.begun) / 1000))
        self.record("client: traffic starts")

    async def call(self, entry, method, path, body=b"", key="key-1",
                   timeout=3.0, host=HOST):
        headers = {"Host": host, "X-Deadline-Ms": int(timeout * 1000)}
        if key:
            headers["Api-Key"] = key
        status, data = await http_call(
            self.entry_ip(entry), self.base + self.FRONT, method, path, body,
            headers, timeout + 0.3)
        self.record(f"client: {method} {path} {body[:120]!r} at entry-{entry} "
                    f"-> {status} {data[:120]!r}")
        return status, data

    async def submit(self, entry, job, steps, spec, queue=QUEUE, key="key-1"):
        body = json.dumps({"spec": spec, "steps": steps},
                          separators=(",", ":")).encode()
        return await self.call(entry, "POST", queue + job, body, key)

    async def state(self, entry, job, queue=QUEUE, key="key-1"):
        status, data = await self.call(entry, "GET", queue + job, key=key)
        return json.loads(data).get("state") if status == 200 else status

    def end(self):
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def play(folder, case, seconds=115, **options):
    """Plays a case and exits with its result. `case` gets the fleet and
    returns a text for what was broken, or an empty one."""
    async def run():
        fleet = Fleet(folder, **options)
        try:
            await fleet.start()
            broken = await case(fleet)
            verdict = BROKEN if broken else HELD
            fleet.record(f"result: {'BROKEN: ' + broken if broken else 'held'}")
        except CannotRun as e:
            fleet.record(f"result: could not run: {e}")
            verdict = NOT_RUN
        finally:
            fleet.end()
        return verdict

    try:
        verdict = asyncio.run(asyncio.wait_for(run(), seconds))
    except CannotRun as e:
        print(f"could not run: {e}", file=sys.stderr)
        verdict = NOT_RUN
    except asyncio.TimeoutError:
        print("could not run: out of time", file=sys.stderr)
        verdict = NOT_RUN
    with open(os.path.join(folder, "record.txt")) as f:
        print(f.read().splitlines()[-1] if verdict != NOT_RUN else "not run")
    sys.exit(verdict)
