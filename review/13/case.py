"""Another writer's status reports reach the agents once each."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import FINISH_MS, TROUBLE, now_ms, play

STEPS = [{"count": 2, "cpu": 4000, "mem_mb": 2000, "gpu": 1,
          "est_duration_ms": 500}]


def other_writer(server):
    """A report like the server's own, for a service that isn't named here.
    Its writer counts its calls by itself, and has made more of them."""
    seq = server.seq
    report = dict(server.report(), service="order-desk-old", seq=seq + 5000)
    server.seq = seq
    return report


async def case(fleet):
    first, later = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
    await fleet.submit(1, first, STEPS, "ms=500")
    await fleet.until(lambda: len(fleet.ends) == 2, 20, "the first job is done")
    if TROUBLE:
        for server in fleet.servers.values():
            status, _ = await server.send(other_writer(server))
            fleet.record(f"another writer: report to agent-{server.number} of "
                         f"{server.id} for order-desk-old -> {status}")
    await asyncio.sleep(3)
    status, _ = await fleet.submit(1, later, STEPS, "ms=500")
    sent = now_ms()
    if status != 200:
        fleet.record("the job was not accepted")
        return ""
    while now_ms() < sent + FINISH_MS + 3000 and await fleet.state(
            2, later) != "completed":
        await asyncio.sleep(1)
    started = [s for s in fleet.starts if s[2].startswith(later)]
    reports = {n: s.seq for n, s in fleet.servers.items()}
    fleet.record(f"own reports so far, by server: {reports}")
    if started:
        return ""
    return (f"an accepted job has had nothing running for "
            f"{(now_ms() - sent) / 1000:.0f} s, and all servers are idle")


play(HERE, case)
