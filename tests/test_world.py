"""The simulated cluster of tests/support/cluster.py: its invariants hold, and all accepted jobs finish in the end."""

from __future__ import annotations

import sys

import pytest

from tests.support.cluster import simulate
from tests.support.seeds import run_seeds


@pytest.mark.parametrize("seed", [1, 5, 6, 12])
def test_invariants_hold_in_a_random_simulation(seed: int) -> None:
    world = simulate(seed, 400)
    # The simulation covers the cases that it is for.
    assert (
        world.starts > 20
        and world.done_jobs
        and world.cancelled_at
        and world.answer_counts["421"]
        and world.answer_counts["503"]
    )


@pytest.mark.parametrize("seed", [12, 15, 49, 95])
def test_invariants_hold_with_machine_faults(seed: int) -> None:
    """In seed 95 a machine hangs with a cancelled task and changes owners before an outage of the state service."""
    world = simulate(seed, 800, extra_faults=True)
    kinds = {"hung", "deaf", "mute", "command", "late command", "deleted", "cancelled on a hung machine"}
    assert world.starts > 20 and world.done_jobs and world.cancelled_at and kinds <= world.event_counts.keys()


@pytest.mark.parametrize("seed", [2, 15])
def test_all_accepted_jobs_finish_after_the_faults_end(seed: int) -> None:
    """Guards against quota or claims that stay with a controller or machine that is gone.

    The team is at its limit throughout, while owners change, machines hang and jobs are cancelled.
    """
    world = simulate(seed, 500, extra_faults=True, fault_free_steps=1000)
    assert world.starts > 20 and world.cancelled_at
    assert world.unfinished() == set()


def test_cancelled_task_on_a_hung_machine_is_gone_in_time_although_its_owner_cannot_act() -> None:
    """Guards against a cancelled task that outlives `cancel_s` on a hung machine whose owner cannot act.

    The owner is a process that has not read the tables yet, and the state service is down for longer than `cancel_s`,
    so the other controller has to delete the machine although it does not own it.
    """
    assert simulate(337, 800, extra_faults=True).event_counts["cancelled on a hung machine"]


if __name__ == "__main__":
    # Runs many seeds with extra faults, outside CI.
    sys.exit(run_seeds(lambda seed: simulate(seed, 800, extra_faults=True), int(sys.argv[1]), int(sys.argv[2])))
