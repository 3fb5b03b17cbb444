"""A task fails once on the only server of its kind that has room."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standins import FINISH_MS, QUEUE, TROUBLE, now_ms, play

KIND, URGENT = "b", "/pufi791/"
LASTING, FAILING, LATER = ("5c0e7a21d94b36f7", "5c0e7a21d94b36f8",
                           "5c0e7a21d94b36f9")


def step(gpu, **more):
    return [dict({"count": 1, "cpu": 4000, "mem_mb": 4000, "gpu": gpu,
                  "est_duration_ms": 1000, "required_label": KIND}, **more)]


async def case(fleet):
    routes = fleet.config["routes"]
    routes.append(dict(routes[0], name="r-0", prefix=URGENT, priority=0))
    fleet.config["version"] += 3
    fleet.store.put_config(fleet.config)
    # Two of eight servers are of the kind that the jobs need.
    for number in (7, 8):
        fleet.servers[number].labels[0] = KIND
    await asyncio.sleep(2.5)
    # A task that lasts takes all accelerators of one of them.
    await fleet.submit(1, LASTING, step(8, long_running=True), "ms=600000")
    await fleet.until(lambda: len(fleet.starts) == 1, 20, "it runs")
    # The first run of an urgent task fails, by its own fault.
    spec = "ms=1000 fails=1" if TROUBLE else "ms=1000"
    await fleet.submit(2, FAILING, step(8), spec, queue=URGENT)
    await fleet.until(lambda: len(fleet.ends) == 1, 20, "its first run ends")
    await asyncio.sleep(1)
    await fleet.submit(3, LATER, step(1), "ms=4000")
    sent = now_ms()
    queues = {FAILING: URGENT, LATER: QUEUE}
    while now_ms() < sent + FINISH_MS + 4000:
        await asyncio.sleep(1)
        states = {job: await fleet.state(1, job, queue=queue)
                  for job, queue in queues.items()}
        if set(states.values()) <= {"completed", "failed"}:
            break
    idle = [n for n, s in fleet.servers.items() if not s.running]
    fleet.record(f"states: {states}; idle servers: {idle}")
    # The later job has room eight times over on the idle server of its kind;
    # the other one needs all of it.
    ends = [end[0] for end in fleet.ends if end[2].startswith(LATER)]
    quiet_s = (now_ms() - max([sent] + ends)) / 1000
    if states[LATER] in ("pending", "running") and quiet_s > 3:
        return (f"an accepted job has had nothing running for {quiet_s:.0f} s; "
                "a server of its kind and six others are idle")
    return ""


play(HERE, case, servers=8)
