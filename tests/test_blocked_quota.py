"""Jobs that the team's limit covers, while idle parts of it are allocated to several controllers."""

from __future__ import annotations

from typing import Any

import pytest

from sloeswitch.core import blocked_quota, keys
from sloeswitch.core.quota import ResourceAmount, ResourceUsage
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.settings import Settings, Team
from tests.conftest import SETTINGS, Store, spec
from tests.support.cluster import World

MEMBERS = ("c0", "c1", "c2")
# No accepted job waits longer than this while a machine that fits has room and its team is under its limit.
MAX_WAIT_S = 90.0
JOB = "wk-000001"


def idle_cluster(seed: int, limit: float) -> World:
    """Three controllers with machines; the team is idle, and each controller holds a third of its limit."""
    text = SETTINGS.replace("cpus_max = 20.0", f"cpus_max = {limit}")
    world = World(seed, members=MEMBERS, machines=12, text=text)
    world.start()
    holders = world.store.tables.view.incarnation_ids
    assert len(holders) == len(MEMBERS)
    world.store.put(keys.quota_key("red"), {holder: [limit / len(holders), 0.0] for holder in holders})
    return world


def start_delay_s(world: World, crash_after_s: float | None = None) -> float:
    """Advances the simulation until a task starts; returns how long that took, or infinity after MAX_WAIT_S."""
    submitted_at = world.clock.time
    while not world.starts:
        waited_s = world.clock.time - submitted_at
        if waited_s > MAX_WAIT_S:
            return float("inf")
        if crash_after_s is not None and waited_s > crash_after_s:
            world.nodes["c1"] = world.new_node("c1")
            crash_after_s = None
        world.step(fault_free=True)
    return world.clock.time - submitted_at


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("crash_after_s", [None, 1.0])
@pytest.mark.parametrize(
    ("limit", "job"),
    [
        (8.0, {"cores": 8.0, "visits": 1}),
        (8.0, {"cores": 7.0, "visits": 5}),
        (20.0, {"cores": 8.0, "visits": 2, "shape": "group"}),
        (24.0, {"cores": 4.0, "visits": 6, "shape": "group"}),
    ],
)
def test_a_job_starts_although_idle_quota_is_divided_among_controllers(
    seed: int, crash_after_s: float | None, limit: float, job: dict[str, Any]
) -> None:
    """Guards against jobs that wait for ever: each controller kept its idle part, and no part was enough alone."""
    world = idle_cluster(seed, limit)
    while not world.submit(world.nodes["c0"], spec(JOB, memoryGb=0.5, **job)):
        world.step(fault_free=True)
    assert start_delay_s(world, crash_after_s) <= MAX_WAIT_S


def allocation(team: Team, allocated: float, usage: float, unallocated: float) -> QuotaAllocation:
    """The allocation of one of three controllers, while a job of the team is blocked."""
    return QuotaAllocation(
        team, ResourceAmount(allocated), ResourceUsage(usage), ResourceAmount(unallocated), 3, has_blocked_job=True
    )


def test_a_blocked_job_makes_a_controller_return_all_that_it_does_not_use(settings: Settings) -> None:
    """Guards against a part too small to be worth a write that keeps a job from starting for ever."""
    returning = allocation(settings.teams["red"], allocated=10.0, usage=9.9, unallocated=10.0)
    assert returning.has_surplus and returning.decreased == (9.9, 0.0)
    assert not allocation(settings.teams["red"], allocated=10.0, usage=10.0, unallocated=10.0).has_surplus


@pytest.mark.parametrize(
    ("job", "claimed", "blocked"),
    [
        ({"cores": 15.0, "visits": 1}, 0, True),
        ({"cores": 6.0, "visits": 1}, 0, False),
        ({"cores": 6.0, "visits": 3}, 0, False),
        ({"cores": 6.0, "visits": 3, "shape": "group"}, 0, True),
        ({"cores": 15.0, "visits": 1}, 4, False),
        ({"cores": 12.0, "visits": 1}, 4, True),
    ],
)
def test_a_job_is_blocked_if_only_idle_allocations_stand_in_its_way(
    store: Store, settings: Settings, job: dict[str, Any], claimed: int, blocked: bool
) -> None:
    """The limit is 20 cores, 6 of them unallocated; a claimed task takes 2."""
    store.view(3, ("c0", 1), ("c1", 2))
    store.put(keys.quota_key("red"), {"c0.1": [7.0, 0.0], "c1.2": [7.0, 0.0]})
    store.job(spec("wk-000002", visits=4))
    store.progress("wk-000002", c0_1=(1 << claimed) - 1)
    store.job(spec(JOB, **job))
    found = blocked_quota.blocked_teams([store.tables.jobs[JOB]], store.tables, settings.teams)
    assert found == ({"red"} if blocked else set())
