"""LOST: the operator replaces a route by one with another name; the jobs that
were accepted on it never go on."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEED = {"cpu": 1000, "mem_mb": 100, "gpu": 1}
FIRST = {"count": 1, "est_duration_ms": 3000, **NEED}
JOB, LATER = "00000000000000d1", "00000000000000d2"


async def scenario(fleet):
    config = p.config()
    await fleet.start(config)
    await fleet.submit(1, JOB, json.dumps({"ms": 3000}),
                       [FIRST, {**FIRST, "after": [0]}])
    await asyncio.sleep(1)
    # One version adds a route and removes one. Host, prefix, service and all
    # else are the same. Without the trouble, a time-out changes.
    config["version"] = 9
    if TROUBLE:
        config["routes"][0]["name"] = "r-2"
    config["routes"][0]["timeout_ms"] = 2900
    fleet.put_config(config)
    await asyncio.sleep(6)      # More than config_apply_ms and stable_ms.
    await fleet.submit(2, LATER, json.dumps({"ms": 500}), [FIRST])
    await p.ask_after_traffic(fleet, [JOB, LATER])


sys.exit(p.play(HERE, scenario, lambda fleet: p.lost(fleet, NEED),
                entries=3, runners=2, behaviour=p.work_of))
