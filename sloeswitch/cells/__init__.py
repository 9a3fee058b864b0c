"""Cells that spill over: decisions about jobs that move from one cell to another (docs/cells.md).

Everything here is pure: no clock, no I/O, no stored tables. What is stored is a typed row, what is sent a typed
message, and each function takes the one and returns the other.
"""
