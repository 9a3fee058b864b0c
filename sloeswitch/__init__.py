"""sloeswitch: a cluster scheduler that hands the oldest ready work to machines with free room."""

__version__ = "0.1.0"
