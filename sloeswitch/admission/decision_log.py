"""The log of admission decisions: one JSON object per line, which `admission.compare` reads."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.admission.decisions import Decision

log = logging.getLogger("admission")


class EpochRecord(msgspec.Struct, tag="epoch", frozen=True):
    """A changed row of cuts (admission watermarks) that a controller applied."""

    row: str
    number: int
    # A hash of the row (see AdmissionRow.digest).
    digest: str


class DecisionRecord(msgspec.Struct, tag="decision", frozen=True):
    """A decision on a job, logged when the job is first decided on and when the reason changes."""

    job: str
    # The row and its number that the decision was made by; empty and 0 if the row had not been read.
    row: str
    number: int
    # The reason (see decisions.DecisionReason), and the job whose lane's cut decided.
    ground: str
    by: str


Record = EpochRecord | DecisionRecord


def encode(record: Record) -> str:
    """Encodes a record as it is logged."""
    return msgspec.json.encode(record).decode()


def decode(text: str | bytes) -> Record:
    """Decodes a record; raises msgspec.MsgspecError if it is malformed."""
    return msgspec.json.decode(text, type=Record)


class DecisionLog:
    """Logs changed rows at the level `info` and decisions at `debug`.

    There is one record for each change of a row, which is at most a tenth of the state service's write rate, and mostly
    one or two decisions for each job.
    """

    def log_changed_rows(self, before: Mapping[str, AdmissionRow], after: Mapping[str, AdmissionRow]) -> None:
        """Logs the rows that changed."""
        if not log.isEnabledFor(logging.INFO):
            return
        for path, row in after.items():
            if before.get(path) != row:
                log.info("%s", encode(EpochRecord("r" + path, row.number, row.digest)))

    def log_decision(self, job: str, decision: Decision) -> None:
        """Logs the decision on a job."""
        if log.isEnabledFor(logging.DEBUG):
            row = "" if decision.row is None else "r" + decision.row
            log.debug(
                "%s", encode(DecisionRecord(job, row, decision.number, decision.reason.value, decision.decided_by))
            )
