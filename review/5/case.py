"""A machine stops right after a gang of two has completed; the gang is never called done."""

import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import lab  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = lab.submission(1, visits=2, dueS=60.0)
RUN_S = 15.0
ENDS_S = 113.0


async def case(run: lab.Lab) -> int:
    """Submits the gang, stops the machine of its second task when the gang completes, and polls until the end."""

    def on_done(_job: str) -> None:
        if TROUBLE:
            run.machine_of(f"{JOB['id']}/1").stop()
            run.world.on_done = lambda _job: None

    run.world.on_done = on_done
    await run.submit(JOB, RUN_S)
    await run.wait_for_running(JOB["id"], 2)
    return lab.HELD if await run.is_done_by(JOB["id"], ENDS_S) else lab.BROKEN


# Both machines of the gang and those that replace them have one owner.
lab.main(FOLDER, case, lambda _kind: 10, lab.first_number(0, 0, 0, 0))
