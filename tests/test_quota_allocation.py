"""When a controller requests a larger allocation of a team's limit, or returns a part of its allocation."""

from __future__ import annotations

import pytest

from sloeswitch.core import quota
from sloeswitch.core.quota import ResourceAmount, ResourceUsage
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.settings import Settings


def allocation(settings: Settings, allocated: float, usage: float, unallocated: float) -> QuotaAllocation:
    """The allocation of one of two controllers that share a limit of 20 cores."""
    return QuotaAllocation(
        settings.teams["red"], ResourceAmount(allocated), ResourceUsage(usage), ResourceAmount(unallocated), 2
    )


def test_a_controller_takes_an_equal_share_while_much_of_the_limit_is_unallocated(settings: Settings) -> None:
    quota_allocation = allocation(settings, allocated=0.0, usage=1.0, unallocated=20.0)
    assert quota_allocation.is_short and quota_allocation.has_unallocated and not quota_allocation.is_scarce
    assert quota_allocation.increased == (10.0, 0.0)


def test_a_controller_takes_no_more_of_a_scarce_limit_than_it_needs(settings: Settings) -> None:
    """Guards against an idle margin in one controller's allocation that makes jobs of another controller late."""
    quota_allocation = allocation(settings, allocated=4.0, usage=5.0, unallocated=1.0)
    assert quota_allocation.is_scarce and quota_allocation.is_short and quota_allocation.increased == (5.0, 0.0)


@pytest.mark.parametrize(
    ("allocated", "usage", "unallocated", "surplus"),
    [(10.0, 4.0, 1.0, True), (10.0, 9.8, 1.0, False), (10.0, 4.0, 8.0, False), (4.0, 4.0, 0.0, False)],
)
def test_an_idle_part_of_an_allocation_is_returned_only_if_the_limit_is_scarce(
    settings: Settings, allocated: float, usage: float, unallocated: float, surplus: bool
) -> None:
    quota_allocation = allocation(settings, allocated, usage, unallocated)
    assert quota_allocation.has_surplus == surplus and not quota_allocation.is_short
    assert quota_allocation.decreased.cores <= allocated


def test_a_reallocation_never_exceeds_the_limit_and_drops_empty_allocations() -> None:
    others = {"c1.2": ResourceAmount(15.0, 1.0)}
    after = quota.reallocate(others, ResourceAmount(20.0, 1.0), "c0.1", ResourceAmount(9.0, 1.0))
    assert after == {"c1.2": (15.0, 1.0), "c0.1": (5.0, 0.0)}
    assert quota.reallocate(after, ResourceAmount(20.0, 1.0), "c0.1", ResourceAmount()) == others


def test_an_amount_equals_the_pair_that_is_stored() -> None:
    assert ResourceAmount(8.0, 1.0) == (8.0, 1.0) and list(ResourceAmount(8.0)) == [8.0, 0.0]
