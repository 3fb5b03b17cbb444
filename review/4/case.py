"""TWICE: a restarted agent gives up runs that still hold their lease."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import TROUBLE, config, job, run_case


SILENT_S = 5.5      # srv_grey hang of the site: x 1.0 for 5.5 s.


async def scenario(fleet):
    found = []

    def on_start(run):
        others = [r for r in fleet.running(run.task) if r is not run]
        for other in others:
            fleet.record(f"{run} began while {other} was running")
            found.append(f"TWICE: {run} and {other} ran at the same time")

    fleet.on_start = on_start
    await fleet.start(config())
    for number in range(1, 5):
        name = f"{0xb0 + number:016x}"
        await fleet.call(1, "POST", f"/lohu930/{name}", job({"ms": 11000}))
        task = f"{name}.0.0.0"
        await fleet.until(lambda: fleet.running(task), 6, "the task runs")
        await asyncio.sleep(2)
        run = fleet.running(task)[0]
        runner = fleet.runner_of(run)
        if TROUBLE:
            fleet.signal(f"agent-{runner.number}", signal.SIGKILL)
            runner.answers = False
            fleet.record(f"{runner.name}: leaves calls without an answer")
            await asyncio.sleep(SILENT_S)
            runner.answers = True
            fleet.record(f"{runner.name}: answers again")
        await fleet.until(lambda: not fleet.running(task) and any(
            r.task == task and r.how == "done" for r in fleet.runs), 30,
            "the task is done")
        await asyncio.sleep(1)
        if found:
            return found[0]
    return None


run_case(scenario)
