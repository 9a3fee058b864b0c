"""What agreed admission gains and costs: the same seeded overload with and without it, no troubles.

Outside CI, with requirements-tools.txt installed:

    python3 -m tests.support.overload FIRST LAST REPORT.html   # these seeds: a line a run, means, and a page with plots
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
from sloeswitch.admission.cuts import ROOT, AdmissionRow, LaneCut, Ticket
from sloeswitch.admission.decision_log import DecisionLog
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.admission.limits import AdmissionLimits
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from tests.conftest import spec
from tests.support.admission import TEAMS, AdmissionWorld, cluster_text
from tests.support.cluster_worker import Worker
from tests.support.fleet import FleetWorld, job_name

# A flood of one team, and one urgent job of a small team at a time.
FLOOD_JOBS = 100
FLOOD_S = 60.0
URGENT_JOBS = 8
URGENT_EVERY_S = 20.0
DUE_S = 120.0
TRIES = 10
WORKERS = 8
# The flood's team may use more than there is, so that room is what is short and not its limit; an urgent job fits
# its team's guarantee.
FLOODED = {**TEAMS, "red": (8.0, 64.0), "green": (4.0, 12.0)}
LONGEST_MS = 3_600_000
WITHOUT, WITH = "without", "with admission"
DEFERRED_JOBS = 10_000
MACHINES = 4_000


@dataclass
class LoadResult:
    """One run: waits from submission to the first start, in milliseconds, by kind of job."""

    flood_ms: list[int] = field(default_factory=list)
    urgent_ms: list[int] = field(default_factory=list)
    in_time: float = 0.0
    changes: int = 0
    epochs: int = 0
    longest_head_s: float = 0.0
    unfinished: int = 0


class LoadWorld(AdmissionWorld):
    """Notes when jobs start and end."""

    def __init__(self, seed: int, deferring: bool) -> None:
        super().__init__(seed, troubled=False, deferring=deferring, text=cluster_text(FLOODED))
        self.started_at: dict[str, float] = {}
        self.submitted_at: dict[str, float] = {}

    def check_start(self, worker: Worker, task: str) -> None:
        super().check_start(worker, task)
        self.started_at.setdefault(task.partition("/")[0], self.clock.time)


def load(seed: int, deferring: bool) -> LoadResult:
    """A flood of the red team's jobs in a minute, and green's urgent ones beside it, until all are done."""
    world = LoadWorld(seed, deferring)
    arrivals = random.Random(seed)
    world.start()
    for _ in range(10):
        world.step()
    begin = world.clock.time
    flood = sorted(begin + FLOOD_S * arrivals.random() for _ in range(FLOOD_JOBS))
    urgent = [begin + URGENT_EVERY_S * (number + arrivals.random()) for number in range(URGENT_JOBS)]
    # Both teams' classes are dealt out by the load's own random numbers, so that with and without it is the same load.
    plan = sorted([(at, "red") for at in flood] + [(at, "green") for at in urgent])
    shapes = [(arrivals.randint(1, 5), arrivals.choice(("train", "index"))) for _ in plan]
    ended_at: dict[str, float] = {}
    before = world.store.epoch
    while len(world.submitted_at) < len(plan) or len(ended_at) < len(plan):
        while len(world.submitted_at) < len(plan) and plan[len(world.submitted_at)][0] <= world.clock.time:
            number = len(world.submitted_at)
            submit_one(world, number, plan[number][1], *shapes[number])
        world.step()
        for name in world.sizes.keys() - ended_at.keys():
            if world.store.tables.finished_jobs.get(name) is not None:
                ended_at[name] = world.clock.time
        if world.clock.time > begin + 1500:
            break
    outcome = LoadResult(changes=world.store.epoch - before, longest_head_s=world.longest_as_head_s)
    outcome.unfinished = len(plan) - len(ended_at)
    for name, at in world.started_at.items():
        waits = outcome.urgent_ms if world.specs[name].team == "green" else outcome.flood_ms
        waits.append(int(1000 * (at - world.submitted_at[name])))
    outcome.in_time = sum(at - world.submitted_at[name] <= DUE_S for name, at in ended_at.items()) / len(plan)
    root = world.store.tables.admission_rows.get(ROOT)
    outcome.epochs = root.number if root is not None else 0
    return outcome


def submit_one(world: LoadWorld, number: int, team: str, visits: int, klass: str) -> None:
    """A user submits the next job."""
    urgency = "urgent" if team == "green" else "best_effort"
    name = f"wk-{number:06d}"
    visits = min(visits, 2) if team == "green" else visits
    job = spec(name, crew=team, roster=klass, visits=visits, urgency=urgency, expectedS=12.0, pullGb=0.1, dueS=DUE_S)
    world.submitted_at[name] = world.clock.time
    # Answers are lost here too; users repeat a submission, at another controller.
    for turn in range(TRIES):
        if world.submit(world.nodes[world.members[(number + turn) % len(world.members)]], job):
            return


def histogram(waits_ms: list[int]) -> Any:
    """Waits in a histogram of the library."""
    from hdrh.histogram import HdrHistogram

    found = HdrHistogram(1, LONGEST_MS, 3)
    for wait_ms in waits_ms:
        found.record_value(max(1, wait_ms))
    return found


def report(found: dict[str, list[LoadResult]], path: str) -> None:
    """A page with the waits of both loads, with and without."""
    import plotly.graph_objects as graph

    figure: Any = graph.Figure()
    for mode, outcomes in found.items():
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
    """One run, in a process of its own."""
    return load(seed, mode != WITHOUT)


def main(first: int, last: int, path: str) -> None:
    """Prints each seed's two runs and the means with their spread, and writes the page."""
    runs = [(seed, mode) for seed in range(first, last) for mode in (WITHOUT, WITH)]
    found: dict[str, list[LoadResult]] = {WITHOUT: [], WITH: []}
    with ProcessPoolExecutor(WORKERS) as pool:
        for (seed, mode), outcome in zip(runs, pool.map(play, *zip(*runs, strict=True)), strict=True):
            found[mode].append(outcome)
            print(seed, mode, summary([outcome]))
    for mode, outcomes in found.items():
        print(f"all, {mode}: {summary(outcomes)}")
        for name in ("in_time", "changes", "epochs", "longest_head_s", "unfinished"):
            values = [float(getattr(outcome, name)) for outcome in outcomes]
            print(f"  {name:14} {statistics.mean(values):8.2f}  {min(values):8.2f} to {max(values):8.2f}")
    report(found, path)


def summary(outcomes: list[LoadResult]) -> str:
    """Waits of several runs together."""
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
    """A tick and an epoch with many deferred jobs and machines, with and without admission in one run."""

    def timed(title: str, call: Callable[[], Any]) -> None:
        best = min(_seconds(call) for _ in range(5))
        print(f"{title:46} {1000 * best:9.1f} ms, the best of five")

    world = FleetWorld(MACHINES)
    world.take_over()
    world.store_all()
    wall_clock_ms = int(1000 * world.clock.time)
    for number in range(DEFERRED_JOBS):
        job = spec(job_name(500_000 + number), roster=f"class-{number % 16}")
        value = {"s": JobState.LIVE, "n": job.tasks, "t": wall_clock_ms + number, "spec": msgspec.to_builtins(job)}
        world.store.put(keys.job_key(job.id), value)
    timed("tick without admission", world.tick)
    row = AdmissionRow().raised(LaneCut(Ticket(wall_clock_ms - 1, ""), wall_clock_ms), {}, {})
    world.store.put(keys.admission_key(ROOT), row.stored())
    gate = AdmissionGate(world.store.tables, DecisionLog(), lambda: True)
    world.machines.queue.admission = gate
    print(f"first tick with admission {1000 * _seconds(world.tick):30.1f} ms")
    timed("tick with admission", world.tick)
    limits = AdmissionLimits.of(world.settings)
    later_ms = wall_clock_ms + int(1000 * limits.patience_s) + DEFERRED_JOBS

    def reckon() -> list[epochs.RowChange]:
        return epochs.next_rows(world.store.tables, world.settings, limits, [], later_ms, world.client.max_value_bytes)

    timed("an epoch", reckon)
    (change,) = reckon()

    def applied() -> None:
        world.store.put(keys.admission_key(change.path), change.rows[change.path].stored())
        world.tick()

    print(f"tick that applies an epoch {1000 * _seconds(applied):29.1f} ms")
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
