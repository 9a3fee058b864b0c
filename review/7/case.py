"""A machine of a gang stops; the machine that replaces it has another owner, and the gang never starts again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import lab  # noqa: E402

JOB = lab.submission(1, visits=2, dueS=60.0)
RUN_S = 20.0
RUNS_FOR_S = 5.0
ENDS_S = 105.0


async def case(run: lab.Lab) -> int:
    """Runs a gang of two on two machines, stops one of them, and polls until the end."""
    await run.submit(JOB, RUN_S)
    await run.wait_for_running(JOB["id"], 2)
    await asyncio.sleep(RUNS_FOR_S)
    if run.trouble:
        run.machine_of(f"{JOB['id']}/1").stop()
    return lab.HELD if await run.is_done_by(JOB["id"], ENDS_S) else lab.BROKEN


# The first two machines have one owner, the third has another.
lab.main(FOLDER, case, lambda _kind: 10, lab.first_number(0, 0, 1))
