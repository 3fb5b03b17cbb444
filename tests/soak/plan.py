"""What a seed decides: the jobs, the faults and their times."""
import json
import random
from dataclasses import dataclass, field

NOT_SENT = 0    # Status of a try that never connected.

FAULTS = {  # Target and kind, with the weight in the choice.
    "entry_kill": 1, "entry_term": 1, "entry_freeze": 1,
    "agent_kill": 1, "agent_term": 1, "agent_freeze": 1,
    "host_power": 1, "host_deaf": 2, "link_cut": 3,
    "store_refuse": 4, "store_silent": 1, "store_busy": 1, "store_lose": 2,
    "store_late": 2, "server_refuse": 4, "server_silent": 2, "server_lose": 2,
    "server_late": 2, "server_crash": 1}
FOREIGN = {"writer_reports": 5}
LEAVING = {"server_leave": 10}
MIXES = {"plain": FAULTS, "leaving": {**FAULTS, **LEAVING, **FOREIGN},
         "foreign": FOREIGN}


@dataclass
class Job:
    at: float
    id: str
    queue: str
    spec: str
    steps: list
    entry: int
    patience: float
    repeat_after: float
    max_tries: int
    # Of each try: sent, entry, status, answered.
    tries: list = field(default_factory=list)
    state: str = ""
    over: bool = False

    def accepted(self):
        return any(t[2] == 200 for t in self.tries)

    def refused(self):
        statuses = [t[2] for t in self.tries if t[2] != NOT_SENT]
        return (self.over and bool(statuses)
                and all(s in (429, 503) for s in statuses))


@dataclass
class Fault:
    at: float
    kind: str
    pick: float
    seconds: float
    share: float
    delay: float


def choose_job(rng, at, entries):
    spec = {"job": f"{rng.getrandbits(32):08x}"}
    long = rng.random() < 0.4
    spec["ms"] = rng.randint(4000, 9000) if long else rng.randint(300, 2500)
    luck = rng.random()
    if luck < 0.04:
        spec.update(fail_runs=list(range(1, 200)), fail_ms=150)
    elif luck < 0.18:
        spec.update(fail_runs=[1], fail_ms=300)
    steps = [{"count": rng.randint(1, 3), "cpu": 4000, "mem_mb": 2000,
              "gpu": rng.choice([1, 1, 2]), "est_duration_ms": spec["ms"]}]
    if not long and rng.random() < 0.25:
        steps.append(dict(steps[0], count=rng.randint(1, 2), after=[0]))
    return Job(at=at, id=f"{rng.getrandbits(64):016x}", spec=json.dumps(spec),
               queue=rng.choice(["/lohu930/", "/pima/"]), steps=steps,
               entry=rng.randint(1, entries),
               patience=rng.uniform(0.1, 1) if rng.random() < 0.1 else 3.0,
               repeat_after=rng.uniform(1, 5) if rng.random() < 0.1 else 0,
               max_tries=rng.choice([1, 1, 2, 5]))


def vary_job(rng, job):
    """Makes it a gang or lets its first runs fail, or both, or neither."""
    spec = json.loads(job.spec)
    if rng.random() < 0.3 and "fail_runs" not in spec:
        spec.update(fail_runs=rng.choice([[1], [1, 2]]),
                    fail_ms=rng.randint(100, 1500))
    if rng.random() < 0.75 and len(job.steps) == 1:
        job.steps[0]["gang"] = True
        spec.update(gang=job.steps[0]["count"], fail_index=0)
    job.spec = json.dumps(spec)


def choose_faults(rng, moments, weights):
    """Two to four faults around each moment, most of them on one target."""
    faults = []
    for moment in moments:
        pick = rng.random()
        for kind in rng.choices(list(weights), weights.values(),
                                k=rng.randint(2, 4)):
            faults.append(Fault(moment + rng.uniform(0, 1.5), kind,
                                pick if rng.random() < 0.7 else rng.random(),
                                rng.uniform(0.8, 8), rng.random(),
                                rng.uniform(0.3, 3)))
    return sorted(faults, key=lambda fault: fault.at)


def choose_times(rng, seconds, moments):
    """Four jobs a second, and a few more beside each fault."""
    times, at = [], 0.0
    while at < seconds:
        times.append(at)
        at += rng.expovariate(4)
    times += [moment + rng.uniform(0.2, 2.5) for moment in moments
              for _ in range(6)]
    return sorted(times)


class Plan:
    """`mix` names the faults. All mixes but the plain one have gangs."""

    def __init__(self, seed, seconds, mix="plain"):
        rng = random.Random(seed)
        self.entries, self.servers = 3, rng.randint(6, 11)
        moments = [rng.uniform(1, seconds - 2)
                   for _ in range(max(1, round(seconds / 4)))]
        self.faults = choose_faults(rng, moments, MIXES[mix])
        self.jobs = [choose_job(rng, at, self.entries)
                     for at in choose_times(rng, seconds, moments)]
        self.clock_rates = [rng.uniform(0.98, 1) for _ in range(self.servers)]
        if mix != "plain":
            for job in self.jobs:
                vary_job(rng, job)
