"""A job of many tasks whose checkpoints are longer than 16 digits."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import FINISH_MS, TROUBLE, now_ms, play

LARGE, TASKS, TASK_MS = "5c0e7a21d94b36f8", 4000, 12_000
SMALL = ["1c0e7a21d94b36f8", "9c0e7a21d94b36f8"]
CHECKPOINT_S = 1
# The same work with checkpoints as long as those in PROTOCOL.md is calm.
LENGTH = 256 if TROUBLE else 16


def checkpoint(run):
    saved = (now_ms() - run.started) // (CHECKPOINT_S * 1000)
    text = f"{run.number:04x}{saved:04x}{hash(run.task) % (1 << 32):08x}"
    return text.ljust(LENGTH, "7") if saved > 0 else ""


async def case(fleet):
    for server in fleet.servers.values():
        server.checkpoint = checkpoint
    await fleet.submit(1, LARGE, [
        {"count": TASKS, "cpu": 10, "mem_mb": 10, "est_duration_ms": TASK_MS,
         "checkpointable": True, "anti_affinity": 1400}], f"ms={TASK_MS}")
    await fleet.until(lambda: len(fleet.starts) >= TASKS, 40, "all run")
    await asyncio.sleep(4)
    accepted, sent = [], now_ms()
    for entry, job in enumerate(SMALL, 1):
        status, _ = await fleet.submit(entry, job, [
            {"count": 1, "cpu": 1000, "mem_mb": 100,
             "est_duration_ms": 500}], "ms=500")
        if status == 200:
            accepted.append(job)
    while now_ms() < sent + FINISH_MS + 6000:
        await asyncio.sleep(1)
        states = [await fleet.state(1, job) for job in accepted]
    states.append(await fleet.state(1, LARGE))
    unstarted = [job for job in accepted
                 if not any(s[2].startswith(job) for s in fleet.starts)]
    unnoted = len(fleet.ends) - len(fleet.noted)
    fleet.record(f"states: {states}; ends listed: {len(fleet.ends)}, taken "
                 f"note of: {len(fleet.noted)}")
    if unstarted:
        return (f"{len(unstarted)} accepted jobs have had nothing running for "
                f"{(now_ms() - sent) / 1000:.0f} s on a service that is mostly "
                f"idle; {unnoted} ends were not taken note of")
    if unnoted > len(fleet.ends) / 5:
        return f"{unnoted} ends were not taken note of"
    return ""


play(HERE, case)
