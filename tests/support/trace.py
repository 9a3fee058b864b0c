"""Prints a digest of all messages that controllers send in the seeded simulations, for each simulation and seed.

The messages are transactions, answers to workers and users, direct commands, calls to the cloud, and frames between
controllers and between cells.

    python3 -m tests.support.trace 1 25          # seeds 1 to 24; compare with the output of another revision

A change of the code that is meant to keep its behaviour must keep all digests. Log lines are not part of them.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import anyio

from sloeswitch import wire
from sloeswitch.actors.users import Users
from sloeswitch.http import Request
from tests.conftest import submission
from tests.support import admission, cells, cluster
from tests.support.autoscaling import AutoscalingWorld
from tests.support.recorder import TraceRecorder

STEPS = 300
AUTOSCALING_STEPS = 800
PROCESSES = 3
HASH_SEED = "0"


def ask_as_user(world: cluster.World, step: int) -> None:
    """Sends a step's user requests to one controller and records the answers."""
    node = world.nodes[world.members[step % len(world.members)]]
    users = Users(node.context, node.jobs, node.machines)
    for request in user_requests(world, step):
        answer = anyio.run(users.handle, request)
        world.recorder.record(
            "user", node.settings.member, request.path, answer.status, answer.body, repr(answer.headers)
        )


def user_requests(world: cluster.World, step: int) -> Iterator[Request]:
    """Yields the user requests of a step: polls, repeated, invalid and oversized submissions, and cancellations."""
    names = list(world.specs)
    yield Request("GET", "/healthz", b"")
    if names:
        name = names[step % len(names)]
        yield Request("GET", f"/submissions/{name}", b"")
        yield Request("POST", "/submissions", wire.encode(submission(name)))
        yield Request("POST", f"/submissions/{name}/cancel" if step % 50 == 0 else "/submissions", b"{}")
    yield Request("POST", "/submissions", wire.encode(submission(f"wk-9{step:05d}", roster=...)))
    yield Request("POST", "/submissions", wire.encode(submission(f"wk-9{step:05d}", cores=1e6)))
    yield Request("GET", f"/submissions/wk-8{step:05d}", b"")


def simulate_cluster(seed: int, extra_faults: bool) -> TraceRecorder:
    """Runs two controllers with user requests after each step."""
    world = cluster.World(seed, extra_faults)
    world.start()
    for step in range(STEPS):
        world.step()
        ask_as_user(world, step)
    return world.recorder


def simulate_cells(seed: int) -> TraceRecorder:
    """Runs three cells that hand jobs over to each other."""
    return anyio.run(cells.play, seed, 120, 60).recorder


def simulate_admission(seed: int) -> TraceRecorder:
    """Runs four controllers under overload."""
    world = admission.AdmissionWorld(seed)
    world.start()
    for _ in range(STEPS // 2):
        world.submit_at_random(60)
        world.step()
    return world.recorder


def simulate_autoscaling(seed: int) -> TraceRecorder:
    """Runs controllers that scale out and in at a fake cloud."""
    world = AutoscalingWorld(seed)
    world.start()
    for _ in range(AUTOSCALING_STEPS):
        world.step()
    return world.recorder


SIMULATIONS: dict[str, Callable[[int], TraceRecorder]] = {
    "random": partial(simulate_cluster, extra_faults=False),
    "troubled": partial(simulate_cluster, extra_faults=True),
    "cells": simulate_cells,
    "admission": simulate_admission,
    "autoscaling": simulate_autoscaling,
}


def trace(seed: int) -> list[str]:
    """Returns one line for each simulation: its name, the seed, the digest and the number of messages by kind."""
    lines = []
    for name, simulate in SIMULATIONS.items():
        recorder = simulate(seed)
        counts = " ".join(f"{kind.replace(' ', '_')}={count}" for kind, count in sorted(recorder.counts.items()))
        lines.append(f"{name} {seed} {recorder.digest} {counts}")
    return lines


def main(first: int, last: int) -> int:
    """Prints the lines of the seeds from `first` up to but without `last`, in order."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        for lines in pool.map(trace, range(first, last)):
            print("\n".join(lines), flush=True)
    return 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # The iteration order of sets of strings depends on the hash seed.
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [sys.executable, "-m", "tests.support.trace", *sys.argv[1:]])
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
