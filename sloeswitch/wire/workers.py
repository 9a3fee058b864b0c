"""Messages of workers: their reports and the commands to them."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from sloeswitch.wire.codec import MAX_BODY_BYTES, encode

# The largest size of a report without its tasks, and of one task in it: a job id of 35 bytes, an index of five digits,
# an attempt of 20, the longest cause, and a space after each colon and comma.
MAX_REPORT_ENVELOPE_BYTES = 1024
MAX_REPORTED_TASK_BYTES = 144
# A report is a request, so its size is limited. A controller cannot accept the reports of a machine with more tasks.
MAX_TASKS_ON_MACHINE = (MAX_BODY_BYTES - MAX_REPORT_ENVELOPE_BYTES) // MAX_REPORTED_TASK_BYTES


class CommandVerb(StrEnum):
    """What a worker must do with an attempt of a task; CLEAR removes an ended attempt from the worker's reports."""

    START = "start"
    KILL = "kill"
    CLEAR = "clear"


class ReportedTask(Struct, rename={"task": "visit", "attempt": "try", "state": "status"}):
    """One attempt of a task in a worker's report.

    For an attempt that ended, `cause` is the reason, and `saved` is true if its progress was saved when it was stopped.
    """

    task: str
    attempt: int
    state: str
    cause: str | None = None
    saved: bool | None = None


class WorkerReport(
    Struct,
    rename={
        "machine": "host",
        "type": "build",
        "zone": "district",
        "spot": "loaners",
        "agent_epoch": "shift",
        "sequence": "tally",
        "fencing_token": "baton",
        "preemption_notice_s": "warningS",
        "tasks": "visits",
    },
):
    """A worker's report: its heartbeat (POST /agent/beat), or its answer to a direct command or an inspection."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    # The worker's epoch starts at 1 and increases when its lease expires; the sequence increases with each report. The
    # report with the larger pair (epoch, sequence) is the newer one.
    agent_epoch: int
    sequence: int
    # The highest fencing token that the worker has received; 0 before the first.
    fencing_token: int
    # All attempts on the machine, including those that ended and are not yet cleared.
    tasks: list[ReportedTask]
    # The time until the cloud reclaims the spot machine; None without a notice.
    preemption_notice_s: float | None = None


class WorkerCommand(Struct, omit_defaults=True, rename={"task": "visit", "attempt": "try", "grace_s": "windDownS"}):
    """A command to a worker. For a kill, `grace_s` is the time that the task has to save its progress."""

    verb: str
    task: str
    attempt: int
    grace_s: float | None = None


class WorkerCommands(
    Struct, omit_defaults=True, rename={"fencing_token": "baton", "commands": "orders", "agent_epoch": "shift"}
):
    """Commands to a worker: the answer to a report, or a direct command (POST /commands) with the worker's epoch.

    The worker executes the commands in order. It ignores all of them if the fencing token is lower than the highest one
    that it has received.
    """

    fencing_token: int
    commands: list[WorkerCommand]
    agent_epoch: int | None = None


def redirect_reply(member: str | None) -> bytes:
    """Encodes the body of a 421: the controller to which the worker should report, if it is known."""
    return encode({"foreman": member}) if member else b"{}"
