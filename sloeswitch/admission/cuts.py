"""Admission cuts: tickets, lanes, the rows that hold cuts, and how a lane finds its row."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec

# Bits of a lane's hash, and so the deepest that rows can be split.
HASH_BITS = 32
# The row in which a lane is first looked for.
ROOT = ""


class Ticket(NamedTuple):
    """A job's place in the order of submission: the stored time of day in milliseconds, then the id."""

    submitted_ms: int
    job: str


FIRST_TICKET = Ticket(0, "")


class Lane(NamedTuple):
    """Jobs that are admitted in the order of their tickets. The priority is the job's own, not an inherited one."""

    team: str
    job_class: str
    priority: str


def team_lane(team: str) -> Lane:
    """The lane whose row keeps what a team is owed. No job is of it: classes have names."""
    return Lane(team, "", "")


class LaneCut(NamedTuple):
    """Up to where a lane's jobs are admitted, and when that last rose, by the clock of whoever stored it."""

    cut: Ticket
    risen_ms: int


NOTHING_ADMITTED = LaneCut(FIRST_TICKET, 0)


@dataclass(frozen=True)
class AdmissionRow:
    """One stored value: the cuts of all lanes that belong to it."""

    # Rises by one with each change of the row.
    number: int = 0
    # For lanes that are not named.
    common: LaneCut = NOTHING_ADMITTED
    lanes: Mapping[Lane, LaneCut] = field(default_factory=dict)
    # What teams are owed by the round robin, in cores.
    deficits: Mapping[str, float] = field(default_factory=dict)
    # Its lanes belong to its two children, for good.
    split: bool = False

    def of(self, lane: Lane) -> LaneCut:
        """The cut of a lane, which is never below the common one."""
        own = self.lanes.get(lane)
        return self.common if own is None or own.cut < self.common.cut else own

    def raised(self, common: LaneCut, lanes: Mapping[Lane, LaneCut], deficits: Mapping[str, float]) -> AdmissionRow:
        """The row with these cuts where they are above its own.

        No cut falls, whatever is asked for: that is why a reader that lags admits nothing that others defer.
        """
        common = max(self.common, common, key=_cut_of)
        merged = dict(self.lanes)
        for lane, cut in lanes.items():
            merged[lane] = max(self.of(lane), cut, key=_cut_of)
        kept = {lane: cut for lane, cut in merged.items() if cut.cut > common.cut}
        changed = replace(self, common=common, lanes=kept, deficits=dict(deficits))
        return self if changed == self else replace(changed, number=self.number + 1)

    def children(self, path: str) -> tuple[AdmissionRow, dict[str, AdmissionRow]]:
        """The row marked as split, and the two rows that take its lanes, with the same cuts."""
        number = self.number + 1
        parts = {
            path + bit: AdmissionRow(
                number,
                self.common,
                {lane: cut for lane, cut in self.lanes.items() if hash_bits(lane)[len(path)] == bit},
                {team: owed for team, owed in self.deficits.items() if hash_bits(team_lane(team))[len(path)] == bit},
            )
            for bit in "01"
        }
        return replace(self, number=number, lanes={}, deficits={}, split=True), parts

    def stored(self) -> dict[str, Any]:
        """The value of the row.

        Lanes are grouped by team and class, so that each name is stored once; times are relative to the common cut,
        so that they are short.
        """
        base_ms = self.common.cut.submitted_ms
        lanes: dict[str, dict[str, list[list[Any]]]] = {}
        for lane, cut in sorted(self.lanes.items()):
            entry = [lane.priority, cut.cut.submitted_ms - base_ms, cut.cut.job, cut.risen_ms - base_ms]
            lanes.setdefault(lane.team, {}).setdefault(lane.job_class, []).append(entry)
        value: dict[str, Any] = {"n": self.number, "c": [*self.common.cut, self.common.risen_ms]}
        if lanes:
            value["l"] = lanes
        owed = {team: round(amount, 1) for team, amount in sorted(self.deficits.items()) if amount}
        if owed:
            value["d"] = owed
        if self.split:
            value["s"] = True
        return value

    @staticmethod
    def from_stored(value: dict[str, Any]) -> AdmissionRow:
        """Raises KeyError, TypeError or ValueError for what is no row."""
        base_ms, job, risen_ms = value["c"]
        lanes = {
            Lane(team, klass, priority): LaneCut(Ticket(base_ms + cut_ms, cut_job), base_ms + lane_risen_ms)
            for team, classes in value.get("l", {}).items()
            for klass, entries in classes.items()
            for priority, cut_ms, cut_job, lane_risen_ms in entries
        }
        common = LaneCut(Ticket(base_ms, job), risen_ms)
        return AdmissionRow(value["n"], common, lanes, value.get("d", {}), value.get("s", False))

    @property
    def size_bytes(self) -> int:
        """How large the stored value is."""
        return len(msgspec.json.encode(self.stored()))

    @property
    def digest(self) -> str:
        """Names the cuts: equal where they are equal."""
        return hashlib.blake2b(msgspec.json.encode(self.stored()), digest_size=8).hexdigest()


def _cut_of(cut: LaneCut) -> Ticket:
    return cut.cut


@lru_cache(maxsize=4096)
def hash_bits(lane: Lane) -> str:
    """The bits by which a lane finds its row."""
    text = "\0".join(lane).encode()
    number = int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BITS // 8).digest(), "big")
    return format(number, f"0{HASH_BITS}b")


def row_of(rows: Mapping[str, AdmissionRow], lane: Lane) -> str | None:
    """The path of the row that a lane belongs to; None while that is not known here, so that nothing is admitted."""
    path = ROOT
    bits = hash_bits(lane)
    while path in rows and rows[path].split:
        path = bits[: len(path) + 1]
    return path if path in rows else None


def leaves(rows: Mapping[str, AdmissionRow]) -> dict[str, AdmissionRow]:
    """The rows to which lanes belong."""
    return {path: row for path, row in sorted(rows.items()) if not row.split}
