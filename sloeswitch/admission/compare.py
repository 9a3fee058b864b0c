"""Compares the decisions that several controllers logged.

Two records of the same row and number must name the same cuts. By its own cut a job is deferred up to some number and
admitted from a higher one on, and so in all logs: what one controller admitted at a number, no other may have deferred
at that number or a later one. A controller that logs a job as deferred, then applies further numbers, and then logs it
as admitted, deferred it at those numbers too. What is admitted since another job needs it goes by that job's cut.
Whether work had begun, which one controller read later than another, plays no part.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO

import msgspec

from sloeswitch.admission.decision_log import DecisionRecord, EpochRecord, Record, decode
from sloeswitch.admission.decisions import Ground

# What stands before a record in a controller's log.
MARK = " admission: {"


class LogError(Exception):
    """A log that cannot be read, with file and line."""


@dataclass(frozen=True)
class Line:
    """A record and where it stands."""

    file: str
    number: int
    text: str
    record: Record

    def __str__(self) -> str:
        return f"{self.file}:{self.number}: {self.text}"


@dataclass(frozen=True)
class Difference:
    """The first two lines that do not agree."""

    one: Line
    other: Line


def records(name: str, lines: Iterable[str]) -> Iterator[Line]:
    """The records of a log; other lines are passed over. LogError names a record that is malformed."""
    for number, line in enumerate(lines, 1):
        _, mark, rest = line.partition(MARK)
        if not mark:
            continue
        text = "{" + rest.rstrip("\n")
        try:
            yield Line(name, number, text, decode(text))
        except msgspec.MsgspecError as error:
            raise LogError(f"{name}:{number}: {error}") from None


class Comparison:
    """What the logs that were read so far say."""

    def __init__(self) -> None:
        self._digests: dict[tuple[str, int], Line] = {}
        # By job: the lowest number at which it was admitted, and the highest at which it was deferred.
        self._admitted: dict[str, tuple[int, Line]] = {}
        self._deferred: dict[str, tuple[int, Line]] = {}

    def read(self, name: str, lines: Iterable[str]) -> Difference | None:
        """Reads one controller's log; the first line that does not agree with what was read before."""
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
            if record.ground in (Ground.DEFERRED.value, Ground.BEGUN.value):
                deferred_here.setdefault(record.job, len(applied))
                difference = self._note_deferred(record.job, record.number, line)
            elif record.ground == Ground.CUT.value:
                if record.job in deferred_here:
                    since = applied[deferred_here.pop(record.job) :]
                    difference = self._note_implied(record, since)
                difference = difference or self._note_admitted(record, line)
            if difference is not None:
                return difference
        return None

    def _note_implied(self, admitted: DecisionRecord, applied: list[tuple[EpochRecord, Line]]) -> Difference | None:
        """Numbers of its row, or of the rows that this was split from, that were applied while it was deferred."""
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
    """The first difference, in the order of the logs; None where there is none."""
    comparison = Comparison()
    for name, lines in logs:
        difference = comparison.read(name, lines)
        if difference is not None:
            return difference
    return None


def main(paths: list[str], out: TextIO, errors: TextIO) -> int:
    """Compares log files; 0 where they agree, 1 with the first difference, 2 for what cannot be read."""
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
    """A file's lines, one by one: a log may be large."""
    try:
        with open(path, encoding="utf-8") as file:
            yield from file
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise LogError(f"{path}: not UTF-8 text: {error.reason}") from None
