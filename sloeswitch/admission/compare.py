"""Compares the decisions that several controllers logged.

Two records of the same row and number must name the same cuts; two decisions about the same job, by the cut of the
same job at the same number, must be alike. Whether work had begun, which one of them read later, plays no part: by the
cut alone both are deferred.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO

import msgspec

from sloeswitch.admission.decision_log import EpochRecord, Record, decode
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


def compare(logs: Iterable[tuple[str, Iterable[str]]]) -> Difference | None:
    """The first difference, in the order of the logs; None where there is none."""
    known: dict[tuple[object, ...], tuple[Line, str]] = {}
    for name, lines in logs:
        for line in records(name, lines):
            key, value = _subject(line.record)
            before = known.setdefault(key, (line, value))
            if before[1] != value:
                return Difference(before[0], line)
    return None


def _subject(record: Record) -> tuple[tuple[object, ...], str]:
    """What a record is about, and what it says of it."""
    if isinstance(record, EpochRecord):
        return ("epoch", record.row, record.number), record.digest
    by_cut = Ground.DEFERRED if record.ground == Ground.BEGUN.value else Ground(record.ground)
    return ("decision", record.job, record.by, record.row, record.number), by_cut.value


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
