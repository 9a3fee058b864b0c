"""Keys of the rows in the state service, and the layout of the stored values.

All keys have one versioned prefix; an incompatible layout would use another prefix. In the list below, words in
capitals are placeholders and words in quotation marks are stored field names:

    m/MEMBER    {"boot", "settled", "layout"}    a live controller (bound to its lease): the id of its lease, the number
                                                 of the latest view whose recovery it has completed, and the version of
                                                 the layout that it writes
    coord       {"member", "boot"}               the coordinator (bound to its lease): member and lease id
    view        {"n", "members"}                 the view: its number, and [[member, lease id], ...]
    catalog     {...}                            all machine types of the cloud's latest list
    c/TYPE      {...}                            one machine type; used if the catalog exceeds the size limit of a value
    j/JOB       {"s", "n", "t", "spec", ...}     a job. "s": its state ("live", "done" or "withdrawn"). "n": its number
                                                 of tasks. "t": the time of submission; once the job is finished, the
                                                 time at which it finished. "spec": its spec, until it is finished.
                                                 "parts": replaces "spec" if the spec is stored in chunks; the attempt
                                                 that stored them, and their number. "x": the time of cancellation.
                                                 "h": its handoffs to other cells, once it was offered to one. "o": the
                                                 handoff by which it came from another cell
    p/JOB/ATTEMPT/N  TEXT                        one chunk of a spec that exceeds the size limit of a value
    r/JOB       {"d", "c", "z", "a", "e"}        a job's progress. "d": done tasks. "c": claims by incarnation id. "z":
                                                 zone. "a": attempt (unused). "e": the revision up to which adoptions
                                                 are contained in the claims
    a/INCARNATION/N  {"m": {JOB: tasks}}         an adoption: tasks that this incarnation found on machines that it took
                                                 over. They count as its claims, in addition to those in a job's
                                                 progress row, until that row is next written
    q/TEAM      {INCARNATION: [cores, gpus]}     the allocations of a team's quota to controllers
    g/GROUP     {"m": {MACHINE: [address, type, zone, spot]}}    a group of machines on which tasks may run
    h/MACHINE   {"a", "t", "z", "s"}             a single machine on which tasks may run: layout 1, written while any
                                                 live controller does not support groups
    feature/F   {"seen", "complete"}             the members that have run with a feature turned on, and whether this
                                                 includes all configured ones (see features)
    admission/rPATH  {"n", "c", ...}             admission cuts (see admission.cuts) of the lanes whose hash begins with
                                                 PATH
    f/CELL      {"n"}                            the number up to which another cell's handoffs that are not on record
                                                 are refused (see cells.delegation)
    layout      {"seen", "complete"}             the members that have run with the present layout, and whether this
                                                 includes all configured ones
"""

from __future__ import annotations

from enum import StrEnum
from functools import lru_cache

KEY_PREFIX = "s1/"


class RowKind(StrEnum):
    """The kind of a row; each value is the first part of the row's key after the prefix."""

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

# The first layout with groups of machines.
MACHINE_GROUPS_LAYOUT = 2
# The layout that this version writes; each controller stores its own in its member row. Layout 3 adds jobs that depend
# on other jobs, specs in chunks, and sets of tasks as text where that is shorter. They are written only after the row
# at LAYOUT_KEY shows that every configured controller has run with layout 3.
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
    """Returns the key of a live controller's row."""
    return f"{_MEMBER_PREFIX}{member}"


def job_key(job: str) -> str:
    """Returns the key of a job's row."""
    return f"{_JOB_PREFIX}{job}"


def progress_key(job: str) -> str:
    """Returns the key of a job's progress row."""
    return f"{_PROGRESS_PREFIX}{job}"


def chunk_key(job: str, attempt: str, number: int) -> str:
    """Returns the key of one chunk of a job's spec; each attempt to store a spec uses its own keys."""
    return f"{_SPEC_CHUNK_PREFIX}{job}/{attempt}/{number}"


def adoption_key(incarnation_id: str, number: int) -> str:
    """Returns the key of an adoption; an incarnation numbers its adoptions."""
    return f"{_ADOPTION_PREFIX}{incarnation_id}/{number}"


def feature_key(feature: str) -> str:
    """Returns the key of the row with the members that have run with a feature."""
    return f"{_FEATURE_PREFIX}{feature}"


def admission_key(path: str) -> str:
    """Returns the key of the admission cuts of the lanes whose hash begins with a path; the root path is empty."""
    return f"{_ADMISSION_PREFIX}{path}"


def handoff_floor_key(cell: str) -> str:
    """Returns the key of the number up to which another cell's handoffs that are not on record are refused."""
    return f"{_HANDOFF_FLOOR_PREFIX}{cell}"


def quota_key(team: str) -> str:
    """Returns the key of the allocations of a team's quota."""
    return f"{_QUOTA_PREFIX}{team}"


def machine_key(machine: str) -> str:
    """Returns the key of a single machine's row, which only layout 1 uses."""
    return f"{_MACHINE_PREFIX}{machine}"


def machine_type_key(machine_type: str) -> str:
    """Returns the key of one machine type, used if the catalog exceeds the size limit of a value."""
    return f"{_MACHINE_TYPE_PREFIX}{machine_type}"


def machine_group_key(group: str) -> str:
    """Returns the key of a group of machines; for an empty name, the prefix of all such keys."""
    return f"{_MACHINE_GROUP_PREFIX}{group}"


def machine_group_name(key: str) -> str:
    """Returns the name of the group that a key stands for; any other key is returned unchanged and names no group."""
    return key.removeprefix(_MACHINE_GROUP_PREFIX)


@lru_cache(maxsize=64)
def incarnation_id_of(member: str, lease_id: int) -> str:
    """Returns the incarnation id: the id of one run of one controller, which has a lease of its own.

    Claims are stored under this id, so that a restarted controller does not own the claims of its previous run.
    """
    return f"{member}.{lease_id}"
