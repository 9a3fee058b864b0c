"""A task fails once on the only machine that is up (see claim.txt)."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, play, submission  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The site files let a machine fail its tasks for 60 to 150 s; this one does so until its first failure is over.
SICK_AT_MOST_S = 20.0
# "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" (hunt/LATER).
WAITING_S = 90.0
JOB, LATER_JOB = "wk-000002", "wk-000003"


async def fail_once(deployment: Deployment) -> bool:
    """Waits until the machine, which fails every task for now, has failed one; then it is sound again."""
    workers = deployment.cloud.workers()
    ends_at = time.monotonic() + SICK_AT_MOST_S
    while time.monotonic() < ends_at and not deployment.jobs.failed[JOB]:
        await asyncio.sleep(0.1)
    for worker in workers:
        worker.sick = False
    deployment.record("the machine is sound again: the trouble is over")
    return bool(deployment.jobs.failed[JOB])


def has_room(deployment: Deployment) -> bool:
    """Whether a machine is up that runs at most one other task of one core."""
    return any(
        worker.baton and sum(task.status != "ended" for task in worker.tasks.values()) <= 1
        for worker in deployment.cloud.workers()
    )


async def wait_begun(deployment: Deployment) -> int:
    """Waits until the job begins again, or has waited too long beside a machine with room; returns the exit status."""
    waits_since = time.monotonic()
    while time.monotonic() - waits_since <= WAITING_S:
        await deployment.ask(JOB)
        if deployment.jobs.started[JOB] > deployment.jobs.failed[JOB]:
            deployment.record(f"{JOB} has begun on a sound machine")
            return 0 if await deployment.wait_done(JOB, 10.0) else 2
        if not has_room(deployment):
            waits_since = time.monotonic()
        await asyncio.sleep(2.0)
    deployment.record(f"{JOB} has waited for {WAITING_S:.0f} s beside a machine with room")
    return 1


async def run(deployment: Deployment) -> int:
    """Plays the case; returns the exit status."""
    if not await deployment.start():
        return 2
    if not await deployment.submit(submission("wk-000001", 1), 1.0) or not await deployment.wait_done(
        "wk-000001", 15.0
    ):
        return 2
    if len(deployment.cloud.instances) != 1:
        return 2
    for worker in deployment.cloud.workers():
        worker.sick = TROUBLE
    if not await deployment.submit(submission(JOB, 1), 2.0):
        return 2
    if TROUBLE and not await fail_once(deployment):
        return 2
    if not await deployment.submit(submission(LATER_JOB, 1), 2.0) or not await deployment.wait_done(LATER_JOB, 20.0):
        return 2
    deployment.record(f"{LATER_JOB}, which came later, has run on the machine")
    return await wait_begun(deployment)


if __name__ == "__main__":
    sys.exit(play(Deployment(HERE / "record.txt", machines_per_zone=1, most_per_zone=10, zones=1), run))
