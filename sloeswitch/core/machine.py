"""Records of one machine and of the attempts on it.

`core.machine_registry` owns the records and maintains their usage totals; `core.reconciliation` updates them from
worker reports. Times named `_at` and `_since` are seconds of the controller's monotonic clock; memory is in GB.
The values of states and causes are those of the worker protocol (PROTOCOL, "Workers").
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from sloeswitch.core.quota import ResourceUsage
from sloeswitch.wire import JobSpec, task_name


class AttemptState(StrEnum):
    """The state of an attempt; workers report every value except `PENDING`."""

    # Placed by this controller and not yet listed in a report.
    PENDING = "pending"
    # Waits for its image.
    FETCHING = "fetching"
    # A gang task that waits for the other tasks of its gang.
    GATHERING = "gathering"
    RUNNING = "running"
    # Stopped, and saving its progress.
    FLUSHING = "flushing"
    ENDED = "ended"


# The states that a report may contain, by their value.
REPORTED_STATES = {str(state): state for state in AttemptState if state != AttemptState.PENDING}


class EndCause(StrEnum):
    """Why an attempt ended, as reported by the worker; only the causes that a controller acts on.

    After any other cause (a command, a lost gang, a refused start) the task can be started again.
    """

    DONE = "done"
    ERROR = "error"
    # The worker refused the start because it found no such job or task.
    NO_SUCH_TASK = "no_such"


class TaskId(NamedTuple):
    """A task: its job, and its index among the job's tasks."""

    job: str
    task_index: int


class AttemptKey(NamedTuple):
    """Identifies an attempt in reports and commands: the task's name and the number of the attempt."""

    task: str
    number: int


@dataclass
class Attempt:
    """One attempt on one machine, from its placement until it is no longer on the machine.

    Attributes:
        name: The task's name in reports.
        task: The task that the attempt runs.
        key: The attempt's identifier in reports and commands.
        reported: Whether a report of the machine has listed it.
        sent_sequence: Sequence number of the heartbeat whose answer carried the start command; None while the command
            has to be sent, or sent again.
        kill_grace_s: The time to save its progress that the kill command grants; None if it is not to be killed.
        placed_at: When it was placed or adopted.
        killed_at: When the controller decided to kill it.
        running_at: When a report first listed it as running.
    """

    job: str
    index: int
    number: int
    spec: JobSpec
    state: AttemptState = AttemptState.PENDING
    reported: bool = False
    sent_sequence: int | None = None
    kill_grace_s: float | None = None
    placed_at: float = 0.0
    killed_at: float = 0.0
    running_at: float | None = None

    def __post_init__(self) -> None:
        self.name = task_name(self.job, self.index)
        # Built once, since both are dictionary keys that are looked up often and a takeover adds thousands of attempts.
        self.task = TaskId(self.job, self.index)
        self.key = AttemptKey(self.name, self.number)


@dataclass
class Machine:
    """The state of one machine, from its reports and from this controller's decisions.

    Written by `MachineRegistry`, by `reconcile` and by the machines actor. The autoscaler sets only `surplus`.
    """

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    # The newest applied report: the worker's epoch, which increases each time its lease expires, and the sequence
    # number of the report.
    agent_epoch: int = 0
    report_sequence: int = 0
    # The last epoch whose lease has certainly expired. No report of this epoch or an earlier one is valid any more.
    expired_agent_epoch: int = 0
    # The number of the view since which this controller has owned the machine. A report with a lower fencing token is
    # ignored, because an earlier owner issued that token.
    owned_since_token: int = 0
    # When this process last became the owner. Stays the same if another controller may have owned the machine in the
    # meantime, under a view that this process has missed.
    owned_since: float = float("-inf")
    # Whether this incarnation owned the machine earlier, and another controller may have owned it in between.
    formerly_owned: bool = False
    # Whether a report was applied under the present ownership and since the worker's lease last expired.
    reconciled: bool = False
    # Whether no unknown attempt of an earlier owner can be on the machine any more.
    accounted_for: bool = False
    # Whether the worker is known to receive messages: its last heartbeat confirmed the previous answer, or it answered
    # a command.
    reachable: bool = False
    reachable_at: float = float("-inf")
    # When a heartbeat was last answered.
    answered_at: float = float("-inf")
    # When the last report was applied, from a heartbeat or from the answer to a command.
    last_report_at: float = float("-inf")
    # When the last heartbeat was applied. The first message of any kind under the present ownership counts as one.
    last_heartbeat_at: float | None = None
    # When the worker's lease has certainly expired, so that its tasks have ended.
    lease_expires_at: float = float("inf")
    # Seconds until the cloud reclaims the machine; None without a preemption notice.
    preemption_notice_s: float | None = None
    draining: bool = False
    # When a user was first sent confirmation of a cancellation whose task may still be on the machine. Kept after the
    # lease has expired here, because a hung machine stops its tasks only once it resumes.
    cancelled_since: float | None = None
    # Not needed: to be drained and deleted.
    surplus: bool = False
    attempts: dict[TaskId, Attempt] = field(default_factory=dict)
    # The same attempts by their identifier in reports.
    attempts_by_key: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    # Total usage of the attempts.
    usage: ResourceUsage = field(default_factory=ResourceUsage)
    used_memory_gb: float = 0.0
    # The number of attempts by image.
    image_attempts: dict[str, int] = field(default_factory=dict)
    # Ended attempts that the worker still has to clear; the value is whether the task completed.
    ended_attempts: dict[AttemptKey, bool] = field(default_factory=dict)
    # Attempts that the worker reports and that this controller has not accepted; they are killed. A dict, because
    # kill commands are sent in its order.
    foreign_attempts: dict[AttemptKey, None] = field(default_factory=dict)
    # Images present on the machine, the most recently used last.
    images: dict[str, None] = field(default_factory=dict)

    @property
    def listed_attempts(self) -> int:
        """The number of attempts that its reports list, or will list once they are started."""
        return len(self.attempts) + len(self.ended_attempts) + len(self.foreign_attempts)

    @property
    def is_recovered(self) -> bool:
        """Whether the attempts on the machine are known, from its report or because there can be none."""
        return self.reconciled or self.accounted_for
