"""Jobs of a class come several times as often; afterwards a large task of the idle team never starts."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import lab  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One task on each of four machines, so that every controller has a machine with room when the last job comes.
BASE = lab.submission(1, shape="sweep", visits=5, cores=2.0, memoryGb=51.0, snapshotS=0, dueS=35.0)
LARGE = lab.submission(2, crew="calidad", shape="sweep", cores=30.0, memoryGb=4.0, snapshotS=0)
USUAL_JOBS, BURST_JOBS = 1, 6
SETTLES_S = 5.0
ENDS_S = 113.0


def small_job(index: int) -> dict[str, Any]:
    """A job of the class that comes several times as often: two tasks of one CPU."""
    fields = {"cores": 1.0, "memoryGb": 1.0, "snapshotS": 0, "expectedS": 5.0, "kit": f"img-{10 + index}"}
    return lab.submission(10 + index, roster="audit", crew="calidad", shape="sweep", visits=2, **fields)


async def case(run: lab.Lab) -> int:
    """Runs the small jobs to their end, then submits one task of the idle team, as large as its limit of 30 CPUs."""
    await run.submit(BASE, 120.0)
    await run.wait_for_running(BASE["id"], 4)
    jobs = [small_job(index) for index in range(BURST_JOBS if TROUBLE else USUAL_JOBS)]
    for job in jobs:
        await run.submit(job, 4.0)
    for job in jobs:
        if not await run.is_done_by(job["id"], 40.0):
            raise lab.NotRunError("a small job did not end")
    await asyncio.sleep(SETTLES_S)
    await run.submit(LARGE, 5.0)
    return lab.HELD if await run.is_done_by(LARGE["id"], ENDS_S) else lab.BROKEN


# The first three machines belong to three controllers.
lab.main(FOLDER, case, lambda _kind: 10, lab.first_number(0, 1, 2, 0))
