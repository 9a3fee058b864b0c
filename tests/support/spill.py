"""Benefit and cost of moving jobs between cells: the same seeded load with and without it, and without faults.

Not run by CI: `python3 -m tests.support.spill FIRST LAST` runs the seeds from FIRST to LAST - 1 and prints the results
of each seed and the means.
"""

from __future__ import annotations

import random
import statistics
import sys
from dataclasses import dataclass

import anyio

from sloeswitch import wire
from tests.support.cell import CELLS
from tests.support.cells import CellWorld

DUE_S = 60.0
JOBS = 60


@dataclass(frozen=True)
class SpillResult:
    """The results of one run, as seen by users and the state services."""

    in_time: float
    mean_s: float
    longest_s: float
    moved: int
    changes: int
    messages: int
    unfinished: int


async def run_load(seed: int, moving: bool) -> SpillResult:
    """Submits sixty jobs in about half a minute, nine of ten in the north, and runs until all have ended."""
    world = CellWorld(seed, moving=moving, faults_enabled=False)
    arrivals = random.Random(seed)
    before = sum(cell.store.revision for cell in world.cells.values())
    while len(world.origins) < JOBS or world.unfinished():
        if len(world.origins) < JOBS and arrivals.random() < 0.8:
            cell = "north" if arrivals.random() < 0.9 else arrivals.choice(CELLS)
            name = f"wk-{len(world.origins):06d}"
            job_class = arrivals.choice(["once", "again"])
            visits = arrivals.randint(1, 6)
            await world.submit(cell, name, job_class, visits=visits, expectedS=12.0, dueS=DUE_S, pullGb=0.1)
        await world.step()
        if world.clock.time > 3000:
            break
    times = [
        at - world.accepted_at[job] for job, (status, at) in world.reported.items() if status == wire.JobStatus.DONE
    ]
    moved = sum(set(where) != {world.origins[job]} for job, where in world.starts.items())
    changes = sum(cell.store.revision for cell in world.cells.values()) - before
    in_time = sum(each <= DUE_S for each in times) / len(world.origins)
    return SpillResult(
        in_time, statistics.mean(times), max(times), moved, changes, world.messages, len(world.unfinished())
    )


def main(first: int, last: int) -> None:
    """Prints the two runs of each seed, then the mean, minimum and maximum of each result."""
    results: dict[bool, list[SpillResult]] = {False: [], True: []}
    for seed in range(first, last):
        for moving, outcomes in results.items():
            outcomes.append(anyio.run(run_load, seed, moving))
            print(seed, "moving" if moving else "staying", outcomes[-1])
    for moving, outcomes in results.items():
        print("moving" if moving else "staying")
        for name in ("in_time", "mean_s", "longest_s", "moved", "changes", "messages", "unfinished"):
            values = [float(getattr(outcome, name)) for outcome in outcomes]
            print(f"  {name:10} {statistics.mean(values):8.2f}  {min(values):8.2f} to {max(values):8.2f}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
