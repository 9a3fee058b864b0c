"""The log of cancellations that controllers tell each other."""

from __future__ import annotations

from sloeswitch.core.cancellation_log import CancellationLog


def test_what_was_learnt_later_is_told_later_whatever_its_stamp() -> None:
    """Own writes are known before what others stored earlier."""
    log = CancellationLog(100, 9)
    log.add("wk-2", 50)
    first = log.since(40, 0, 0, 10)
    assert [entry.job for entry in first.cancellations] == ["wk-2"]
    log.add("wk-1", 45)
    assert log.since(40, 9, first.position, 10).cancellations == [("wk-1", 45)]
    assert log.since(47, 9, first.position, 10).cancellations == []
    # The place in another process's log says nothing.
    assert len(log.since(40, 8, first.position, 10).cancellations) == 2


def test_who_may_lack_what_was_dropped_is_not_confirmed() -> None:
    log = CancellationLog(2, 9)
    for stamp in (10, 20, 30):
        log.add(f"wk-{stamp}", stamp)
    assert log.since(5, 0, 0, 10).more
    assert not log.since(5, 0, 0, 10).cancellations
    assert [entry.revision for entry in log.since(10, 0, 0, 10).cancellations] == [20, 30]
    assert [entry.revision for entry in log.since(5, 9, 1, 10).cancellations] == [20, 30]
