"""Log lines about teams' quotas: changes of allocations, and usage that no allocation covers."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping, Sequence

from sloeswitch.core.quota import ResourceAmount, ResourceUsage
from sloeswitch.core.quota_changes import QuotaRowChange
from sloeswitch.core.reconciliation import ForeignAttempt
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("quota")


def format_amount(amount: ResourceAmount | ResourceUsage) -> str:
    """Formats an amount for log lines: cores, and GPUs if there are any."""
    return f"{amount.cores:g}" if not amount.gpus else f"{amount.cores:g}+{amount.gpus:g}gpus"


def _format_allocations(allocations: Mapping[str, ResourceAmount]) -> str:
    held = {holder: amount for holder, amount in sorted(allocations.items()) if amount.cores or amount.gpus}
    return ",".join(f"{holder}:{format_amount(amount)}" for holder, amount in held.items()) or "-"


def log_row_changes(
    changes: Sequence[QuotaRowChange], outcome: TransactionOutcome, view_number: int, revision: int
) -> None:
    """Logs the changes of a transaction that was committed, or that had no answer and may still be applied.

    Args:
        changes: The changes that the transaction contains.
        outcome: The outcome of the transaction.
        view_number: The view on which the transaction was conditional.
        revision: The revision at which it was stored, or at which it was planned if there was no answer.
    """
    if outcome is TransactionOutcome.COMMITTED:
        event = "quota allocations changed"
    elif outcome is TransactionOutcome.UNKNOWN:
        event = "quota allocations unanswered"
    else:
        return
    for change in changes:
        log.info(
            "%s: team=%s before=%s after=%s reasons=%s view=%d revision=%d",
            event,
            change.team,
            _format_allocations(change.before),
            _format_allocations(change.after),
            ",".join(change.reasons),
            view_number,
            revision,
        )


def log_foreign(machine: str, foreign: Sequence[ForeignAttempt], view_number: int) -> None:
    """Logs foreign attempts of a report: they are being killed, and no team's usage here includes them."""
    cores: dict[str, float] = {}
    for attempt in foreign:
        team = attempt.team or "unknown"
        cores[team] = cores.get(team, 0.0) + attempt.cores
    log.info(
        "foreign attempts found: machine=%s attempts=%d cores=%s reasons=%s view=%d",
        machine,
        len(foreign),
        ",".join(f"{team}:{amount:g}" for team, amount in sorted(cores.items())),
        ",".join(f"{reason}:{count}" for reason, count in sorted(Counter(each.reason for each in foreign).items())),
        view_number,
    )


def log_overuse(team: str, usage: ResourceUsage, allocation: ResourceAmount, view_number: int, revision: int) -> None:
    """Logs a warning that a team's tasks on this controller use more than the controller's stored allocation."""
    log.warning(
        "usage above the allocation: team=%s usage=%s allocation=%s view=%d revision=%d",
        team,
        format_amount(usage),
        format_amount(allocation),
        view_number,
        revision,
    )
