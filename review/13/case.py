"""Three jobs that can never be done, and then a gang on idle servers."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import FINISH_MS, TROUBLE, now_ms, play

SERVERS, ORDINARY, HOPELESS = 6, 57, 3      # A share of 0.05 is hopeless.
GANG = [{"count": 2, "cpu": 4000, "mem_mb": 4000, "gpu": 1,
         "est_duration_ms": 300, "gang": True}]
SINGLE = [{"count": 1, "cpu": 4000, "mem_mb": 4000, "gpu": 1,
           "est_duration_ms": 300}]


def job_id(n):
    return f"{0x5c0e7a21d94b3000 + n:016x}"


async def finish(fleet, jobs, seconds):
    """Waits until the jobs have ended. Returns those that have not."""
    end, left = now_ms() + seconds * 1000, list(jobs)
    while left and now_ms() < end:
        await asyncio.sleep(0.5)
        left = [job for job in left if await fleet.state(2, job) not in (
            "completed", "failed")]
    return left


async def case(fleet):
    ordinary = [job_id(n) for n in range(ORDINARY)]
    for n, job in enumerate(ordinary):
        await fleet.submit(1 + n % fleet.entries, job, GANG, "ms=300 gang=2")
        await asyncio.sleep(0.1)
    left = await finish(fleet, ordinary, 20)
    fleet.record(f"ordinary jobs that have not ended: {left}")
    hopeless = [job_id(0x100 + n) for n in range(HOPELESS)]
    spec = "ms=100 never=1" if TROUBLE else "ms=100"
    for n, job in enumerate(hopeless):
        await fleet.submit(1 + n % fleet.entries, job, SINGLE, spec)
        await asyncio.sleep(0.5)
    left = await finish(fleet, hopeless, 10)
    fleet.record(f"hopeless jobs that have not ended: {left}")
    await asyncio.sleep(5)
    last = job_id(0x200)
    status, _ = await fleet.submit(3, last, GANG, "ms=300 gang=2")
    sent = now_ms()
    left = await finish(fleet, [last], (FINISH_MS + 4000) / 1000)
    started = [start for start in fleet.starts if start[2].startswith(last)]
    busy = [n for n, server in fleet.servers.items() if server.running]
    fleet.record(f"the last job: {status}, starts: {started}; servers with "
                 f"work: {busy}")
    if status == 200 and left and not started:
        return (f"an accepted job has had nothing running for "
                f"{(now_ms() - sent) / 1000:.0f} s; all {SERVERS} servers are "
                "idle and healthy")
    return ""


play(HERE, case, servers=SERVERS)
