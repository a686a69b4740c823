"""Exit statuses of the tool."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended.

    Attributes:
        OK: The command did what was asked; a file may have warnings.
        FAULTS: A file has faults, or the publication was a conflict.
        USAGE: The command line is wrong.
        NO_ANSWER: The platform or a daemon did not respond; nothing was changed.
        FATE_UNKNOWN: A file was sent and its outcome could not be read in time.
        NOT_EVERYWHERE: A file was accepted and is not in force on every daemon yet.
    """

    OK = 0
    FAULTS = 1
    USAGE = 2
    NO_ANSWER = 3
    FATE_UNKNOWN = 4
    NOT_EVERYWHERE = 5


EXIT_HELP = (
    "exit status: 0 done, with warnings or without; 1 faults in a file, or a conflict; "
    "2 wrong command line; 3 no answer, nothing was changed; "
    "4 sent, fate not known yet; 5 accepted, not in force everywhere yet"
)
