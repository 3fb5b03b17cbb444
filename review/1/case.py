"""LOST: a job whose server is lost for good is never started again."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import TROUBLE, config, job, now_ms, run_case

FINISH_S = 14
DARK_S = 3.5        # node_kill power of the site.
LATER_JOBS = 6


async def scenario(fleet):
    await fleet.start(config())
    names = [f"{0xf0 + n:016x}" for n in range(1 + LATER_JOBS)]
    task = f"{names[0]}.0.0.0"
    await fleet.call(1, "POST", f"/lohu930/{names[0]}", job({"ms": 9000}))
    await fleet.until(lambda: fleet.running(task), 6, "the task runs")
    await asyncio.sleep(1)
    runner = fleet.runner_of(fleet.running(task)[0])
    if TROUBLE:
        # The machine loses power. The agent is started again when it is back;
        # the backend server is lost for good.
        runner.crash()
        fleet.start_delay_s = DARK_S
        fleet.signal(f"agent-{runner.number}", signal.SIGKILL)
    await asyncio.sleep(9)
    for name in names[1:]:
        await fleet.call(2, "POST", f"/lohu930/{name}",
                         job({"ms": 1000}, count=2))
        await asyncio.sleep(0.5)
    # The end of the traffic. Jobs are asked for finish_s later.
    await asyncio.sleep(FINISH_S)
    idle_since = {}
    for _ in range(150):
        await asyncio.sleep(0.1)
        for name in names:
            if any(r.task.startswith(name) for r in fleet.running()):
                idle_since.pop(name, None)
            else:
                idle_since.setdefault(name, now_ms())
    lost = []
    for name in names:
        _, answer = await fleet.call(2, "GET", f"/lohu930/{name}")
        idle = now_ms() - idle_since.get(name, now_ms())
        if b"completed" not in answer and idle > 3000:
            lost.append(name)
            fleet.record(f"{name}: nothing has run for {idle} ms")
    if lost:
        return (f"LOST: {len(lost)} jobs are never run on, {FINISH_S} s after "
                "the traffic, while five servers are idle: " + ", ".join(lost))
    return None


run_case(scenario)
