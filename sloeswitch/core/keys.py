"""Keys of the state service, and the layouts of what is stored under them.

All keys are under one versioned prefix, so that a later layout can be told apart. Names in capitals stand for what
they name, in quotation marks stands what is stored:

    m/MEMBER    {"boot", "settled", "layout"}    a live controller (bound to its lease): its incarnation, the view
                                                 whose recovery it has completed, the layout that it writes
    coord       {"member", "boot"}               the coordinator (bound to its lease), as member and incarnation
    view        {"n", "members"}                 the numbered view: [[member, incarnation], ...]
    catalog     {...}                            all machine types, as the cloud listed them last
    c/TYPE      {...}                            one machine type, where all together exceed the limit of a value
    j/JOB       {"s", "n", "t", "spec", ...}     a job: its state ("live", "done" or "withdrawn"), number of tasks, and
                                                 spec with the time of submission until it is over; then the time of
                                                 its end. "x": the time of its cancellation. "h": its handoffs, once it
                                                 was offered to another cell. "o": the handoff that it came with. In
                                                 place of "spec", "parts": the attempt to store chunks, and their number
    p/JOB/ATTEMPT/N  TEXT                        a chunk of a spec that exceeds the limit of a value
    r/JOB       {"d", "c", "z", "a", "e"}        a job's progress: done tasks, claims by incarnation id, zone, attempt,
                                                 and the revision up to which adoptions are in the claims
    a/INCARNATION/N  {"m": {JOB: tasks}}         an adoption: tasks that this incarnation found on machines which it
                                                 took over, its claims in addition to those in the jobs' progress rows
                                                 until these are written next
    q/TEAM      {INCARNATION: [cores, gpus]}     a team's quota, as allocations to controllers
    g/GROUP     {"m": {MACHINE: [address, type, zone, spot]}}    a group of machines that may hold tasks
    h/MACHINE   {"a", "t", "z", "s"}             the same, one machine in a row: layout 1, written while a controller is
                                                 live that does not know groups
    feature/F   {"seen", "complete"}             members that have run with a feature turned on, and whether all
                                                 configured ones have (see features)
    admission/rPATH  {"n", "c", ...}             cuts of admission (see admission.cuts), of the lanes whose hash begins
                                                 with PATH
    f/CELL      {"n"}                            the number up to which another cell's unrecorded handoffs are refused
                                                 (see cells.delegation)
    layout      {"seen", "complete"}             members that have run with the present layout, and whether all have
"""

from __future__ import annotations

from enum import StrEnum
from functools import lru_cache

KEY_PREFIX = "s1/"


class RowKind(StrEnum):
    """The first part of a key after the prefix: what kind of row it names; the values are the stored words."""

    MEMBER = "m"
    COORDINATOR = "coord"
    VIEW = "view"
    CATALOG = "catalog"
    MACHINE_TYPE = "c"
    JOB = "j"
    SPEC_CHUNK = "p"
    PROGRESS = "r"
    ADOPTION = "a"
    QUOTA = "q"
    MACHINE_GROUP = "g"
    MACHINE = "h"
    FEATURE = "feature"
    ADMISSION = "admission"
    HANDOFF_FLOOR = "f"
    LAYOUT = "layout"


VIEW_KEY = f"{KEY_PREFIX}{RowKind.VIEW}"
COORDINATOR_KEY = f"{KEY_PREFIX}{RowKind.COORDINATOR}"
CATALOG_KEY = f"{KEY_PREFIX}{RowKind.CATALOG}"
LAYOUT_KEY = f"{KEY_PREFIX}{RowKind.LAYOUT}"

# The layout with which groups of machines came.
MACHINE_GROUPS_LAYOUT = 2
# The layout that this version writes; each controller announces its own in its member row. Layout 3 stores jobs that
# wait for others, specs in chunks, and sets of tasks as text where that is shorter, all of them only once the row at
# LAYOUT_KEY says that every configured controller has run with it.
LAYOUT_VERSION = 3

_MEMBER_PREFIX = f"{KEY_PREFIX}{RowKind.MEMBER}/"
_MACHINE_TYPE_PREFIX = f"{KEY_PREFIX}{RowKind.MACHINE_TYPE}/"
_JOB_PREFIX = f"{KEY_PREFIX}{RowKind.JOB}/"
_SPEC_CHUNK_PREFIX = f"{KEY_PREFIX}{RowKind.SPEC_CHUNK}/"
_PROGRESS_PREFIX = f"{KEY_PREFIX}{RowKind.PROGRESS}/"
_ADOPTION_PREFIX = f"{KEY_PREFIX}{RowKind.ADOPTION}/"
_QUOTA_PREFIX = f"{KEY_PREFIX}{RowKind.QUOTA}/"
_MACHINE_GROUP_PREFIX = f"{KEY_PREFIX}{RowKind.MACHINE_GROUP}/"
_MACHINE_PREFIX = f"{KEY_PREFIX}{RowKind.MACHINE}/"
_FEATURE_PREFIX = f"{KEY_PREFIX}{RowKind.FEATURE}/"
_ADMISSION_PREFIX = f"{KEY_PREFIX}{RowKind.ADMISSION}/r"
_HANDOFF_FLOOR_PREFIX = f"{KEY_PREFIX}{RowKind.HANDOFF_FLOOR}/"


def member_key(member: str) -> str:
    """The key of a live controller's row."""
    return f"{_MEMBER_PREFIX}{member}"


def job_key(job: str) -> str:
    """The key of a job's row."""
    return f"{_JOB_PREFIX}{job}"


def progress_key(job: str) -> str:
    """The key of the row with a job's progress."""
    return f"{_PROGRESS_PREFIX}{job}"


def chunk_key(job: str, attempt: str, number: int) -> str:
    """The key of one chunk of a job's spec, as one attempt to store the spec names it."""
    return f"{_SPEC_CHUNK_PREFIX}{job}/{attempt}/{number}"


def adoption_key(incarnation_id: str, number: int) -> str:
    """The key of one of the adoptions that a controller's run has stored."""
    return f"{_ADOPTION_PREFIX}{incarnation_id}/{number}"


def feature_key(feature: str) -> str:
    """The key of the row that says which members have run with a feature."""
    return f"{_FEATURE_PREFIX}{feature}"


def admission_key(path: str) -> str:
    """The key of the admission cuts of the lanes whose hash begins with a path; the root's path is empty."""
    return f"{_ADMISSION_PREFIX}{path}"


def handoff_floor_key(cell: str) -> str:
    """The key of the number up to which another cell's unrecorded handoffs are refused."""
    return f"{_HANDOFF_FLOOR_PREFIX}{cell}"


def team_key(team: str) -> str:
    """The key of the allocations of a team's quota."""
    return f"{_QUOTA_PREFIX}{team}"


def machine_key(machine: str) -> str:
    """The key of a machine's own row, which only layout 1 writes."""
    return f"{_MACHINE_PREFIX}{machine}"


def machine_type_key(machine_type: str) -> str:
    """The key of one machine type, where the catalog exceeds the limit of a value."""
    return f"{_MACHINE_TYPE_PREFIX}{machine_type}"


def group_key(group: str) -> str:
    """The key of a group of machines."""
    return f"{_MACHINE_GROUP_PREFIX}{group}"


def group_name(key: str) -> str:
    """The group that a key names; a key of another kind is returned as it is, which names no group."""
    return key.removeprefix(_MACHINE_GROUP_PREFIX)


@lru_cache(maxsize=64)
def incarnation_id_of(member: str, incarnation: int) -> str:
    """Names one run of one controller: claims carry it, so that a restart never owns old claims."""
    return f"{member}.{incarnation}"
