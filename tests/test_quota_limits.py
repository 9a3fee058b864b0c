"""Allocations of a team's quota, and jobs that no quota or machine type covers."""

from __future__ import annotations

from sloeswitch.core import quota
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec


def test_allowances_never_pass_the_limit() -> None:
    held = {"c0.1": quota.ResourceAmount(12.0), "c1.2": quota.ResourceAmount(6.0)}
    after = quota.reallocate(held, quota.ResourceAmount(20.0), "c0.1", quota.ResourceAmount(18.0))
    assert after == {"c0.1": (14.0, 0.0), "c1.2": (6.0, 0.0)}


def test_adopted_task_brings_its_part_of_the_limit() -> None:
    held = {"c0.1": quota.ResourceAmount(12.0), "c1.2": quota.ResourceAmount(6.0)}
    after = quota.transfer(held, "c0.1", "c1.2", spec(), 2)
    assert after == {"c0.1": (8.0, 0.0), "c1.2": (10.0, 0.0)}
    # Never more than the giver had: the sum stays.
    assert quota.transfer({"c0.1": quota.ResourceAmount(1.0)}, "c0.1", "c1.2", spec(), 2)["c1.2"] == (1.0, 0.0)


def test_impossible_jobs_are_told_why(store: Store) -> None:
    teams = parse(SETTINGS).teams
    types = store.tables.machine_types
    assert quota.unschedulable_reason(spec(), teams, types) is None
    assert quota.unschedulable_reason(spec(crew="blue"), teams, types) == "unknown team"
    assert quota.unschedulable_reason(spec(cores=9.0), teams, types) == "fits no machine type"
    assert quota.unschedulable_reason(spec(builds=["big"]), teams, types) == "fits no machine type"
    assert quota.unschedulable_reason(spec(accelerators=1.0), teams, types) == "over the team's limit"
    assert quota.unschedulable_reason(spec(shape="group", visits=11), teams, types) == "over the team's limit"
    assert quota.unschedulable_reason(spec(visits=11), teams, types) is None
