"""Jobs of a class come several times as often; a machine gets more small tasks than its reports can list."""

import os
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import lab  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
USUAL_JOBS, BURST_JOBS = 1, 8
RUN_S = 15.0
ENDS_S = 113.0


def job(index: int) -> dict[str, Any]:
    """A job of 200 tasks, each of a fiftieth of a CPU; 1,600 fit a machine with 32 CPUs."""
    fields = {"cores": 0.02, "memoryGb": 0.03, "snapshotS": 0, "expectedS": 10.0}
    return lab.submission(10 + index, roster="audit", shape="sweep", visits=200, **fields)


async def case(run: lab.Lab) -> int:
    """Submits the jobs one after the other, and polls until all are done or until the end."""
    jobs = [job(index) for index in range(BURST_JOBS if TROUBLE else USUAL_JOBS)]
    for each in jobs:
        await run.submit(each, RUN_S)
    done = [await run.is_done_by(each["id"], ENDS_S) for each in jobs]
    return lab.HELD if all(done) else lab.BROKEN


# The first machine and those that replace it have one owner.
lab.main(FOLDER, case, lambda _kind: 10, lab.first_number(0, 0, 0))
