"""Fault: entries end by themselves when the machines of two of twelve runners
were cut off for three seconds."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUTS, CUT_S, CALM_S = 10, 3.0, 6.0
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 100, "gpu": 1,
          "est_duration_ms": 1000}]


async def scenario(fleet):
    fleet.allows_own_ends = True    # They are what is counted.
    links = p.CutLinks(fleet)
    fleet.relays = {"agent-1": links, "agent-2": links}
    await links.open()
    await fleet.start(p.config())
    for n in range(CUTS):
        if TROUBLE:
            fleet.record("network: the machines of runners 1 and 2 are cut off")
            await links.cut(CUT_S)
            fleet.record("network: they are back")
        else:
            await asyncio.sleep(CUT_S)
        await fleet.submit(n % fleet.entries + 1, f"{0xab0000000000 + n:016x}",
                           json.dumps({"ms": 1000}), STEPS)
        await asyncio.sleep(CALM_S)


def judge(fleet):
    """Fault: on a tenth of the machines in use (two at least) processes end by
    themselves three times in the day with no disturbance there."""
    fleet.record(f"ended by themselves: {fleet.own_ends}")
    machines = fleet.entries + fleet.runner_count
    often = sorted(name for name, ends in fleet.own_ends.items() if ends >= 3)
    if len(often) < max(2, machines / 10):
        return []
    return [f"Fault: of {machines} machines {len(often)} ({', '.join(often)}) "
            f"have processes that ended by themselves three times or more: "
            f"{fleet.own_ends}"]


sys.exit(p.play(HERE, scenario, judge, entries=3, runners=12,
                behaviour=p.work_of))
