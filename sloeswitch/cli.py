"""The command line: a thin program on top of the library."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from sloeswitch import __version__, features
from sloeswitch.settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def main(argv: list[str] | None = None) -> int:
    """Runs what the arguments ask for; the exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["admission"]:
        return admission(arguments[1:])
    return serve(arguments)


def admission(arguments: list[str]) -> int:
    """What operators ask about admission."""
    parser = argparse.ArgumentParser(prog="sloeswitch admission", description="Questions about admission.")
    commands = parser.add_subparsers(dest="command", required=True)
    comparing = commands.add_parser(
        "compare", help="name the first difference between the decisions that controllers logged"
    )
    comparing.add_argument("logs", metavar="LOG", nargs="+", help="a controller's log")
    args = parser.parse_args(arguments)
    # Imported late, so that a controller that starts needs none of it.
    from sloeswitch.admission import compare

    return compare.main(args.logs, sys.stdout, sys.stderr)


def serve(arguments: list[str]) -> int:
    """Runs one controller, or checks its files."""
    parser = argparse.ArgumentParser(prog="sloeswitch", description="Runs one controller of a sloeswitch cluster.")
    parser.add_argument("--config", metavar="FILE", help="the settings file (TOML)")
    parser.add_argument("--check", metavar="FILE", help="name every fault of a settings file and stop")
    parser.add_argument("--features", metavar="FILE", help="the features file (TOML), checked with the settings")
    parser.add_argument("--version", action="version", version=f"sloeswitch {__version__}")
    args = parser.parse_args(arguments)
    path = args.check or args.config
    if path is None:
        parser.error("one of --config and --check is needed")
    try:
        settings = load(path)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{path}: {fault}", file=sys.stderr)
        return 2
    enabled = features.Features()
    if args.features is not None:
        try:
            enabled = features.load(args.features, settings)
        except SettingsError as error:
            for fault in error.faults:
                print(f"{args.features}: {fault}", file=sys.stderr)
            return 2
    if args.check:
        return 0
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    # Imported late, so that --check and --version need none of it.
    from sloeswitch.controller import run

    run(settings, enabled)
    return 0
