"""The rules, checked on what callers and backend servers saw."""
from collections import defaultdict

from standins import now_ms

MAX_ATTEMPTS = 3


class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.broken = soak.broken
        self.runs = defaultdict(list)   # By task.

    def fail(self, text):
        self.broken.append(text)
        self.soak.record(f"RULE BROKEN: {text}")

    def on_start(self, run):
        run.void = False
        for server in self.soak.runners.values():
            server.expire()
        for other in self.runs[run.task]:
            if other.ended is None:
                self.fail(f"TWICE {run} started {run.started} while {other} "
                          f"ran since {other.started}")
        self.runs[run.task].append(run)
        job_id, occurrence, step, index = run.task.split(".")
        job = self.soak.jobs.get(job_id)
        if (job is None or run.spec != job.spec or int(occurrence) != 0
                or int(step) >= len(job.steps)
                or int(index) >= job.steps[int(step)]["count"]):
            return self.fail(f"UNASKED {run} started {run.started}")
        for earlier in job.steps[int(step)].get("after", []):
            if not self.step_done(job, earlier):
                self.fail(f"ORDER {run} started {run.started} before the end "
                          f"of step {earlier}")

    def ends(self, task, how):
        return [run for run in self.runs[task] if run.how == how]

    def step_done(self, job, step):
        return all(self.ends(f"{job.id}.0.{step}.{index}", "done")
                   for index in range(job.steps[step]["count"]))

    def check_runs(self, task, runs):
        """An end counts if it was acknowledged before the lease lapsed."""
        done = [r for r in runs if r.how == "done" and r.noted and not r.void]
        failed = [r for r in runs
                  if r.how == "failed" and r.noted and not r.void]
        for run in runs:
            for end in done:
                if run.started >= end.ended:
                    self.fail(f"TWICE {run} started {run.started} after {end} "
                              f"was done {end.ended}, noted {end.noted}")
            before = [r for r in failed if r.ended <= run.started]
            if len(before) >= MAX_ATTEMPTS:
                self.fail(f"BUDGET {run} started {run.started} after "
                          f"{len(before)} failed runs")

    def check_job(self, job):
        runs = [r for task, runs in self.runs.items() for r in runs
                if task.startswith(job.id)]
        if job.refused() and (runs or job.state not in ("", "unknown")):
            self.fail(f"REFUSED job {job.id} tries {job.tries} state "
                      f"{job.state!r} starts {[r.started for r in runs]}")
        if not job.accepted():
            return
        if job.state == "failed":
            ends = [r.task for r in runs if r.how == "failed"]
            if not any(ends.count(task) >= MAX_ATTEMPTS for task in ends):
                crashes = sum(r.how == "crashed" for r in runs)
                self.fail(f"LOST job {job.id} is shown as failed, {crashes} "
                          "of its runs crashed")
        elif job.state != "completed":
            self.fail(f"LOST job {job.id} is {job.state!r} at {now_ms()}, "
                      f"tries {job.tries}")
        elif not all(self.step_done(job, n) for n in range(len(job.steps))):
            self.fail(f"MIXED job {job.id} is shown as completed")

    def finish(self):
        for task, runs in self.runs.items():
            self.check_runs(task, runs)
        for job in self.soak.jobs.values():
            self.check_job(job)
