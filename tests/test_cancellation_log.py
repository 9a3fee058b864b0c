"""The log of cancellations that controllers send to their siblings."""

from __future__ import annotations

from sloeswitch.core.cancellation_log import CancellationLog


def test_entries_are_sent_in_the_order_of_learning_not_of_revision() -> None:
    """A process knows its own writes before it reads earlier writes of others."""
    log = CancellationLog(100, 9)
    log.add("wk-2", 50)
    first = log.since(40, 0, 0, 10)
    assert [entry.job for entry in first.cancellations] == ["wk-2"]
    log.add("wk-1", 45)
    assert log.since(40, 9, first.position, 10).cancellations == [("wk-1", 45)]
    assert log.since(47, 9, first.position, 10).cancellations == []
    # A position in the log of another process counts as 0.
    assert len(log.since(40, 8, first.position, 10).cancellations) == 2


def test_sibling_that_may_lack_dropped_entries_gets_none_and_more_is_set() -> None:
    log = CancellationLog(2, 9)
    for revision in (10, 20, 30):
        log.add(f"wk-{revision}", revision)
    assert log.since(5, 0, 0, 10).more
    assert not log.since(5, 0, 0, 10).cancellations
    assert [entry.revision for entry in log.since(10, 0, 0, 10).cancellations] == [20, 30]
    assert [entry.revision for entry in log.since(5, 9, 1, 10).cancellations] == [20, 30]


def test_delta_is_bounded_and_the_next_one_continues_at_its_position() -> None:
    log = CancellationLog(100, 9)
    for revision in (10, 20, 30, 40, 50):
        log.add(f"wk-{revision}", revision)
    first = log.since(10, 0, 0, 2)
    assert [entry.revision for entry in first.cancellations] == [20, 30] and first.more and first.position == 3
    rest = log.since(10, 9, first.position, 2)
    assert [entry.revision for entry in rest.cancellations] == [40, 50] and not rest.more and rest.position == 5


def test_position_beyond_the_log_counts_as_zero() -> None:
    """Guards against two processes that drew the same log id: no entry may count as known."""
    log = CancellationLog(100, 9)
    log.add("wk-10", 10)
    assert len(log.since(0, 9, 7, 10).cancellations) == 1
