"""Checks the decision logs of several controllers for contradictions.

A log holds two kinds of records: versions (numbers) of rows that a controller applied, each with a digest of its cuts
(admission watermarks), and decisions on jobs, each with the number of the row that it was made by. The rules:

- Records of the same row and number must have the same digest.
- Cuts are never lowered, so a job is deferred by its lane's cut up to some number and admitted at all higher ones. If
  one controller admitted it at a number, no other may have deferred it at that number or a higher one.
- If a controller logs a job as deferred, then applies further numbers, and then logs the job as admitted, it deferred
  the job at the numbers in between as well.
- A job that was admitted as a prerequisite of another ("needed") is not compared: it depends on the cut of that job's
  lane.
- A job that was admitted because its work had begun ("begun") counts as deferred by its lane's cut: controllers learn
  of that work at different times.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO

import msgspec

from sloeswitch.admission.decision_log import DecisionRecord, EpochRecord, Record, decode
from sloeswitch.admission.decisions import DecisionReason

# The text before a record in a line of a controller's log, and the record's first character.
RECORD_MARKER = " admission: {"


class LogError(Exception):
    """A log cannot be read; the message names the file and, for a malformed record, the line."""


@dataclass(frozen=True)
class Line:
    """A record with its file and line number."""

    file: str
    number: int
    text: str
    record: Record

    def __str__(self) -> str:
        return f"{self.file}:{self.number}: {self.text}"


@dataclass(frozen=True)
class Difference:
    """The first two lines that contradict each other."""

    one: Line
    other: Line


def records(name: str, lines: Iterable[str]) -> Iterator[Line]:
    """Yields the records of a log and skips other lines; raises LogError for a malformed record."""
    for number, line in enumerate(lines, 1):
        _, mark, rest = line.partition(RECORD_MARKER)
        if not mark:
            continue
        text = "{" + rest.rstrip("\n")
        try:
            yield Line(name, number, text, decode(text))
        except msgspec.MsgspecError as error:
            raise LogError(f"{name}:{number}: {error}") from None


class Comparison:
    """Collects the records of the logs read so far and compares further ones with them."""

    def __init__(self) -> None:
        self._digests: dict[tuple[str, int], Line] = {}
        # By job: the lowest row number at which it was admitted, and the highest at which it was deferred.
        self._admitted: dict[str, tuple[int, Line]] = {}
        self._deferred: dict[str, tuple[int, Line]] = {}

    def read(self, name: str, lines: Iterable[str]) -> Difference | None:
        """Reads one controller's log; returns the first contradiction to what was read before, or None."""
        applied: list[tuple[EpochRecord, Line]] = []
        deferred_here: dict[str, int] = {}
        for line in records(name, lines):
            record = line.record
            if isinstance(record, EpochRecord):
                known = self._digests.setdefault((record.row, record.number), line)
                if known.record != record:
                    return Difference(known, line)
                applied.append((record, line))
                continue
            difference = None
            if record.ground in (DecisionReason.DEFERRED.value, DecisionReason.BEGUN.value):
                deferred_here.setdefault(record.job, len(applied))
                difference = self._note_deferred(record.job, record.number, line)
            elif record.ground == DecisionReason.CUT.value:
                if record.job in deferred_here:
                    since = applied[deferred_here.pop(record.job) :]
                    difference = self._note_deferred_meanwhile(record, since)
                difference = difference or self._note_admitted(record, line)
            if difference is not None:
                return difference
        return None

    def _note_deferred_meanwhile(
        self, admitted: DecisionRecord, applied: list[tuple[EpochRecord, Line]]
    ) -> Difference | None:
        """Notes an admitted job as deferred at the earlier numbers that were applied while it was deferred.

        These are numbers of its row, or of the rows that its row was split from.
        """
        for record, line in applied:
            if record.number < admitted.number and admitted.row.startswith(record.row):
                difference = self._note_deferred(admitted.job, record.number, line)
                if difference is not None:
                    return difference
        return None

    def _note_deferred(self, job: str, number: int, line: Line) -> Difference | None:
        known = self._deferred.get(job)
        if known is None or known[0] < number:
            self._deferred[job] = (number, line)
        admitted = self._admitted.get(job)
        return Difference(admitted[1], line) if admitted is not None and admitted[0] <= number else None

    def _note_admitted(self, record: DecisionRecord, line: Line) -> Difference | None:
        known = self._admitted.get(record.job)
        if known is None or known[0] > record.number:
            self._admitted[record.job] = (record.number, line)
        deferred = self._deferred.get(record.job)
        return Difference(deferred[1], line) if deferred is not None and deferred[0] >= record.number else None


def compare(logs: Iterable[tuple[str, Iterable[str]]]) -> Difference | None:
    """Returns the first contradiction, in the order of the logs; None if they agree."""
    comparison = Comparison()
    for name, lines in logs:
        difference = comparison.read(name, lines)
        if difference is not None:
            return difference
    return None


def main(paths: list[str], out: TextIO, errors: TextIO) -> int:
    """Compares log files; returns the exit code: 0 if they agree, 1 if not, 2 if a log cannot be read."""
    try:
        logs = [(path, _read(path)) for path in paths]
        difference = compare(logs)
    except LogError as error:
        print(error, file=errors)
        return 2
    if difference is None:
        return 0
    print(difference.one, file=out)
    print(difference.other, file=out)
    return 1


def _read(path: str) -> Iterator[str]:
    """Yields the lines of a file without loading it whole, since a log may be large."""
    try:
        with open(path, encoding="utf-8") as file:
            yield from file
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise LogError(f"{path}: not UTF-8 text: {error.reason}") from None
