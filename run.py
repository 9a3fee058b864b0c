"""Starts a sloeswitch controller from a checkout, with the libraries that the build installed in target/deps."""

import os.path
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]
# The build writes the bytecode of all imported modules to this directory (deploy/compile.py), including the libraries:
# a controller's disk is not writable, so modules without bytecode would be compiled again at every start.
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")

from sloeswitch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
