"""Keys of the state service, and the layouts of what is stored under them.

All keys are under one versioned prefix, so that a later layout can be told apart:

    m/MEMBER   {"boot", "settled", "layout"}   a live controller (lease-bound)
    coord      {"member", "boot"}    the coordinator (lease-bound)
    view       {"n", "members"}      the numbered view: [[member, boot], ...]
    catalog    {...}                 machine types, as the cloud last told them
    c/TYPE     {...}                 one machine type, where all together fit no value
    j/JOB      {"s", "n", ...}       a job: "live", "done" or "withdrawn"; the spec until it is over, then
                                     the time of its end; "x" once withdrawn: the time of the cancellation;
                                     "h" once it was offered to another cell, "o" if another cell handed it over
    p/JOB/TRY/N  TEXT                a part of a spec that fits no value; the job's row names the try
    r/JOB      {"d", "c", "z", "e"}  its progress: done tasks, claims by controller, zone; the epoch up to which
                                     adoptions are in it
    a/TAG/N    {"m": {JOB: tasks}}   tasks that this run found on machines which it took over: its claims, in
                                     addition to the jobs' progress rows until these are written next
    q/TEAM     {TAG: [cores, gpus]}  the team's limit, as allowances of the controllers
    g/GROUP    {"m": {MACHINE: [address, type, zone, spot]}}   machines that may hold tasks
    h/MACHINE  {"a", "t", "z", "s"}  the same, one by one: layout 1, written while a controller that
                                     knows no groups is about
    feature/F  {"seen", "complete"}  the same for a feature that is turned on (see features)
    admission/rPATH  {"n", "c", ...} cuts of admission (see admission.cuts), of the lanes whose hash begins with PATH
    f/CELL     {"n"}                 the floor of another cell's handoffs (see cells.delegation)
    layout     {"seen": [MEMBER...], "complete"}   who has run with this layout; complete once all have
"""

from __future__ import annotations

from functools import lru_cache

KEY_PREFIX = "s1/"
VIEW_KEY, COORDINATOR_KEY, CATALOG_KEY, LAYOUT_KEY = (
    KEY_PREFIX + "view",
    KEY_PREFIX + "coord",
    KEY_PREFIX + "catalog",
    KEY_PREFIX + "layout",
)
# What this version writes; each controller tells it in its member row. Groups came with the second. The third
# stores jobs that wait, specs in parts, and sets of tasks as text where that is shorter, all of them only once
# the mark (LAYOUT_KEY) says that every configured controller has run with it.
MACHINE_GROUPS_LAYOUT, LAYOUT_VERSION = 2, 3


def member_key(member: str) -> str:
    return f"{KEY_PREFIX}m/{member}"


def job_key(job: str) -> str:
    return f"{KEY_PREFIX}j/{job}"


def progress_key(job: str) -> str:
    return f"{KEY_PREFIX}r/{job}"


def chunk_key(job: str, attempt: str, number: int) -> str:
    return f"{KEY_PREFIX}p/{job}/{attempt}/{number}"


def adoption_key(tag: str, number: int) -> str:
    return f"{KEY_PREFIX}a/{tag}/{number}"


def feature_key(feature: str) -> str:
    return f"{KEY_PREFIX}feature/{feature}"


def admission_key(path: str) -> str:
    return f"{KEY_PREFIX}admission/r{path}"


def floor_key(cell: str) -> str:
    return f"{KEY_PREFIX}f/{cell}"


def team_key(team: str) -> str:
    return f"{KEY_PREFIX}q/{team}"


def machine_key(machine: str) -> str:
    return f"{KEY_PREFIX}h/{machine}"


def type_key(kind: str) -> str:
    return f"{KEY_PREFIX}c/{kind}"


def group_key(group: str) -> str:
    return f"{KEY_PREFIX}g/{group}"


def group_name(key: str) -> str:
    """The group that a key names, or what is no group's name."""
    return key.removeprefix(group_key(""))


@lru_cache(maxsize=64)
def incarnation_id_of(member: str, boot: int) -> str:
    """Names one run of one controller: claims carry it, so that a restart never owns old claims."""
    return f"{member}.{boot}"
