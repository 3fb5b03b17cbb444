"""LOST: after a restart no entry can read the jobs, and nothing runs."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import TROUBLE, config, job, now_ms, run_case

LINK_MBPS = 2.0     # The entries of solano-techos-grown, small.
PROCESSOR_SHARE = 0.12
JOBS = 120
SPEC_BYTES = 4000   # "a string of up to 4,000 bytes"
DOWN_S = 1.2        # closing: kill_all, down_s 1.2.
FINISH_S = 14


def job_of(ms):
    padded = job({"ms": ms, "text": ""}, gpu=0)
    text = padded["spec"][:-2]
    padded["spec"] = text + "x" * (SPEC_BYTES - len(text) - 2) + '"}'
    return padded


async def scenario(fleet):
    await fleet.start(config())
    names = [f"{0x400 + n:016x}" for n in range(JOBS)]
    accepted = []
    for n, name in enumerate(names):
        status, _ = await fleet.call(n % 3 + 1, "POST", f"/lohu930/{name}",
                                     job_of(15000), show="a job")
        if status == 200:
            accepted.append(name)
        await asyncio.sleep(0.05)
    if TROUBLE:  # All processes are killed, and started again.
        fleet.start_delay_s = DOWN_S
        for process in list(fleet.processes):
            fleet.signal(process, signal.SIGKILL)
    # The end of the traffic. Jobs are asked for finish_s later.
    await asyncio.sleep(FINISH_S + 12)
    idle_since = {}
    for _ in range(200):
        await asyncio.sleep(0.1)
        for name in accepted:
            if any(r.task.startswith(name) for r in fleet.running()):
                idle_since.pop(name, None)
            else:
                idle_since.setdefault(name, now_ms())
    done = {r.task.split(".")[0] for r in fleet.runs if r.how == "done"}
    lost = [name for name in accepted if name not in done
            and now_ms() - idle_since.get(name, now_ms()) > 3000]
    ready = [await fleet.is_ready(n) for n in (1, 2, 3)]
    fleet.record(f"entries ready: {ready}; {len(accepted)} jobs accepted, "
                 f"{len(done)} done, {len(fleet.running())} running")
    await fleet.call(1, "GET", f"/lohu930/{(lost or accepted)[0]}")
    if lost:
        return (f"LOST: {len(lost)} of {len(accepted)} jobs are never run on, "
                f"{FINISH_S} s after the traffic, while all servers are idle")
    return None


run_case(scenario, link_mbps=LINK_MBPS, processor_share=PROCESSOR_SHARE)
