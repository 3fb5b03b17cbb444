"""The only server with room is unhealthy and refuses each start."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import QUEUE, TROUBLE, VISIBLE_MS, now_ms, play

SERVERS = 7     # One of them is a share of 0.143.
FILLING = "5c0e7a21d94b36f8"
WAITING = [f"{n:016x}" for n in range(0x5c0e7a21d94b3700, 0x5c0e7a21d94b3706)]


async def case(fleet):
    # Work that takes a whole server each, on all but one.
    await fleet.submit(1, FILLING, [
        {"count": SERVERS - 1, "cpu": 100_000, "mem_mb": 2000, "gpu": 8,
         "est_duration_ms": 2000, "anti_affinity": 1}], "ms=20000")
    await fleet.until(lambda: len(fleet.starts) == SERVERS - 1, 30,
                      "all servers but one are full")
    taken = {start[1] for start in fleet.starts}
    last = next(s for n, s in fleet.servers.items() if n not in taken)
    if TROUBLE:
        last.unhealthy = True
        fleet.record(f"server {last.number}: is unhealthy from now on")
    for n, job in enumerate(WAITING):
        await fleet.submit(1 + n % fleet.entries, job, [
            {"count": 1, "cpu": 90_000, "mem_mb": 2000, "gpu": 8,
             "est_duration_ms": 2000}], "ms=20000")
    # `waiting` may be 2 s old, and counts from VISIBLE_MS on.
    await asyncio.sleep((VISIBLE_MS + 2000) / 1000 + 1)
    broken = []
    for entry in range(1, fleet.entries + 1):
        status, data = await fleet.call(entry, "GET", QUEUE)
        begun = {start[2].split(".")[0] for start in fleet.starts}
        left = [job for job in WAITING if job not in begun]
        fleet.record(f"accepted over {VISIBLE_MS + 2000} ms ago and not begun: "
                     f"{len(left)}")
        shown = json.loads(data)["waiting"] if status == 200 else None
        if shown is not None and shown < len(left) / 2:
            broken.append(f"entry-{entry} shows {shown} of {len(left)}")
    return "; ".join(broken)


play(HERE, case, servers=SERVERS)
