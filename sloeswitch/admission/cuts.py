"""Admission cuts and the stored rows that hold them.

A cut is a lane's admission watermark: the highest ticket that is admitted. A lane holds the jobs of one team, class and
priority; a ticket is a job's place in the order of submission. The rows form a binary tree over a hash of the lane: the
root row holds the cuts of all lanes until its value grows too large, and is then split into two child rows.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec

# The number of bits of a lane's hash, which is also the maximum depth of the tree of rows.
HASH_BITS = 32
# The path of the root row, where the lookup of a lane starts.
ROOT_PATH = ""


class Ticket(NamedTuple):
    """A job's place in the order of submission: its stored submission time in Unix milliseconds, then its id."""

    submitted_ms: int
    job: str


FIRST_TICKET = Ticket(0, "")


class Lane(NamedTuple):
    """A queue of jobs that are admitted in ticket order. The priority is the one the job was submitted with."""

    team: str
    job_class: str
    priority: str


def deficit_lane(team: str) -> Lane:
    """Returns the lane whose row stores the team's deficit. It holds no jobs, since no class has an empty name."""
    return Lane(team, "", "")


class LaneCut(NamedTuple):
    """The highest admitted ticket of a lane, and when it was raised, by the clock of the coordinator that raised it."""

    ticket: Ticket
    raised_ms: int


NOTHING_ADMITTED = LaneCut(FIRST_TICKET, 0)


@dataclass(frozen=True)
class AdmissionRow:
    """The cuts of all lanes whose hash leads to this row, stored as one value."""

    # The version, incremented by each change of the row.
    number: int = 0
    # The cut of lanes that have no entry in `lanes`.
    common: LaneCut = NOTHING_ADMITTED
    lanes: Mapping[Lane, LaneCut] = field(default_factory=dict)
    # The teams' deficits in the deficit round robin, in cores.
    deficits: Mapping[str, float] = field(default_factory=dict)
    # Whether the lanes have moved to the two child rows. A split is never reverted.
    split: bool = False

    def cut_of(self, lane: Lane) -> LaneCut:
        """Returns the cut of a lane, which is at least the common one."""
        cut = self.lanes.get(lane)
        return self.common if cut is None or cut.ticket < self.common.ticket else cut

    def raised(self, common: LaneCut, lanes: Mapping[Lane, LaneCut], deficits: Mapping[str, float]) -> AdmissionRow:
        """Returns the row with each cut raised to the given one and with the given deficits; lower cuts are ignored.

        A cut is never lowered, so a controller that reads rows late admits no job that others defer.
        """
        common = max(self.common, common, key=_ticket_of_cut)
        merged = dict(self.lanes)
        for lane, cut in lanes.items():
            merged[lane] = max(self.cut_of(lane), cut, key=_ticket_of_cut)
        kept = {lane: cut for lane, cut in merged.items() if cut.ticket > common.ticket}
        changed = replace(self, common=common, lanes=kept, deficits=dict(deficits))
        return self if changed == self else replace(changed, number=self.number + 1)

    def children(self, path: str) -> tuple[AdmissionRow, dict[str, AdmissionRow]]:
        """Returns the row marked as split, and its two child rows by path, which hold its lanes with unchanged cuts."""
        number = self.number + 1
        children = {
            path + bit: AdmissionRow(
                number,
                self.common,
                {lane: cut for lane, cut in self.lanes.items() if hash_bits(lane)[len(path)] == bit},
                {
                    team: deficit
                    for team, deficit in self.deficits.items()
                    if hash_bits(deficit_lane(team))[len(path)] == bit
                },
            )
            for bit in "01"
        }
        return replace(self, number=number, lanes={}, deficits={}, split=True), children

    def stored(self) -> dict[str, Any]:
        """Returns the row as a value for the state service.

        Lanes are grouped by team and class, so that each name is stored once. Times are stored relative to the common
        cut, which makes them shorter.
        """
        base_ms = self.common.ticket.submitted_ms
        lanes: dict[str, dict[str, list[list[Any]]]] = {}
        for lane, cut in sorted(self.lanes.items()):
            entry = [lane.priority, cut.ticket.submitted_ms - base_ms, cut.ticket.job, cut.raised_ms - base_ms]
            lanes.setdefault(lane.team, {}).setdefault(lane.job_class, []).append(entry)
        value: dict[str, Any] = {"n": self.number, "c": [*self.common.ticket, self.common.raised_ms]}
        if lanes:
            value["l"] = lanes
        deficits = {team: round(amount, 1) for team, amount in sorted(self.deficits.items()) if amount}
        if deficits:
            value["d"] = deficits
        if self.split:
            value["s"] = True
        return value

    @staticmethod
    def from_stored(value: dict[str, Any]) -> AdmissionRow:
        """Decodes a stored row; raises KeyError, TypeError or ValueError if it is malformed."""
        base_ms, job, raised_ms = value["c"]
        lanes = {
            Lane(team, klass, priority): LaneCut(Ticket(base_ms + cut_ms, cut_job), base_ms + lane_raised_ms)
            for team, classes in value.get("l", {}).items()
            for klass, entries in classes.items()
            for priority, cut_ms, cut_job, lane_raised_ms in entries
        }
        common = LaneCut(Ticket(base_ms, job), raised_ms)
        return AdmissionRow(value["n"], common, lanes, value.get("d", {}), value.get("s", False))

    @property
    def size_bytes(self) -> int:
        """The size of the stored value."""
        return len(msgspec.json.encode(self.stored()))

    @property
    def digest(self) -> str:
        """A hash of the stored value, by which logs of several controllers are compared."""
        return hashlib.blake2b(msgspec.json.encode(self.stored()), digest_size=8).hexdigest()


def _ticket_of_cut(cut: LaneCut) -> Ticket:
    return cut.ticket


@lru_cache(maxsize=4096)
def hash_bits(lane: Lane) -> str:
    """Returns the hash of a lane as text of 0 and 1; its leading bits are the path of the lane's row."""
    text = "\0".join(lane).encode()
    number = int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BITS // 8).digest(), "big")
    return format(number, f"0{HASH_BITS}b")


def row_path(rows: Mapping[str, AdmissionRow], lane: Lane) -> str | None:
    """Returns the path of the row that holds a lane's cut; None, so that the cut admits no job, until it is read."""
    path = ROOT_PATH
    bits = hash_bits(lane)
    while path in rows and rows[path].split:
        path = bits[: len(path) + 1]
    return path if path in rows else None


def leaf_rows(rows: Mapping[str, AdmissionRow]) -> dict[str, AdmissionRow]:
    """Returns the rows that are not split, by path."""
    return {path: row for path, row in sorted(rows.items()) if not row.split}
