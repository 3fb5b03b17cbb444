"""The processes of a fleet, its stand-ins, and the faults."""
import asyncio
import os
import random
import re
import shutil
import signal
import subprocess
from dataclasses import replace

import foreign_reports
from server import Server
from standins import (Caller, Link, Port, Store, fleet, now_ms,
                      first_to_carry_out)

GRACE_MS = 6000


class Soak(fleet.Fleet):
    def __init__(self, plan, folder, binaries):
        self.slot = os.getpid() % 250 + 1
        self.host = f"127.0.{self.slot}.1"
        # Apart from the other ports, which meet with eleven servers.
        self.heartbeat_host = f"127.0.{self.slot}.2"
        self.plan, self.binaries = plan, binaries
        super().__init__(folder, plan.entries, plan.servers)
        shutil.rmtree(self.work)
        self.work = folder
        # Links have ports of their own.
        addresses = [self.host, self.heartbeat_host]
        for n in range(1, plan.entries + 1):
            addresses += [self.entry_host(n), self.link_host(n)]
        self.base = fleet.free_port_base(addresses, 60)
        self.store = Store(self.record)
        self.told, self.launched, self.delays = {}, {}, {}
        self.broken = []
        self.jobs = {}
        self.working = {}   # Members of complete gangs: since when.
        self.callers = [Caller(self) for _ in range(10)]

    def entry_host(self, n):
        return f"127.0.{self.slot}.{10 + n}"

    def link_host(self, n):
        return f"127.0.{self.slot}.{20 + n}"

    def link_port(self, agent):
        return self.base + 40 + agent

    def later(self, seconds, work, *arguments):
        async def wait():
            await asyncio.sleep(seconds)
            await work(*arguments)
        self.spawn(wait())

    def write_settings(self):
        super().write_settings()
        links = ", ".join(f"{self.link_host(n)}:1"
                          for n in range(1, self.entry_count + 1))
        for n in range(1, self.entry_count + 1):
            self.edit(f"entry-{n}", {
                r"store: .*": f"store: {self.host}:{self.base + 4 + n}"})
        for n in range(1, self.runner_count + 1):
            self.edit(f"agent-{n}", {
                r"\bip: .*": f"ip: {self.host}",
                r"backend_server: [\d.]*": f"backend_server: {self.host}",
                r"heartbeats: [\d.]*": f"heartbeats: {self.heartbeat_host}",
                r"entry_port: .*": f"entry_port: {self.link_port(n)}",
                r"entries: .*": f"entries: [{links}]"})

    def edit(self, name, changes):
        with open(f"{self.work}/{name}.yaml") as f:
            text = f.read()
        for pattern, replacement in changes.items():
            text = re.sub(pattern, replacement, text)
        with open(f"{self.work}/{name}.yaml", "w") as f:
            f.write(text)

    def launch(self, name):
        program, verb = "agent/celerylift-agent", "fleet"
        if name.startswith("entry"):
            program, verb = "entry/celerylift", "fleet-entry"
        with open(f"{self.work}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [f"{self.binaries}/modules/{program}", verb], stdout=log,
                stderr=log, stdin=subprocess.DEVNULL, cwd=self.work,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.work,
                     "CELERYLIFT_SETTINGS": f"{self.work}/{name}.yaml"})
        self.launched[name] = now_ms()
        self.record(f"platform: {name} started")

    def signal(self, name, what, delay=1.0):
        process = self.processes[name]
        if process.poll() is not None or name in self.restart:
            return
        self.record(f"platform: {what.name} to {name}")
        if what in (signal.SIGKILL, signal.SIGTERM):
            self.told[name] = what
            self.delays[name] = delay
        process.send_signal(what)

    async def supervise(self):
        while True:
            await asyncio.sleep(0.02)
            for name, process in list(self.processes.items()):
                if name in self.restart:
                    if now_ms() >= self.restart[name]:
                        del self.restart[name]
                        self.launch(name)
                elif process.poll() is not None:
                    self.on_end(name, process.returncode)

    def on_end(self, name, code):
        told = self.told.pop(name, None)
        early = now_ms() < self.launched[name] + 1000
        self.record(f"platform: {name} has ended ({code}, told {told})")
        clean = told == signal.SIGKILL or (
            told == signal.SIGTERM and (code == 0 or early and code == -15))
        if not clean:
            self.broken.append(f"ENDED {name} code {code} at {now_ms()}")
        self.restart[name] = now_ms() + int(1000 * self.delays.pop(name, 1))

    async def add_server(self, number, life=1, name=None):
        server = Server(self, number, life,
                        name or f"i-{number:04x}{life:04x}")
        self.runners[number] = server
        await server.server.open()
        self.spawn(server.send_reports())
        self.spawn(server.advance())

    async def start(self, config):
        self.write_settings()
        self.fronts = {n: await Port(self, self.base + 4 + n,
                                      self.store.handle, (1, 6)).open()
                       for n in range(1, self.entry_count + 1)}
        self.links = {(n, agent): await Link(self, n, agent).open()
                      for n in self.fronts
                      for agent in range(1, self.runner_count + 1)}
        self.put_config(config)
        for n in range(1, self.runner_count + 1):
            await self.add_server(n)
        for name in [f"entry-{n}" for n in self.fronts] + [
                f"agent-{n}" for n in self.runners]:
            self.launch(name)
        self.spawn(self.supervise())
        for n in self.fronts:
            await self.until(lambda n=n: self.is_ready(n), 30,
                             f"entry-{n} is ready")
        await asyncio.sleep(3)

    def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    # Targets: what decides or works is hit more often than the rest.

    def entry_of(self, fault):
        if fault.pick < 0.5:
            return self.owner()
        return 1 + int(fault.pick * 1000) % self.entry_count

    def server_of(self, fault):
        if fault.pick < 0.5:
            return max(self.runners.values(), key=lambda s: len(s.running))
        numbers = sorted(self.runners)
        return self.runners[numbers[int(fault.pick * 1000) % len(numbers)]]

    def fronts_of(self, fault):
        if fault.pick < 0.5:
            return list(self.fronts.values())
        return [self.fronts[self.entry_of(fault)]] if fault.pick < 0.8 else [
            front for n, front in self.fronts.items() if n != self.owner()]

    async def play(self, fault):
        await asyncio.sleep(fault.at)
        self.record(f"fault: {fault}")
        target, kind = fault.kind.split("_")
        await getattr(self, f"disturb_{target}")(kind, fault)
        self.record(f"fault: {fault.kind} of {fault.at:.1f} s is over")

    async def stop_process(self, name, kind, fault):
        process = self.processes[name]
        if kind == "kill":
            self.signal(name, signal.SIGKILL, fault.delay)
        elif kind == "freeze":
            self.signal(name, signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        else:
            self.signal(name, signal.SIGTERM, fault.delay)
            end = now_ms() + GRACE_MS
            while process.poll() is None and now_ms() < end:
                await asyncio.sleep(0.1)
            if process.poll() is None:
                self.signal(name, signal.SIGKILL, fault.delay)
        await asyncio.sleep(fault.delay + 0.5)

    async def disturb_entry(self, kind, fault):
        await self.stop_process(f"entry-{self.entry_of(fault)}", kind, fault)

    async def disturb_agent(self, kind, fault):
        await self.stop_process(f"agent-{self.server_of(fault).number}", kind,
                                fault)

    async def disturb_host(self, kind, fault):
        if kind == "deaf":  # Its agent is back before the leases end.
            fault = replace(fault, pick=0, seconds=4 + fault.seconds / 2,
                            delay=fault.delay / 3)
        server = self.server_of(fault)
        self.signal(f"agent-{server.number}", signal.SIGKILL, fault.delay)
        if kind == "deaf":
            await self.disturb([server.server], "silent", fault)
        else:
            await self.crash(server, fault)

    async def disturb_store(self, kind, fault):
        ports = self.fronts_of(fault)
        if len(ports) == len(self.fronts) and fault.share < 0.5 \
                and kind in ("silent", "refuse"):
            self.spawn(self.store.pause_leases(fault.seconds))
        if kind == "refuse":
            if fault.share < 0.75:
                await first_to_carry_out(ports)
            return await asyncio.gather(*(port.refuse(fault.seconds)
                                          for port in ports))
        await self.disturb(ports, kind, fault)

    async def disturb_server(self, kind, fault):
        server = self.server_of(fault)
        if kind == "crash":
            return await self.crash(server, fault)
        if kind == "leave":
            return await self.leave(server, fault)
        if kind == "refuse":
            port = server.server
            if fault.share < 0.75:
                port = await first_to_carry_out(
                    [s.server for s in self.runners.values()]) or port
            return await port.refuse(fault.seconds)
        server.muted += fault.share < 0.5
        await self.disturb([server.server], kind, fault)
        server.muted -= fault.share < 0.5

    async def disturb(self, ports, kind, fault):
        trouble = (kind, 1 if kind == "silent" else max(0.3, fault.share))
        for port in ports:
            port.troubles.append(trouble)
        await asyncio.sleep(fault.seconds)
        for port in ports:
            port.troubles.remove(trouble)
        if kind == "late":
            await asyncio.sleep(ports[0].late_s[1])

    async def crash(self, server, fault):
        if not server.up:
            return
        server.crash()
        await asyncio.sleep(fault.delay)
        await self.add_server(server.number, server.life + 1,
                              server.id if fault.share < 0.7 else None)

    async def leave(self, server, fault):
        """Planned: it drains, announces its end and comes back anew."""
        if not server.up or server.is_draining:
            return
        await server.drain(int(400 * fault.seconds))
        if not server.up:   # It has crashed.
            return
        is_answer_lost = fault.share < 0.5
        server.leave(answer_s=0.005 if is_answer_lost else 1)
        await asyncio.sleep(fault.delay)
        await self.add_server(server.number, server.life + 1,
                              server.id if fault.pick * 100 % 1 < 0.6
                              else None)

    async def disturb_writer(self, _, fault):
        """Another writer sends status reports to the agent of a server."""
        number = self.server_of(fault).number
        rng = random.Random(fault.pick)
        forms = foreign_reports.choose_forms(rng)
        end = now_ms() + 1000 * fault.seconds
        while now_ms() < end:
            server = self.runners[number]
            name, body = foreign_reports.spoil(rng.choice(forms), server)
            await fleet.request(self.heartbeat_host, server.agent_port, "PUT",
                                f"/api/instances/{name}", body,
                                {"Host": self.heartbeat_host}, timeout=1.0)
            await asyncio.sleep(fault.delay / 3)

    async def disturb_link(self, _, fault):
        number = self.server_of(fault).number
        entries = self.fronts if fault.share < 0.5 else [self.owner()]
        await asyncio.gather(*(self.links[n, number].cut(fault.seconds)
                               for n in entries))
