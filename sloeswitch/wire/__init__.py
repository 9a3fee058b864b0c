"""The HTTP messages of the platform's protocol, exchanged with users, workers, the cloud and the state service.

Only this package uses the protocol's names. Each message class maps its fields to their names on the wire in `rename`;
a field that is not listed there has the same name on the wire. Protocol terms that are values, such as the status of a
job, are the values of enumerations.

On the wire a machine is a `host`, a machine type a `build`, a task a `visit`, an attempt a `try`, an array a `sweep`, a
gang a `group`, a class of jobs a `roster`, a team a `crew`, a priority an `urgency`, an image a `kit`, a spot machine
a `loaner`, a zone a `district`, a fencing token a `baton`, the epoch of a worker's agent a `shift`, a command an
`order`, a checkpoint a `snapshot`, a lease a `permit`, the revision of a key a `stamp`, the revision of the
store an `epoch`.

Units: durations (`_s`) are in seconds, `memory` and sizes of images (`_gb`) in GB; `cores` and `gpus` are numbers of
processor cores and accelerators, possibly fractional. A field that may be None may be missing on the wire.
"""

from sloeswitch.wire.cloud import (
    Instance,
    InstancePage,
    InstanceRequest,
    InstancesCreated,
    MachineType,
    MachineTypeCatalog,
    delete_body,
)
from sloeswitch.wire.codec import (
    MAX_BODY_BYTES,
    MalformedError,
    T,
    decode,
    encode,
)
from sloeswitch.wire.jobs import (
    JOB_ID_PATTERN,
    MAX_TASKS,
    JobShape,
    JobSpec,
    JobStatus,
    Priority,
    check_spec,
    poll_reply,
    split_task,
    submission_reply,
    submitted_id,
    task_name,
)
from sloeswitch.wire.state_service import (
    ChangeEvent,
    ChangeFeed,
    LeaseGrant,
    RevisionReply,
    StoredRow,
    StoredRowPage,
    commit_body,
)
from sloeswitch.wire.workers import (
    MAX_TASKS_ON_MACHINE,
    CommandVerb,
    ReportedTask,
    WorkerCommand,
    WorkerCommands,
    WorkerReport,
    redirect_reply,
)

__all__ = [
    "JOB_ID_PATTERN",
    "MAX_BODY_BYTES",
    "MAX_TASKS",
    "MAX_TASKS_ON_MACHINE",
    "ChangeEvent",
    "ChangeFeed",
    "CommandVerb",
    "Instance",
    "InstancePage",
    "InstanceRequest",
    "InstancesCreated",
    "JobShape",
    "JobSpec",
    "JobStatus",
    "LeaseGrant",
    "MachineType",
    "MachineTypeCatalog",
    "MalformedError",
    "Priority",
    "ReportedTask",
    "RevisionReply",
    "StoredRow",
    "StoredRowPage",
    "T",
    "WorkerCommand",
    "WorkerCommands",
    "WorkerReport",
    "check_spec",
    "commit_body",
    "decode",
    "delete_body",
    "encode",
    "poll_reply",
    "redirect_reply",
    "split_task",
    "submission_reply",
    "submitted_id",
    "task_name",
]
