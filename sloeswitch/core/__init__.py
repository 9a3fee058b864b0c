"""Scheduling decisions: pure code that reads no clock and does no I/O; times are passed as arguments."""
