"""One life of a backend server: its runs, its lease, its reports, its end."""
import asyncio

import gangs
from standins import RESET, Port, fleet, now_ms

DRAIN_MS = 2000     # drain_ms: how long it serves on once its agent knows.


class Server(fleet.Runner):
    """One life of a backend server."""

    def __init__(self, soak, number, life, name):
        super().__init__(soak, number, soak.base + 10 + number,
                         soak.base + 20 + number)
        self.id, self.name = name, f"server {number}.{life}"
        self.life = life
        self.rate = soak.plan.clock_rates[number - 1]
        self.lapsed_at = -1
        self.muted = 0          # No status reports are sent.
        self.is_draining = False
        self.leaves_at = None   # Once the agent knows that it drains.
        self.drain_noted = asyncio.Event()
        self.server = Port(soak, self.port, self.carry_out, (2, 12))

    def clock(self):
        return int((now_ms() - self.boot) * self.rate)

    def report(self):
        report = dict(super().report(),
                      address=f"{self.fleet.host}:{self.port}")
        if self.is_draining:
            left = DRAIN_MS if self.leaves_at is None \
                else max(0, self.leaves_at - now_ms())
            report.update(state="draining", remaining_ms=left)
        return report

    async def call_agent(self, method, body=b"", timeout=1.0):
        """Returns whether the agent has acknowledged the call."""
        host = self.fleet.heartbeat_host
        status, _ = await fleet.request(host, self.agent_port, method,
                                        f"/api/instances/{self.id}", body,
                                        {"Host": host}, timeout=timeout)
        return status is not None and 200 <= status < 300

    async def send_report(self):
        if not self.muted:
            report = self.report()
            noted = await self.call_agent("PUT", report)
            if noted and report["state"] == "draining":
                self.drain_noted.set()

    async def drain(self, extra_ms):
        """Reports that it drains. Serves on for DRAIN_MS and `extra_ms` after
        the acknowledgement, or after 5 s without one."""
        self.record(f"{self.name}: drains")
        self.is_draining = True
        self.fleet.spawn(self.send_report())
        try:
            await asyncio.wait_for(self.drain_noted.wait(), 5)
        except asyncio.TimeoutError:
            self.record(f"{self.name}: has no acknowledgement")
        self.leaves_at = now_ms() + DRAIN_MS + extra_ms
        while self.up and now_ms() < self.leaves_at:
            await asyncio.sleep(0.02)

    def leave(self, answer_s):
        """Announces its end, and ends at once with all that it runs. The
        connection of the announcement is closed after `answer_s` without an
        answer."""
        self.record(f"{self.name}: announces its end")
        if not self.muted:
            self.fleet.spawn(self.call_agent("DELETE", timeout=answer_s))
        self.crash()

    def crash(self):
        lost = list(self.running.values())
        super().crash()
        for run in lost:
            if gangs.is_member(run):
                self.fleet.spawn(self.fleet.break_gang(run))

    async def advance(self):
        while self.up:
            await asyncio.sleep(0.01)
            self.expire()
            for run in list(self.running.values()):
                self.advance_run(run)

    def advance_run(self, run):
        spec = fleet.behaviour(run.spec)
        since = gangs.works_since(self.fleet, run)
        if since is None:
            if now_ms() >= run.started + gangs.TIMEOUT_MS:
                self.end(run, "alone")
        elif is_to_fail(run, spec):
            if now_ms() >= since + spec["fail_ms"]:
                self.end(run, "failed")
        elif now_ms() >= since + spec["ms"]:
            if gangs.is_member(run):
                gangs.end_done(self.fleet, run)
            else:
                self.end(run, "done")

    def percent(self, run):
        since = gangs.works_since(self.fleet, run)
        if since is None:
            return 0
        length = fleet.behaviour(run.spec)["ms"]
        return min(99, (now_ms() - since) * 100 // length)

    def expire(self):
        """A lease that has ended isn't extended any more."""
        if self.up and self.clock() >= self.deadline:
            self.lapsed_at = now_ms()
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    async def hold(self, body):
        for run in self.finished:   # Its acknowledgement doesn't count.
            run.void = run.void or self.lapsed_at > run.ended
        return await super().hold(body)

    async def carry_out(self, *call):
        self.expire()
        try:
            return await self.handle(*call)
        except ConnectionError:     # It has crashed.
            return RESET


def is_to_fail(run, spec):
    index = int(run.task.rsplit(".", 1)[1])
    return (run.run in spec.get("fail_runs", [])
            and spec.get("fail_index", index) == index)
