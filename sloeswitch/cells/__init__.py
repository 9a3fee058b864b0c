"""Moving jobs between cells (docs/cells.md).

`handoff` and `delegation` hold the protocol as pure functions, without a clock, I/O or tables: they take a stored row
and a received message and return the new row and the answer. `origin`, `target` and `link` do the I/O.
"""
