"""Decisions as they are logged: one JSON object a line, so that those of several controllers can be compared."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.admission.decisions import Decision

log = logging.getLogger("admission")


class EpochRecord(msgspec.Struct, tag="epoch", frozen=True):
    """A change of a row that a controller applied."""

    row: str
    number: int
    # Names the cuts (see AdmissionRow.digest).
    digest: str


class DecisionRecord(msgspec.Struct, tag="decision", frozen=True):
    """A decision that a controller took about a job: the first one, and each that differs."""

    job: str
    # The row and its number by which it was taken; empty and 0 while the row was not known.
    row: str
    number: int
    # Why (see decisions.Ground), and the job whose cut decided.
    ground: str
    by: str


Record = EpochRecord | DecisionRecord


def encode(record: Record) -> str:
    """A record as it is logged."""
    return msgspec.json.encode(record).decode()


def decode(text: str | bytes) -> Record:
    """Raises msgspec.MsgspecError for what is no record."""
    return msgspec.json.decode(text, type=Record)


class DecisionLog:
    """Logs epochs at the level `info` and decisions at `debug`.

    There are as many epochs as rows are changed, at most a tenth of the state service's changes, and mostly one or two
    decisions for each job.
    """

    def epochs(self, before: Mapping[str, AdmissionRow], after: Mapping[str, AdmissionRow]) -> None:
        """Rows that changed."""
        if not log.isEnabledFor(logging.INFO):
            return
        for path, row in after.items():
            if before.get(path) != row:
                log.info("%s", encode(EpochRecord("r" + path, row.number, row.digest)))

    def decision(self, job: str, decision: Decision) -> None:
        """A job's decision."""
        if log.isEnabledFor(logging.DEBUG):
            row = "" if decision.row is None else "r" + decision.row
            log.debug("%s", encode(DecisionRecord(job, row, decision.number, decision.ground.value, decision.by)))
