"""sloeswitch: a cluster scheduler that assigns the oldest ready tasks to machines with free capacity."""

__version__ = "0.1.0"
