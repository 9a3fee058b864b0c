"""Changes of quota allocations, and jobs that no quota or machine type can ever cover."""

from __future__ import annotations

from sloeswitch.core import quota
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec


def test_allocations_never_exceed_the_limit() -> None:
    allocations = {"c0.1": quota.ResourceAmount(12.0), "c1.2": quota.ResourceAmount(6.0)}
    after = quota.reallocate(allocations, quota.ResourceAmount(20.0), "c0.1", quota.ResourceAmount(18.0))
    assert after == {"c0.1": (14.0, 0.0), "c1.2": (6.0, 0.0)}


def test_adopted_tasks_transfer_their_allocation() -> None:
    allocations = {"c0.1": quota.ResourceAmount(12.0), "c1.2": quota.ResourceAmount(6.0)}
    after = quota.transfer(allocations, "c0.1", "c1.2", spec(), 2)
    assert after == {"c0.1": (8.0, 0.0), "c1.2": (10.0, 0.0)}
    # No more than the source has, so that the sum stays the same.
    assert quota.transfer({"c0.1": quota.ResourceAmount(1.0)}, "c0.1", "c1.2", spec(), 2)["c1.2"] == (1.0, 0.0)


def test_reason_for_which_a_job_can_never_run(store: Store) -> None:
    teams = parse(SETTINGS).teams
    types = store.tables.machine_types
    assert quota.unschedulable_reason(spec(), teams, types) is None
    assert quota.unschedulable_reason(spec(crew="blue"), teams, types) == "unknown team"
    assert quota.unschedulable_reason(spec(cores=9.0), teams, types) == "fits no machine type"
    assert quota.unschedulable_reason(spec(builds=["big"]), teams, types) == "fits no machine type"
    assert quota.unschedulable_reason(spec(accelerators=1.0), teams, types) == "over the team's limit"
    assert quota.unschedulable_reason(spec(shape="group", visits=11), teams, types) == "over the team's limit"
    assert quota.unschedulable_reason(spec(visits=11), teams, types) is None
