"""Gangs: tasks that work only once all are present and end together."""
from standins import fleet, now_ms

TIMEOUT_MS = 3000   # gang_timeout_ms: how long a member waits for the others.


def is_member(run):
    return "gang" in fleet.behaviour(run.spec)


def group_of(run):
    return run.task.rsplit(".", 1)[0], run.run


def members_of(soak, run):
    return [other for other in soak.running()
            if group_of(other) == group_of(run)]


def is_complete(run, members):
    return len(members) == fleet.behaviour(run.spec)["gang"]


def works_since(soak, run):
    """When the run began to work; None while its gang is incomplete."""
    if not is_member(run):
        return run.started
    if run not in soak.working:
        members = members_of(soak, run)
        if is_complete(run, members):
            soak.working.update(dict.fromkeys(members, now_ms()))
    return soak.working.get(run)


def end_done(soak, run):
    """Ends all members. If one is missing they end as broken soon."""
    members = members_of(soak, run)
    if is_complete(run, members):
        for member in members:
            soak.runner_of(member).end(member, "done")
