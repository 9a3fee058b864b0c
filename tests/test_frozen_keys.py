"""Every stored key and every packed set of tasks equals its frozen text, byte for byte (tests/frozen).

The data files are never changed: an incompatible stored layout uses another key prefix. Only the Python names in this
file follow renames.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from sloeswitch import wire
from sloeswitch.core import keys, taskset
from sloeswitch.core.records import JobState

FROZEN = Path(__file__).parent / "frozen"
FROZEN_KEYS: dict[str, str] = json.loads((FROZEN / "keys.json").read_text())
FROZEN_SETS: dict[str, dict[str, str]] = json.loads((FROZEN / "rows_tasksets.json").read_text())

# Keys and stored constants as the code builds them, by their name in keys.json.
BUILT_KEYS = {
    "prefix": keys.KEY_PREFIX,
    "view": keys.VIEW_KEY,
    "coordinator": keys.COORDINATOR_KEY,
    "catalog": keys.CATALOG_KEY,
    "layout mark": keys.LAYOUT_KEY,
    "member": keys.member_key("c0"),
    "job": keys.job_key("wk-000001"),
    "progress": keys.progress_key("wk-000001"),
    "part of a spec": keys.chunk_key("wk-000001", "c0.1.2", 10),
    "adoptions": keys.adoption_key("c0.1", 12),
    "feature mark": keys.feature_key("cells"),
    "admission row, root": keys.admission_key(""),
    "admission row, split": keys.admission_key("01"),
    "floor of a cell": keys.handoff_floor_key("north"),
    "team limit": keys.quota_key("red"),
    "single machine": keys.machine_key("vm-1"),
    "single type": keys.machine_type_key("small"),
    "group": keys.machine_group_key("c0.1.3"),
    "group named by a key": keys.machine_group_name("s1/g/c0.1.3"),
    "tag of a run": keys.incarnation_id_of("c0", 1),
    "status live": JobState.LIVE,
    "status done": JobState.DONE,
    "status withdrawn": JobState.CANCELLED,
    "layout with groups": str(keys.MACHINE_GROUPS_LAYOUT),
    "layout": str(keys.LAYOUT_VERSION),
}
PACK_FUNCTIONS = {"pack": taskset.pack, "dense": taskset.pack_dense}


def bits(*runs: tuple[int, int]) -> int:
    """Returns the set of the given runs (start and length), computed without the code under test."""
    return sum(((1 << length) - 1) << start for start, length in runs)


TASK_SETS = {
    "empty": 0,
    "task 0": 1,
    "task 7": 1 << 7,
    "task 99999": 1 << 99_999,
    "a range": bits((3, 20)),
    "two ranges": bits((0, 2), (10, 5)),
    "three near tasks": bits((0, 1), (2, 1), (4, 1)),
    "runs of 42 and 43 with near ones": bits((0, 42), (43, 1), (45, 1), (200, 43), (244, 1), (246, 1)),
    "gaps of 40 and 41": bits((0, 1), (41, 1), (82, 1), (124, 1), (166, 1), (208, 1)),
    "every third of 200": sum(1 << number for number in range(0, 200, 3)),
    "100000 tasks": bits((0, 100_000)),
    "100000 tasks with holes": bits((0, 10), (11, 49_989), (50_001, 1), (50_003, 1), (50_005, 1), (60_000, 40_000)),
}


def test_every_frozen_key_and_set_has_its_case() -> None:
    assert BUILT_KEYS.keys() == FROZEN_KEYS.keys() and TASK_SETS.keys() == FROZEN_SETS.keys()


@pytest.mark.parametrize("name", FROZEN_KEYS)
def test_a_key_is_the_frozen_text(name: str) -> None:
    assert BUILT_KEYS[name] == FROZEN_KEYS[name]


@pytest.mark.parametrize("name", FROZEN_SETS)
def test_a_set_of_tasks_is_packed_and_unpacked_as_frozen(name: str) -> None:
    for form, text in FROZEN_SETS[name].items():
        assert wire.encode(PACK_FUNCTIONS[form](TASK_SETS[name])).decode() == text
        assert taskset.unpack(json.loads(text)) == TASK_SETS[name]


@pytest.mark.parametrize("text", ['["AQ"]', '["AQ",1]', "[0]", '[0,"*"]'])
def test_a_malformed_packed_set_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        taskset.unpack(json.loads(text))
