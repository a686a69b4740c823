"""Type and registry of the numbered result codes."""

from __future__ import annotations

from typing import NamedTuple


class Code(NamedTuple):
    """One numbered result code.

    Attributes:
        number: Stable number, unique in the project.
        name: Upper-case identifier.
        summary: One sentence that says what happened.
        remedy: One sentence that says what the reader can do about it.
        status: HTTP status with which the code is sent to callers or operators; 0 if
            it is not sent.
    """

    number: int
    name: str
    summary: str
    remedy: str
    status: int = 0


class Fault(NamedTuple):
    """One occurrence of a code.

    Attributes:
        code: The numbered code.
        path: Where it happened, such as a JSON path; may be "".
        detail: Description of this occurrence; may be "".
    """

    code: Code
    path: str = ""
    detail: str = ""

    def __str__(self) -> str:
        where = f" at {self.path}" if self.path else ""
        what = f": {self.detail}" if self.detail else ""
        return f"E{self.code.number} {self.code.name}{where}{what}"


CODES: dict[int, Code] = {}


def declare(
    number: int, name: str, summary: str, remedy: str, *, status: int = 0
) -> Code:
    """Creates and registers a code.

    Raises:
        ValueError: Another code has the same number.
    """
    if number in CODES:
        raise ValueError(f"code {number} is already {CODES[number].name}")
    code = Code(number, name, summary, remedy, status)
    CODES[number] = code
    return code
