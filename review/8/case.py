"""A machine stops with the second half of a spread job; that half never runs again, in either zone."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import lab  # noqa: E402
from fleet import Kind  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = lab.submission(1, shape="sweep", visits=2, spread=True, cores=6.0, memoryGb=4.0, snapshotS=0)
RUN_S = 20.0
RUNS_FOR_S = 5.0
ENDS_S = 113.0


async def case(run: lab.Lab) -> int:
    """Runs a spread job on a machine in each zone, stops that of its second task, and polls until the end."""
    await run.submit(JOB, RUN_S)
    await run.wait_for_running(JOB["id"], 2)
    await asyncio.sleep(RUNS_FOR_S)
    if TROUBLE:
        run.machine_of(f"{JOB['id']}/1").stop()
    return lab.HELD if await run.is_done_by(JOB["id"], ENDS_S) else lab.BROKEN


AT_START = tuple(Kind("cas", zone, spot=False) for zone in lab.ZONES)
lab.main(FOLDER, case, lambda _kind: 10, lab.first_number(0), AT_START)
