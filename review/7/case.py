"""LOST: a report of another writer, with a service that isn't named, takes a
runner out of use for good."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEED = {"cpu": 1000, "mem_mb": 100, "gpu": 1}
STEPS = [{"count": 2, "est_duration_ms": 500, **NEED}]
BEFORE, AFTER = "00000000000000c1", "00000000000000c2"


async def foreign_report(fleet, runner):
    """Another writer's report: a copy of the runner's, but of a service that
    isn't named, and with a count of its own, which follows the time."""
    report = runner.report()
    runner.seq -= 1             # The runner's own count goes on as it was.
    report.update(service="nobody", seq=int(time.time()))
    status, data = await p.request(
        fleet.side_host(runner.number), fleet.base + 6, "PUT",
        f"/api/instances/{runner.id}", report)
    fleet.record(f"another writer: a report of service 'nobody' to agent-"
                 f"{runner.number}, id {runner.id}, seq {report['seq']} -> "
                 f"{status} {data[:80]!r}")


async def scenario(fleet):
    await fleet.start(p.config())
    await fleet.submit(1, BEFORE, json.dumps({"ms": 500}), STEPS)
    await asyncio.sleep(2)
    if TROUBLE:
        for runner in fleet.runners.values():
            await foreign_report(fleet, runner)
    await asyncio.sleep(4)      # More than stable_ms; two own reports.
    await fleet.submit(2, AFTER, json.dumps({"ms": 500}), STEPS)
    await p.ask_after_traffic(fleet, [BEFORE, AFTER])


sys.exit(p.play(HERE, scenario, lambda fleet: p.lost(fleet, NEED),
                entries=3, runners=2, behaviour=p.work_of))
