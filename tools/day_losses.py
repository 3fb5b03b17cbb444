#!/usr/bin/env python3
"""Explains from the entries' logs where the jobs of a time span lost their
value, and bounds what any placement could have served.

  tools/day_losses.py LOG [--server CORES,MEMORY_MB,ACCELERATORS] [--jobs]
      [--objective SHAPE=STRETCH,ALLOWANCE_MS]... [--until SECONDS]

LOG holds the entries' journal lines, each with any prefix; a prefix that is a
number is taken as the time in seconds. SHAPE is a part of a step as the event
job_stored shows it, such as 3700m; a job is late if it takes longer than
STRETCH times its run time plus ALLOWANCE_MS. Run times are taken as they would
be on an average server, by the events server_speed. --jobs lists each lost or late job.

Prints causes with their number and one job's id each, the use of the servers
over time, and a bound by relaxation: all servers taken as one pool, each job
as its total need of one resource, in the order that serves most jobs.
"""
import argparse
import collections
import dataclasses
import json
import re
import sys

STEP = re.compile(r"(\d+)x(\d+)m/(\d+)MB/(\d+)acc")
RESOURCES = ("cores", "memory", "accelerators")


@dataclasses.dataclass
class Job:
    stored_at: float
    steps: str
    estimate_ms: int
    assigned: dict = dataclasses.field(default_factory=dict)  # First, by run.
    agents: dict = dataclasses.field(default_factory=dict)  # Sets, by run.
    causes: set = dataclasses.field(default_factory=set)
    done_at: float = None
    cancelled: bool = False
    failed: bool = False
    last_end_at: float = None


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log")
    parser.add_argument("--server", default="32,65536,8")
    parser.add_argument("--objective", action="append", default=[])
    parser.add_argument("--jobs", action="store_true")
    parser.add_argument("--until", type=float)
    return parser.parse_args()


def read_events(path):
    for line in open(path, encoding="utf-8", errors="replace"):
        start = line.find('{"unix_ms"')
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        prefix = line[:start].split()
        try:
            event["at"] = float(prefix[0])
        except (IndexError, ValueError):
            event["at"] = event["unix_ms"] / 1000
        yield event


def job_of(event):
    return event.get("job") or event.get("task", "").split(".")[0]


def cause_of(event):
    if event["event"] == "run_stopping":
        return event["why"]
    if event["event"] == "run_lost" and "ordered" not in event["why"]:
        return event["why"]
    if event["event"] == "run_ended" and event["how"] in ("failed", "lapsed"):
        return f"a run {event['how']}"
    return None


def follow(job, event):
    kind = event["event"]
    if kind == "task_assigned":
        job.assigned.setdefault(event["run"], event["at"])
        job.agents.setdefault(event["run"], set()).add(event["agent"])
    elif kind == "job_completed":
        job.done_at = event["at"]
    elif kind == "job_cancelled":
        job.cancelled = True
    elif kind == "job_failed":
        job.failed = True
    cause = cause_of(event)
    if cause:
        job.causes.add(cause)


def collect(events):
    """Jobs by id, refused submissions by answer, the runs' time spans, when
    servers were first seen, and their speeds: the factor by which tasks take
    longer there, as the owner knew it last."""
    jobs, refused, spans, open_runs = {}, {}, [], {}
    slowness = {}
    servers = collections.OrderedDict()
    for event in events:
        kind = event["event"]
        if kind == "job_stored":
            jobs.setdefault(event["job"], Job(event["at"], event["steps"],
                                              event["estimate_ms"]))
        elif kind == "call_answered" and event["verb"] == "hand_in":
            if event["answer"] == 0:
                refused.pop(event["job"], None)
            elif event["answer"] in (7, 8, 9):
                refused[event["job"]] = event["message"]
        elif kind == "server_seen":
            servers.setdefault(event["agent"], event["at"])
        elif kind == "server_speed":
            slowness[event["agent"]] = event["slowness_percent"] / 100
        elif kind == "task_assigned":
            open_runs[event["task"]] = event["at"]
        elif kind in ("run_ended", "run_lost") and event["task"] in open_runs:
            spans.append((event["task"], open_runs.pop(event["task"]),
                          event["at"]))
        if job_of(event) in jobs:
            follow(jobs[job_of(event)], event)
    refused = {id: why for id, why in refused.items() if id not in jobs}
    return jobs, refused, spans, servers, slowness


def objective_ms(job, objectives, run_ms):
    for shape, (stretch, allowance) in objectives.items():
        if shape in job.steps:
            return stretch * run_ms + allowance
    return None


def pace_of(job, slowness):
    """The factor by which the servers of the last run made it longer."""
    agents = job.agents.get(max(job.assigned), ())
    return max((slowness.get(agent, 1.0) for agent in agents), default=1.0)


def classify(job, objectives, slowness):
    """The cause for which a job earned less than it could; None if none."""
    if job.cancelled:
        return None
    causes = ", ".join(sorted(job.causes)) or "no room"
    if job.failed:
        return f"failed: {causes}"
    if job.done_at is None:
        first = min(job.assigned.values(), default=None)
        if first is None:
            return "not done: never placed"
        waited = first - job.stored_at
        return f"not done, placed after {'over' if waited > 3 else 'under'} " \
               f"3 s: {causes}"
    if not job.assigned:
        return None
    run_ms = 1000 * (job.done_at - job.assigned[max(job.assigned)])
    pace = pace_of(job, slowness)
    limit = objective_ms(job, objectives, run_ms / pace)
    took_ms = 1000 * (job.done_at - job.stored_at)
    if limit is None or took_ms <= limit:
        return None
    if took_ms - run_ms + run_ms / pace <= limit:
        return "late: ran on slow servers"
    return f"late: {causes}"


def need_of(steps):
    """Total cores, memory in MB and accelerators of all tasks, and the same
    for a single task of the first step."""
    total, single = [0, 0, 0], None
    for count, millicores, memory, accelerators in STEP.findall(steps):
        each = (int(millicores) / 1000, int(memory), int(accelerators))
        single = single or each
        total = [t + int(count) * e for t, e in zip(total, each)]
    return total, single


def print_use(jobs, spans, servers, server, until):
    print("use of the servers, each 4 s: servers seen, share of "
          + ", ".join(RESOURCES))
    for start in range(0, int(until), 4):
        used = [0.0, 0.0, 0.0]
        for task, begin, end in spans:
            job = jobs.get(task.split(".")[0])
            overlap = min(end, start + 4) - max(begin, start)
            if not job or overlap <= 0:
                continue
            step = STEP.findall(job.steps)
            index = min(int(task.split(".")[2]), len(step) - 1)
            _, millicores, memory, accelerators = step[index]
            each = (int(millicores) / 1000, int(memory), int(accelerators))
            used = [u + overlap * e for u, e in zip(used, each)]
        seen = sum(at < start + 4 for at in servers.values())
        if seen:
            shares = [u / (4 * seen * s) for u, s in zip(used, server)]
            print(f"  {start:4} s  {seen:4}  "
                  + "  ".join(f"{s:.2f}" for s in shares))


def print_bound(jobs, servers, server, until):
    """How many jobs fit if each resource of all servers were one pool."""
    open_jobs = [job for job in jobs.values() if not job.cancelled]
    capacity_s = sum(max(0.0, until - at) for at in servers.values())
    if not open_jobs or not capacity_s:
        return
    for index, name in enumerate(RESOURCES):
        needs = sorted(need_of(job.steps)[0][index] * job.estimate_ms / 1000
                       for job in open_jobs)
        pool, fit = capacity_s * server[index], 0
        for need in needs:
            if need > pool:
                break
            pool -= need
            fit += 1
        asked = sum(needs) / (capacity_s * server[index])
        print(f"bound by {name}: {fit} of {len(needs)} jobs; asked for "
              f"{asked:.2f} of all {name}")


def main():
    args = parse_arguments()
    server = [float(part) for part in args.server.split(",")]
    objectives = {}
    for text in args.objective:
        shape, numbers = text.split("=")
        objectives[shape] = tuple(float(n) for n in numbers.split(","))
    jobs, refused, spans, servers, slowness = collect(read_events(args.log))
    if not jobs:
        sys.exit(f"{args.log}: no event job_stored; give the entries' log")
    until = args.until or max(end for _, _, end in spans)
    causes = collections.defaultdict(list)
    for id, why in refused.items():
        causes[f"refused: {why}"].append(id)
    for id, job in jobs.items():
        cause = classify(job, objectives, slowness)
        if cause:
            causes[cause].append(id)
            if args.jobs:
                print(f"{job.stored_at:8.2f}  {id}  {job.steps[:48]:48} "
                      f"{cause}")
    cancelled = sum(job.cancelled for job in jobs.values())
    print(f"{len(jobs)} jobs stored, {cancelled} cancelled, "
          f"{len(refused)} submissions refused for good")
    for cause, ids in sorted(causes.items(), key=lambda c: -len(c[1])):
        print(f"{len(ids):5}  {cause} (for instance {ids[0]})")
    print_use(jobs, spans, servers, server, until)
    print_bound(jobs, servers, server, until)


main()
