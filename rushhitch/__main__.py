"""Entry point of `python -m rushhitch`: the dispatcher, or a subcommand."""

from __future__ import annotations

import os
import sys

from rushhitch import signals


def main() -> int:
    """Run the dispatcher or a subcommand. Signals are handled before the rest is imported, which takes
    long."""
    if sys.argv[1:]:
        from rushhitch.cli import main as command  # imported only for subcommands

        return command(sys.argv[1:])
    signals.listen()
    from rushhitch.process import run
    from rushhitch.service import load_configuration, serve

    return run(lambda: serve(load_configuration(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
