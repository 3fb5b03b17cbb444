#!/usr/bin/env python3
"""Rolling restarts between two versions of the programs, there and back.

    mixed_versions.py --earlier CHECKOUT [--later CHECKOUT] [--keep FOLDER]

Both are checkouts that the deploy file has been built in; `--later` is this one
unless it is given. Starts entries and agents of the earlier version on
loopback, with the stand-ins of review/lib-2, and restarts them one by one with
the later version, then one by one with the earlier one, while callers submit,
show and cancel jobs. Hosts are cut off while all processes are of the later
version. Started by hand: CI has one version.

Checked, by what callers and backend servers see:

    LOST     an accepted job is not completed in the end, nor cancelled
    TWICE    two runs of a task at once, or a start after its end `done`
    UNASKED  a start after a job's cancellation was acknowledged
    REFUSED  no job is accepted for SERVED_S while all processes are up
    ENDED    a process ends by itself

Exit status: 0 held, 1 broken, 2 not played.
"""
import argparse
import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib-2"))
import platform2 as p  # noqa: E402

ENTRIES, SERVERS = 3, 6
SUBMIT_EVERY_S = 0.25
RESTART_AFTER_S = 0.5
SETTLE_S = 2.0              # Between two restarts.
CUT_S, CUTS = 3.0, 2
CANCEL_MS = 3000
SERVED_S = 6.0
FINISH_S = 30.0
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 100, "gpu": 1,
          "est_duration_ms": 1000}]
STEPS.append({**STEPS[0], "after": [0]})


class Deployment(p.Fleet):
    """Each process has a version of its own."""

    def __init__(self, folder, earlier, later):
        super().__init__(folder, entries=ENTRIES, runners=SERVERS,
                         behaviour=p.work_of)
        self.earlier, self.later = earlier, later
        self.version = {}           # Process -> checkout, else the earlier one.
        self.accepted, self.cancelled = {}, {}
        self.last_job = 0

    def launch(self, name):
        is_entry = name.startswith("entry")
        role = self.roles["entry" if is_entry else "agent"]
        number = int(name.split("-")[1])
        host = self.entry_host(number) if is_entry else self.side_host(number)
        checkout = self.version.get(name, self.earlier)
        with open(f"{checkout}/{role['template']}") as f:
            settings = p.fill(f.read(), self.fields(name, host))
        path = f"{self.work}/{name}.yaml"
        with open(path, "w") as f:
            f.write(settings)
        with open(f"{self.work}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                role["run"].split(), cwd=checkout, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.work,
                     "LANG": "C.UTF-8", "CELERYLIFT_SETTINGS": path})
        self.record(f"platform: {name} is started from {checkout}")

    async def restart(self, name, checkout):
        self.version[name] = checkout
        self.signal(name, signal.SIGTERM, restart_after=RESTART_AFTER_S)
        await self.until(lambda: name not in self.restarts, 10,
                         f"{name} has ended")
        await asyncio.sleep(RESTART_AFTER_S)
        if name.startswith("entry"):
            number = int(name.split("-")[1])
            await self.until(lambda: self.is_ready(number), 15,
                             f"{name} is ready")
        await asyncio.sleep(SETTLE_S)

    async def roll(self, checkout, names):
        for name in names:
            await self.restart(name, checkout)

    async def submit_jobs(self):
        while True:
            self.last_job += 1
            number, job = self.last_job, f"{0xcd0000000000 + self.last_job:016x}"
            self.spawn(self.play_caller(number, job))
            await asyncio.sleep(SUBMIT_EVERY_S)

    async def play_caller(self, number, job):
        """Submits a job until it is accepted; cancels each seventh."""
        for attempt in range(12):
            status, _ = await self.submit(
                (number + attempt) % ENTRIES + 1, job,
                json.dumps({"ms": 400}), STEPS)
            if status == 200:
                self.accepted[job] = p.now_ms()
                break
            await asyncio.sleep(0.5)
        if job not in self.accepted or number % 7:
            return
        for attempt in range(12):
            status, _ = await self.call((number + attempt + 1) % ENTRIES + 1,
                                        "DELETE", job)
            if status in (200, 410):
                self.cancelled[job] = p.now_ms()
                return
            await asyncio.sleep(0.5)


async def play(deployment, links):
    entries = [f"entry-{n}" for n in range(1, ENTRIES + 1)]
    agents = [f"agent-{n}" for n in range(1, SERVERS + 1)]
    deployment.relays = {"agent-1": links, "agent-2": links}
    await links.open()
    await deployment.start(p.config())
    callers = deployment.spawn(deployment.submit_jobs())
    # Once the entries first, once the agents first: each meets the other.
    await deployment.roll(deployment.later, entries[:2])
    await deployment.roll(deployment.later, agents)
    await deployment.roll(deployment.later, entries[2:])
    for _ in range(CUTS):
        await links.cut(CUT_S)
        await asyncio.sleep(CUT_S)
    await deployment.roll(deployment.earlier, agents[:3])
    await deployment.roll(deployment.earlier, entries)
    await deployment.roll(deployment.earlier, agents[3:])
    callers.cancel()

    async def is_over():
        for job in deployment.accepted:
            state = await deployment.state(1, job)
            if state not in ("completed", "cancelled"):
                return False
        return True
    try:
        await deployment.until(is_over, FINISH_S, "all jobs have ended")
    except RuntimeError:
        pass


def check_unasked(deployment):
    return [f"UNASKED: {run.task} starts after its cancellation"
            for run in deployment.all_runs
            if run.started > deployment.cancelled.get(
                run.task.split(".")[0], float("inf")) + CANCEL_MS]


def check_service(deployment):
    times = sorted(deployment.accepted.values())
    return [f"REFUSED: no job is accepted from {a - deployment.began:.0f} to "
            f"{b - deployment.began:.0f}"
            for a, b in zip(times, times[1:]) if b - a > SERVED_S * 1000]


async def check(deployment):
    found = p.twice(deployment) + check_unasked(deployment)
    found += check_service(deployment)
    found += [f"ENDED: {name}, {count} times"
              for name, count in deployment.own_ends.items()]
    for job in deployment.accepted:
        state = await deployment.state(1, job)
        expected = ("completed", "cancelled") if job in deployment.cancelled \
            else ("completed",)
        if state not in expected:
            found.append(f"LOST: {job} is shown as {state}")
    return found


async def main(options, folder):
    deployment = Deployment(folder, os.path.abspath(options.earlier),
                            os.path.abspath(options.later))
    deployment.allows_own_ends = True   # They are what is counted.
    try:
        await play(deployment, p.CutLinks(deployment))
        found = await check(deployment)
    except (RuntimeError, OSError) as e:
        print(f"not played: {e}", file=sys.stderr)
        return p.NOT_RUN
    finally:
        deployment.close()
        deployment.lines.close()
        if options.keep:
            shutil.copytree(deployment.work, options.keep, dirs_exist_ok=True)
            shutil.copy(f"{folder}/record.txt", options.keep)
        shutil.rmtree(deployment.work)
    print("\n".join(found[:10] + [
        f"{len(deployment.accepted)} jobs accepted, "
        f"{len(deployment.cancelled)} cancelled, {len(found)} breaches"]))
    return p.BROKEN if found else p.HELD


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--earlier", required=True)
    parser.add_argument("--later", default=ROOT)
    parser.add_argument("--keep")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="celerylift-mixed-") as scratch:
        sys.exit(asyncio.run(main(arguments, scratch)))
