"""The command line: runs a controller, checks its files, or runs the operators' admission commands."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from sloeswitch import __version__, features
from sloeswitch.settings import SettingsError, load

# Values of the environment variable LOG_LEVEL; any other value means `info`.
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
# The exit status for an invalid file; argparse exits with the same status on a wrong argument.
EXIT_INVALID_FILE = 2


def main(argv: list[str] | None = None) -> int:
    """Runs the command that the arguments select, and returns the exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["admission"]:
        return _run_admission(arguments[1:])
    return _run_controller(arguments)


def _run_admission(arguments: list[str]) -> int:
    """Runs `sloeswitch admission ...`, and returns the exit status."""
    parser = argparse.ArgumentParser(prog="sloeswitch admission", description="Questions about admission.")
    commands = parser.add_subparsers(dest="command", required=True)
    compare_parser = commands.add_parser(
        "compare", help="name the first difference between the decisions that controllers logged"
    )
    compare_parser.add_argument("logs", metavar="LOG", nargs="+", help="a controller's log")
    options = parser.parse_args(arguments)
    # Imported here, so that starting a controller does not load it.
    from sloeswitch.admission import compare

    return compare.main(options.logs, sys.stdout, sys.stderr)


def _controller_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="sloeswitch", description="Runs one controller of a sloeswitch cluster.")
    parser.add_argument("--config", metavar="FILE", help="the settings file (TOML)")
    parser.add_argument("--check", metavar="FILE", help="name every fault of a settings file and stop")
    parser.add_argument("--features", metavar="FILE", help="the features file (TOML), checked with the settings")
    parser.add_argument("--version", action="version", version=f"sloeswitch {__version__}")
    return parser


def _run_controller(arguments: list[str]) -> int:
    """Runs one controller, or only checks its files, and returns the exit status."""
    parser = _controller_parser()
    options = parser.parse_args(arguments)
    path = options.check or options.config
    if path is None:
        parser.error("one of --config and --check is needed")
    try:
        settings = load(path)
    except SettingsError as error:
        return _print_faults(path, error)
    enabled = features.Features()
    if options.features is not None:
        try:
            enabled = features.load(options.features, settings)
        except SettingsError as error:
            return _print_faults(options.features, error)
    if options.check:
        return 0
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    # Imported here, so that --check and --version do not load it.
    from sloeswitch.controller import run

    run(settings, enabled)
    return 0


def _print_faults(path: str, error: SettingsError) -> int:
    """Prints each fault of a file on its own line, and returns the exit status."""
    for fault in error.faults:
        print(f"{path}: {fault}", file=sys.stderr)
    return EXIT_INVALID_FILE
