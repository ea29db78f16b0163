"""Runs the command line as ``python -m burdockgate``."""

from __future__ import annotations

import sys

from burdockgate.cli import main

if __name__ == "__main__":
    sys.exit(main.main())
