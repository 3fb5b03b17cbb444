"""TWICE: a status report of another writer displaces a runner."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import TROUBLE, config, job, request, run_case


async def foreign_report(fleet, runner):
    """One status report of another writer: a service that isn't named in any
    configuration. It comes once."""
    report = dict(runner.report(), service="nobody", seq=1,
                  address="127.0.0.1:9", born=int(time.time() * 1000))
    status, _ = await request("127.0.0.1", runner.agent_port, "PUT",
                              "/api/instances/i-ffffffff", report,
                              {"Host": "127.0.0.1"})
    fleet.record(f"other writer: report of i-ffffffff, service 'nobody', to "
                 f"agent-{runner.number} -> {status}")


async def scenario(fleet):
    found = []

    def on_start(run):
        for other in fleet.running(run.task):
            if other is not run:
                found.append(f"TWICE: {run} and {other} ran at the same time")

    fleet.on_start = on_start
    await fleet.start(config())
    name = f"{0xe0:016x}"
    task = f"{name}.0.0.0"
    await fleet.call(1, "POST", f"/lohu930/{name}", job({"ms": 11000}))
    await fleet.until(lambda: fleet.running(task), 6, "the task runs")
    await asyncio.sleep(2)
    run = fleet.running(task)[0]
    if TROUBLE:
        await foreign_report(fleet, fleet.runner_of(run))
    await fleet.until(lambda: not fleet.running(task) and any(
        r.task == task and r.how == "done" for r in fleet.runs), 40,
        "the task is done")
    await asyncio.sleep(1)
    for r in fleet.runs:
        fleet.record(f"{r}: started {r.started} ms, {r.how} {r.ended} ms")
    return found[0] if found else None


run_case(scenario)
