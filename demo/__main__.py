"""Entry point of `python -m demo`."""

from __future__ import annotations

import sys

from .run import main

sys.exit(main())
