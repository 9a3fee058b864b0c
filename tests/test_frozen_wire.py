"""Tests of every HTTP message, byte by byte.

The literals in frozen/wire.json never change. The Python names may; only the maps below use them. Messages are built
from positional arguments with a different value in each field, so that swapped names on the wire are detected.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.core import machine
from sloeswitch.http import REASON_PHRASES, retry_later

FROZEN: dict[str, dict[str, Any]] = json.loads((Path(__file__).parent / "frozen" / "wire.json").read_text())

SPEC = (
    "wk-000412",
    "train",
    "vision",
    "group",
    "urgent",
    16,
    8.0,
    1.0,
    64.0,
    "img-07",
    6.2,
    True,
    False,
    True,
    240.0,
    30.0,
    4.0,
)
TASK = wire.ReportedTask("wk-000412/3", 2, "running")
ENDED = wire.ReportedTask("wk-000398/0", 1, "ended", "halted", True)
REPORT = ("vm-000231", "10.1.0.232:9000", "g8", "a", True, 1, 88, 41, [TASK, ENDED])
START = wire.WorkerCommand("start", "wk-000412/4", 2)
KILL = wire.WorkerCommand("kill", "wk-000377/1", 1, 10.0)
TYPE = wire.MachineType("g8", 96.0, 8.0, 768.0, 200.0, 1.5, 12.0, 4.5, 45.0, ["a", "b"])
LISTED = wire.Instance("vm-000231", "10.1.0.232:9000", "g8", "a", True, "running", 61.5)
ROW = wire.StoredRow("a/b", {"x": 1}, 412)
WRITTEN, DROPPED = wire.ChangeEvent(433, "c/9", None, {"y": [2]}), wire.ChangeEvent(432, None, "c/d")

MESSAGES: dict[str, msgspec.Struct] = {
    "submission": wire.JobSpec(*SPEC),
    "submission with all fields": wire.JobSpec(*SPEC, ["g8", "g4"], "a", 900.0, ("wk-000001", "wk-000002")),
    "reported task": TASK,
    "reported task with all fields": ENDED,
    "report": wire.WorkerReport(*REPORT),
    "report with all fields": wire.WorkerReport(*REPORT, 25.5),
    "order": START,
    "order with all fields": KILL,
    "orders": wire.WorkerCommands(41, [START, KILL]),
    "orders with all fields": wire.WorkerCommands(41, [KILL], 7),
    "machine type": TYPE,
    "catalog": wire.MachineTypeCatalog([TYPE]),
    "booking": wire.InstanceRequest("r-17", "g8", "a", True, 12),
    "booked": wire.InstancesCreated(["vm-000231", "vm-000232"]),
    "listed": LISTED,
    "listing": wire.InstancePage([LISTED], False),
    "row": ROW,
    "row page": wire.StoredRowPage([ROW], 431, True),
    "event": wire.ChangeEvent(434),
    "event of a write": WRITTEN,
    "event of a drop": DROPPED,
    "changes": wire.ChangeFeed(433, [WRITTEN, DROPPED]),
    "epoch": wire.RevisionReply(431),
    "lease": wire.LeaseGrant(7),
}

BODIES: dict[str, Callable[[], bytes]] = {
    "submission reply": lambda: wire.submission_reply("wk-000412", "queued"),
    "poll reply": lambda: wire.poll_reply("wk-000412", "running", 3, 13),
    "poll reply of a job in another cell": lambda: wire.poll_reply("wk-000412", "running", 3, 13, "south"),
    "redirect": lambda: wire.redirect_reply("worker-2"),
    "redirect to nobody": lambda: wire.redirect_reply(None),
    "delete": lambda: wire.delete_body(["vm-000231", "vm-000232"]),
    "commit": lambda: wire.commit_body({"a/b": 0, "e": 5}, {"a/b": {"z": 1}, "f": [2]}, ["c/d"], {"a/b": 7}),
    "commit of nothing": lambda: wire.commit_body({}, {}, [], {}),
    "refusal": lambda: retry_later(2.0).body,
}

WORDS: dict[str, Callable[[], Any]] = {
    "urgencies": lambda: list(wire.Priority),
    "shapes": lambda: {"array": wire.JobShape.ARRAY, "gang": wire.JobShape.GANG},
    "job states": lambda: [
        wire.JobStatus.QUEUED,
        wire.JobStatus.RUNNING,
        wire.JobStatus.DONE,
        wire.JobStatus.CANCELLED,
    ],
    "task states": lambda: sorted(machine.REPORTED_STATES),
    "task states acted on": lambda: [
        machine.AttemptState.FETCHING,
        machine.AttemptState.RUNNING,
        machine.AttemptState.ENDED,
    ],
    "job id": lambda: wire.JOB_ID_PATTERN.pattern,
    "task name": lambda: wire.task_name("wk-000412", 3),
    "limits": lambda: [wire.MAX_TASKS, wire.MAX_BODY_BYTES],
    "statuses": lambda: {str(status): reason.decode() for status, reason in REASON_PHRASES.items()},
    "retry header": lambda: [list(header) for header in retry_later(2.0).headers],
}


def structs() -> set[type[msgspec.Struct]]:
    """All message types of the wire package."""
    found = (value for value in vars(wire).values() if isinstance(value, type))
    return {value for value in found if issubclass(value, msgspec.Struct) and value is not msgspec.Struct}


def test_every_message_type_is_frozen_with_its_optional_fields_present_and_absent() -> None:
    assert {type(message) for message in MESSAGES.values()} == structs()
    for kind in structs():
        seen = [message for message in MESSAGES.values() if type(message) is kind]
        for field in msgspec.structs.fields(kind):
            values = [getattr(message, field.name) for message in seen]
            if not field.required:
                assert field.default in values and any(value != field.default for value in values), field


def test_nothing_frozen_is_left_out() -> None:
    assert set(FROZEN) == {"messages", "bodies", "words", "read", "refused"}
    for part, in_this_file in (("messages", set(MESSAGES)), ("bodies", set(BODIES)), ("words", set(WORDS))):
        assert set(FROZEN[part]) == in_this_file


def test_every_function_that_encodes_a_body_is_frozen() -> None:
    makers = {name for name in vars(wire) if name.endswith(("_reply", "_body"))}
    used = {name for make in BODIES.values() for name in make.__code__.co_names}
    assert makers and makers <= used


@pytest.mark.parametrize("name", FROZEN["messages"])
def test_the_encoding_of_a_message_is_unchanged(name: str) -> None:
    message, literal = MESSAGES[name], FROZEN["messages"][name].encode()
    assert wire.encode(message) == literal
    read = wire.decode(literal, type(message))
    assert read == message and wire.encode(read) == literal


@pytest.mark.parametrize("name", FROZEN["bodies"])
def test_the_encoding_of_a_body_is_unchanged(name: str) -> None:
    assert BODIES[name]() == FROZEN["bodies"][name].encode()


@pytest.mark.parametrize("name", FROZEN["words"])
def test_a_word_is_unchanged(name: str) -> None:
    assert WORDS[name]() == FROZEN["words"][name]


@pytest.mark.parametrize("name", FROZEN["read"])
def test_the_decoding_of_nulls_and_unknown_fields_is_unchanged(name: str) -> None:
    """The first text is decoded as the message of this name; encoding the message gives the second text."""
    text, again = FROZEN["read"][name]
    read = wire.decode(text.encode(), type(MESSAGES[name]))
    assert wire.encode(read) == again.encode()


@pytest.mark.parametrize("fault", FROZEN["refused"])
def test_the_error_text_for_an_invalid_submission_is_unchanged(fault: str) -> None:
    change = FROZEN["refused"][fault]
    text = json.dumps(json.loads(FROZEN["messages"]["submission"]) | change).encode()
    with pytest.raises(wire.MalformedError) as error:
        wire.check_spec(wire.decode(text, wire.JobSpec))
    assert str(error.value) == fault


@pytest.mark.parametrize("shape", FROZEN["words"]["shapes"].values())
@pytest.mark.parametrize("urgency", FROZEN["words"]["urgencies"])
def test_every_shape_and_urgency_is_accepted(shape: str, urgency: str) -> None:
    text = json.dumps(json.loads(FROZEN["messages"]["submission"]) | {"shape": shape, "urgency": urgency})
    spec = wire.check_spec(wire.decode(text.encode(), wire.JobSpec))
    assert json.loads(wire.encode(spec)) == json.loads(text)
    assert spec.gang == (shape == FROZEN["words"]["shapes"]["gang"])
