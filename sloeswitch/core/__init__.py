"""The decisions: pure code that reads no clock and does no I/O. Times are passed in."""
