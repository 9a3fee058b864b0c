"""When a controller asks for more, or returns a part, of a team's limit."""

from __future__ import annotations

import pytest

from sloeswitch.core import quota
from sloeswitch.core.quota import ResourceAmount, ResourceUsage
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.settings import Settings


def allocation(settings: Settings, allocated: float, usage: float, unallocated: float) -> QuotaAllocation:
    """Of the limit of 20 cores, between two controllers."""
    return QuotaAllocation(
        settings.teams["red"], ResourceAmount(allocated), ResourceUsage(usage), ResourceAmount(unallocated), 2
    )


def test_while_much_of_a_limit_is_free_an_equal_part_is_taken(settings: Settings) -> None:
    part = allocation(settings, allocated=0.0, usage=1.0, unallocated=20.0)
    assert part.is_short and part.has_unallocated and not part.is_scarce
    assert part.increased == (10.0, 0.0)


def test_of_a_scarce_limit_no_more_than_needed_is_taken(settings: Settings) -> None:
    """Failure found on the bench: an idle margin of one controller made another one's checks late."""
    part = allocation(settings, allocated=4.0, usage=5.0, unallocated=1.0)
    assert part.is_scarce and part.is_short and part.increased == (5.0, 0.0)


@pytest.mark.parametrize(
    ("allocated", "usage", "unallocated", "surplus"),
    [(10.0, 4.0, 1.0, True), (10.0, 9.8, 1.0, False), (10.0, 4.0, 8.0, False), (4.0, 4.0, 0.0, False)],
)
def test_what_lies_idle_is_returned_only_of_a_scarce_limit(
    settings: Settings, allocated: float, usage: float, unallocated: float, surplus: bool
) -> None:
    part = allocation(settings, allocated, usage, unallocated)
    assert part.has_surplus == surplus and not part.is_short
    assert part.decreased.cores <= allocated


def test_a_reallocation_never_passes_the_limit_and_leaves_out_who_has_nothing() -> None:
    others = {"c1.2": ResourceAmount(15.0, 1.0)}
    after = quota.reallocate(others, ResourceAmount(20.0, 1.0), "c0.1", ResourceAmount(9.0, 1.0))
    assert after == {"c1.2": (15.0, 1.0), "c0.1": (5.0, 0.0)}
    assert quota.reallocate(after, ResourceAmount(20.0, 1.0), "c0.1", ResourceAmount()) == others


def test_an_amount_equals_the_pair_that_is_stored() -> None:
    assert ResourceAmount(8.0, 1.0) == (8.0, 1.0) and list(ResourceAmount(8.0)) == [8.0, 0.0]
