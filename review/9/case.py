"""UNASKED: a job whose cancelling was acknowledged is started seconds later,
because the write of its submission was done late."""
import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS = [{"count": 1, "cpu": 100, "mem_mb": 10, "est_duration_ms": 2000}]
JOBS = [f"{0xf00000000000 + n:016x}" for n in range(40)]
PATIENCE_S = 0.8            # X-Deadline-Ms of these clients.
LOST_SHARE, LOST_S, LATE_S = 0.3, 1.5, (4.5, 6.0)   # platform_lost, late
CANCEL_MS, STABLE_MS = 3000, 3000


async def lose(entry, method, path, query, body, carry_out):
    """A share of the writes is done late and not answered."""
    if path != "/api/kv-txn" or random.random() >= LOST_SHARE:
        return await carry_out()

    async def later():
        await asyncio.sleep(random.uniform(*LATE_S))
        await carry_out()
    asyncio.ensure_future(later())
    return p.HANG


async def client(fleet, number, job):
    """Hands a job in, and cancels it as soon as it has an answer or has waited
    for long enough."""
    await fleet.submit(number % fleet.entries + 1, job,
                       json.dumps({"ms": 2000}), STEPS, timeout=PATIENCE_S)
    for other in (1, 2):
        status, _ = await fleet.call((number + other) % fleet.entries + 1,
                                     "DELETE", job)
        if status == 410 or status is not None and 200 <= status < 300:
            fleet.cancelled[job] = p.now_ms()
            return


async def scenario(fleet):
    await fleet.start(p.config())
    fleet.cancelled, fleet.calm_from = {}, 0
    clients = []
    if TROUBLE:
        fleet.record("platform: answers of the store are lost")
        fleet.store_trouble = lose
    for number, job in enumerate(JOBS):
        clients.append(asyncio.ensure_future(client(fleet, number, job)))
        await asyncio.sleep(LOST_S / len(JOBS))
    fleet.store_trouble = None
    if TROUBLE:
        fleet.record("platform: no answers of the store are lost any more")
        fleet.calm_from = p.now_ms()
    await asyncio.gather(*clients)
    await asyncio.sleep(LATE_S[1] + 4)


def judge(fleet):
    """UNASKED: a machine in touch starts a task later than `cancel_ms` after
    the job's cancelling was acknowledged."""
    found = []
    for run in fleet.all_runs:
        acked = fleet.cancelled.get(run.task.split(".")[0])
        if (acked and run.started > acked + CANCEL_MS
                and run.started > fleet.calm_from + STABLE_MS):
            found.append(
                f"UNASKED: {run.task} starts on runner {run.runner.number} at "
                f"{run.started - fleet.began:.0f}, its cancelling was "
                f"acknowledged at {acked - fleet.began:.0f}; it ends "
                f"{run.how} after "
                f"{(run.ended or p.now_ms()) - run.started:.0f} ms")
    fleet.record(f"{len(fleet.cancelled)} of {len(JOBS)} jobs were cancelled "
                 "with an acknowledgement")
    return found


sys.exit(p.play(HERE, scenario, judge, entries=3, runners=2,
                behaviour=p.work_of))
