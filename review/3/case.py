"""UNASKED: after a change of the owner a cancelled job runs on."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import BOUNDS, TROUBLE, config, job, now_ms, run_case


ROUNDS = 3
GAP_S = 1.3         # roll_term of the site: gap_s 1.15 to 2, one at a time.
CANCEL_AFTER_S = 0.4


async def one_round(fleet, number):
    name = f"{number:016x}"
    await fleet.call(1, "POST", f"/lohu930/{name}",
                     job({"ms": None}, long_running=True))
    await fleet.until(lambda: fleet.running(f"{name}.0.0.0"), 5,
                      "the task runs")
    await asyncio.sleep(2)
    run = fleet.running(f"{name}.0.0.0")[0]
    agent = f"agent-{fleet.runner_of(run).number}"
    owner = fleet.owner()
    other = owner % 3 + 1
    if TROUBLE:  # A rolling restart: this agent, then the owner.
        fleet.signal(agent, signal.SIGTERM)
    await asyncio.sleep(CANCEL_AFTER_S)
    status, _ = await fleet.call(other, "DELETE", f"/lohu930/{name}")
    if status != 200:
        return None
    await asyncio.sleep(GAP_S - CANCEL_AFTER_S)
    if TROUBLE:
        fleet.signal(f"entry-{owner}", signal.SIGTERM)
        # It drains for some seconds and is started again.
        await fleet.until(lambda: f"entry-{owner}" in fleet.restart, 8,
                          "the owner has ended")
        await fleet.until(lambda: f"entry-{owner}" not in fleet.restart, 8,
                          "the owner has started")
        await fleet.until(lambda: fleet.is_ready(owner), 8, "it is ready")
    # Nothing is disturbed from here on.
    calm = (BOUNDS["stable_ms"] + BOUNDS["cancel_ms"]
            + BOUNDS["stop_timeout_ms"] + 600)
    await asyncio.sleep(calm / 1000)
    await fleet.call(other, "GET", f"/lohu930/{name}")
    left = [r for r in fleet.running() if r.task.startswith(name)]
    for r in left:
        fleet.record(f"{r} is at work {calm} ms after the last disturbance; "
                     "its lease was extended "
                     f"{now_ms() - fleet.runner_of(r).last_lease} ms ago")
    return left


async def scenario(fleet):
    await fleet.start(config())
    for number in range(1, ROUNDS + 1):
        left = await one_round(fleet, 0xa0 + number)
        if left:
            return f"UNASKED: {left[0]} was never stopped"
    return None


run_case(scenario)
