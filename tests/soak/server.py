"""One life of a backend server: its lease and its reports."""
from standins import RESET, Port, fleet, now_ms


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
        self.server = Port(soak, self.port, self.carry_out, (2, 12))

    def clock(self):
        return int((now_ms() - self.boot) * self.rate)

    def report(self):
        return dict(super().report(),
                    address=f"{self.fleet.host}:{self.port}")

    async def send_report(self):
        if not self.muted:
            host = self.fleet.heartbeat_host
            await fleet.request(host, self.agent_port, "PUT",
                                f"/api/instances/{self.id}", self.report(),
                                {"Host": host}, timeout=1.0)

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
