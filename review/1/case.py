"""All controllers crash and come back together, in a deployment that has served for two days (see claim.txt)."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, play, submission  # noqa: E402

# Fjordvik submits 7.7 + 3.1 + 18 jobs a minute (BRIEF): this many in two days, each of which has to stay known.
FINISHED_JOBS = int(os.environ.get("FINISHED_JOBS", "82944"))
# "back about 6 s after an end" (BRIEF).
BACK_AFTER_S = 6.0
# How far apart the controllers come back.
APART_S = float(os.environ.get("APART_S", "0"))
# "a job about which no question is answered for 75 s counts as forgotten" (hunt/LATER.md).
FORGOTTEN_AFTER_S = 75.0
POLL_EVERY_S = 2.5
ROUNDS_ANSWERED = 3
DAY_MS = 24 * 3600 * 1000
# How many of the three controllers crash.
CRASHED = int(os.environ.get("CRASHED", "3"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def preload(deployment: Deployment) -> None:
    """Stores the finished jobs of two days, in the form in which a controller stores them."""
    now_ms = int(time.time() * 1000)
    deployment.state.preload(
        {
            f"s1/j/wk-{number:06d}": {"s": "done", "n": 36, "t": now_ms - 2 * DAY_MS + number}
            for number in range(1, FINISHED_JOBS + 1)
        }
    )


async def crash(deployment: Deployment) -> None:
    """Kills controllers, and starts each of them again after the time that the brief names."""
    members = list(deployment.cluster.nodes)[:CRASHED]
    for member in members:
        deployment.cluster.kill(member)
    await asyncio.sleep(BACK_AFTER_S)
    for member in members:
        deployment.cluster.start(member)
        await asyncio.sleep(APART_S)


async def run(deployment: Deployment) -> int:
    """Plays the case; returns the exit status."""
    preload(deployment)
    if not await deployment.start():
        return 2
    if not await deployment.submit(submission("wk-900001", 4), 2.0) or not await deployment.wait_done(
        "wk-900001", 15.0
    ):
        return 2
    old = f"wk-{FINISHED_JOBS // 2:06d}"
    if await deployment.ask(old) != "done" or not await deployment.submit(submission("wk-900002", 4), 10.0):
        return 2
    await asyncio.sleep(3.0)
    if TROUBLE:
        await crash(deployment)
    deployment.record("the trouble is over")
    ends_at = time.monotonic() + FORGOTTEN_AFTER_S + 1.0
    answered = 0
    while time.monotonic() < ends_at:
        asked_at = time.monotonic()
        statuses = [await deployment.ask("wk-900002"), await deployment.ask(old)]
        answered += any(status is not None for status in statuses)
        if statuses == ["done", "done"] and answered >= ROUNDS_ANSWERED:
            deployment.record("both jobs are answered, and the accepted one is done: the rule held")
            return 0
        await asyncio.sleep(max(0.0, POLL_EVERY_S - (time.monotonic() - asked_at)))
    deployment.record(f"rounds of questions with an answer, of all that were asked in 75 s: {answered}")
    # Anything between an answer now and then and none at all is no proof.
    return 1 if not answered else 2


if __name__ == "__main__":
    sys.exit(play(Deployment(HERE / "record.txt", machines_per_zone=1, most_per_zone=4), run))
