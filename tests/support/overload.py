"""Benchmark of admission control: the same seeded overload with and without it, free of failures.

Outside CI, with requirements-tools.txt installed:

    python3 -m tests.support.overload FIRST LAST REPORT.html   # one line per run, means, and a page with plots
    python3 -m tests.support.overload scale                    # 10,000 deferred jobs on 4,000 machines
"""

from __future__ import annotations

import random
import resource
import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sloeswitch.admission import epoch as epochs
from sloeswitch.admission.cuts import ROOT_PATH, AdmissionRow, LaneCut, Ticket
from sloeswitch.admission.decision_log import DecisionLog
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.admission.limits import AdmissionLimits
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from tests.conftest import spec
from tests.support.admission import TEAMS, AdmissionWorld, cluster_text
from tests.support.cluster_worker import Worker
from tests.support.fleet import FleetWorld, job_name

# The load: many jobs of one team within FLOOD_S, and every URGENT_EVERY_S one urgent job of a small team.
FLOOD_JOBS = 100
FLOOD_S = 60.0
URGENT_JOBS = 8
URGENT_EVERY_S = 20.0
DUE_S = 120.0
TRIES = 10
WORKERS = 8
# The limit of the flooding team exceeds the machines, so that jobs wait for machines and not for quota. An urgent job
# fits its team's guarantee.
FLOOD_TEAMS = {**TEAMS, "red": (8.0, 64.0), "green": (4.0, 12.0)}
LONGEST_MS = 3_600_000
WITHOUT_ADMISSION, WITH_ADMISSION = "without", "with admission"
DEFERRED_JOBS = 10_000
MACHINES = 4_000


@dataclass
class LoadResult:
    """The results of one run. Waits are from submission to the first start, in milliseconds."""

    flood_ms: list[int] = field(default_factory=list)
    urgent_ms: list[int] = field(default_factory=list)
    in_time: float = 0.0
    changes: int = 0
    epochs: int = 0
    longest_head_s: float = 0.0
    unfinished: int = 0


class LoadWorld(AdmissionWorld):
    """Records when jobs are submitted and first start."""

    def __init__(self, seed: int, deferring: bool) -> None:
        super().__init__(seed, extra_faults=False, deferring=deferring, text=cluster_text(FLOOD_TEAMS))
        self.started_at: dict[str, float] = {}
        self.submitted_at: dict[str, float] = {}

    def check_start(self, worker: Worker, task: str) -> None:
        super().check_start(worker, task)
        self.started_at.setdefault(task.partition("/")[0], self.clock.time)


def load(seed: int, deferring: bool) -> LoadResult:
    """Submits a flood of jobs of team red and urgent jobs of team green, and runs until all are done."""
    world = LoadWorld(seed, deferring)
    arrivals = random.Random(seed)
    world.start()
    for _ in range(10):
        world.step()
    begin = world.clock.time
    flood = sorted(begin + FLOOD_S * arrivals.random() for _ in range(FLOOD_JOBS))
    urgent = [begin + URGENT_EVERY_S * (number + arrivals.random()) for number in range(URGENT_JOBS)]
    # Drawn from a separate random generator, so that the load is the same with and without admission.
    plan = sorted([(at, "red") for at in flood] + [(at, "green") for at in urgent])
    shapes = [(arrivals.randint(1, 5), arrivals.choice(("train", "index"))) for _ in plan]
    ended_at: dict[str, float] = {}
    before = world.store.revision
    while len(world.submitted_at) < len(plan) or len(ended_at) < len(plan):
        while len(world.submitted_at) < len(plan) and plan[len(world.submitted_at)][0] <= world.clock.time:
            number = len(world.submitted_at)
            submit_one(world, number, plan[number][1], *shapes[number])
        world.step()
        for name in world.accepted_jobs.keys() - ended_at.keys():
            if world.store.tables.finished_jobs.get(name) is not None:
                ended_at[name] = world.clock.time
        if world.clock.time > begin + 1500:
            break
    outcome = LoadResult(changes=world.store.revision - before, longest_head_s=world.longest_as_head_s)
    outcome.unfinished = len(plan) - len(ended_at)
    for name, at in world.started_at.items():
        waits = outcome.urgent_ms if world.specs[name].team == "green" else outcome.flood_ms
        waits.append(int(1000 * (at - world.submitted_at[name])))
    outcome.in_time = sum(at - world.submitted_at[name] <= DUE_S for name, at in ended_at.items()) / len(plan)
    root = world.store.tables.admission_rows.get(ROOT_PATH)
    outcome.epochs = root.number if root is not None else 0
    return outcome


def submit_one(world: LoadWorld, number: int, team: str, visits: int, job_class: str) -> None:
    """Submits the next job of the load."""
    urgency = "urgent" if team == "green" else "best_effort"
    name = f"wk-{number:06d}"
    visits = min(visits, 2) if team == "green" else visits
    job = spec(
        name, crew=team, roster=job_class, visits=visits, urgency=urgency, expectedS=12.0, pullGb=0.1, dueS=DUE_S
    )
    world.submitted_at[name] = world.clock.time
    # Answers may be lost in this simulation too; a user then submits again at another controller.
    for turn in range(TRIES):
        if world.submit(world.nodes[world.members[(number + turn) % len(world.members)]], job):
            return


def histogram(waits_ms: list[int]) -> Any:
    """Returns a histogram of the waits."""
    from hdrh.histogram import HdrHistogram

    recorded = HdrHistogram(1, LONGEST_MS, 3)
    for wait_ms in waits_ms:
        recorded.record_value(max(1, wait_ms))
    return recorded


def report(results: dict[str, list[LoadResult]], path: str) -> None:
    """Writes a page that plots the waits of both kinds of jobs, with and without admission."""
    import plotly.graph_objects as graph

    figure: Any = graph.Figure()
    for mode, outcomes in results.items():
        for title, field_name in (("flood", "flood_ms"), ("urgent", "urgent_ms")):
            waits = histogram([wait for each in outcomes for wait in getattr(each, field_name)])
            shares = [*range(0, 100, 2), 99, 99.9, 100]
            seconds = [waits.get_value_at_percentile(share) / 1000 for share in shares]
            figure.add_scatter(x=shares, y=seconds, name=f"{title}, {mode}", mode="lines")
    figure.update_layout(
        title="Wait from submission to the first start (simulated)", xaxis_title="percentile", yaxis_title="seconds"
    )
    figure.write_html(path, include_plotlyjs=True)


def play(seed: int, mode: str) -> LoadResult:
    """Performs one run, in a worker process."""
    return load(seed, mode != WITHOUT_ADMISSION)


def main(first: int, last: int, path: str) -> None:
    """Prints two runs for each seed and the means with their ranges, and writes the page."""
    runs = [(seed, mode) for seed in range(first, last) for mode in (WITHOUT_ADMISSION, WITH_ADMISSION)]
    results: dict[str, list[LoadResult]] = {WITHOUT_ADMISSION: [], WITH_ADMISSION: []}
    with ProcessPoolExecutor(WORKERS) as pool:
        for (seed, mode), outcome in zip(runs, pool.map(play, *zip(*runs, strict=True)), strict=True):
            results[mode].append(outcome)
            print(seed, mode, summary([outcome]))
    for mode, outcomes in results.items():
        print(f"all, {mode}: {summary(outcomes)}")
        for name in ("in_time", "changes", "epochs", "longest_head_s", "unfinished"):
            values = [float(getattr(outcome, name)) for outcome in outcomes]
            print(f"  {name:14} {statistics.mean(values):8.2f}  {min(values):8.2f} to {max(values):8.2f}")
    report(results, path)


def summary(outcomes: list[LoadResult]) -> str:
    """Summarizes the waits of several runs."""
    texts: list[str] = []
    for title, waits_ms in (
        ("flood", [wait for each in outcomes for wait in each.flood_ms]),
        ("urgent", [wait for each in outcomes for wait in each.urgent_ms]),
    ):
        waits = histogram(waits_ms)
        values = [waits.get_value_at_percentile(share) / 1000 for share in (50, 99, 100)]
        texts.append(
            f"{title} {len(waits_ms)} started, wait 50/99/100%: {'/'.join(f'{each:.1f}' for each in values)} s"
        )
    return "; ".join(texts)


def scale() -> None:
    """Times a tick and an epoch with many deferred jobs and machines, with and without admission."""

    def timed(title: str, call: Callable[[], Any]) -> None:
        best = min(_seconds(call) for _ in range(5))
        print(f"{title:46} {1000 * best:9.1f} ms, the best of five")

    world = FleetWorld(MACHINES)
    world.take_over()
    world.commit_all()
    wall_clock_ms = int(1000 * world.clock.time)
    for number in range(DEFERRED_JOBS):
        job = spec(job_name(500_000 + number), roster=f"class-{number % 16}")
        value = {"s": JobState.LIVE, "n": job.tasks, "t": wall_clock_ms + number, "spec": msgspec.to_builtins(job)}
        world.store.put(keys.job_key(job.id), value)
    timed("tick without admission", world.tick)
    row = AdmissionRow().raised(LaneCut(Ticket(wall_clock_ms - 1, ""), wall_clock_ms), {}, {})
    world.store.put(keys.admission_key(ROOT_PATH), row.stored())
    gate = AdmissionGate(world.store.tables, DecisionLog(), lambda: True)
    world.machines.queue.admission = gate
    print(f"first tick with admission {1000 * _seconds(world.tick):30.1f} ms")
    timed("tick with admission", world.tick)
    limits = AdmissionLimits.from_settings(world.settings)
    later_ms = wall_clock_ms + int(1000 * limits.starvation_timeout_s) + DEFERRED_JOBS

    def compute() -> list[epochs.RowChange]:
        return epochs.compute_changes(
            world.store.tables, world.settings, limits, [], later_ms, world.client.max_value_bytes
        )

    timed("an epoch", compute)
    (change,) = compute()

    def apply_change() -> None:
        world.store.put(keys.admission_key(change.path), change.rows[change.path].stored())
        world.tick()

    print(f"tick that applies an epoch {1000 * _seconds(apply_change):29.1f} ms")
    print(f"memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB, tests and world included")


def _seconds(call: Callable[[], Any]) -> float:
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


if __name__ == "__main__":
    if sys.argv[1:] == ["scale"]:
        scale()
    else:
        main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
