"""Moving jobs between cells (docs/cells.md).

Terms:
    Origin: the cell to which a job was submitted.
    Target: the cell to which the origin offers the job.
    Handoff: one attempt of an origin to run a job in a target. Its number is part of its identifier.
    Open handoff: a handoff that its target may still have on record, as stored by the origin.
    Delegation: an accepted handoff, as stored by the target.
    Incarnation: a number that operators increase when a cell's state was restored from a copy.

`handoff` and `delegation` hold the protocol as pure functions, without a clock, I/O or tables: they take a stored row
and a received message and return the new row and the answer. `origin`, `target` and `link` do the I/O.
"""
