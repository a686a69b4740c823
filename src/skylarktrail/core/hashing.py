"""Key hashes and rendezvous hashing."""

from __future__ import annotations

from typing import Iterable

import xxhash

HASH_SPACE = 1 << 64


def hash_key(key: str) -> int:
    """Returns the 64-bit hash of a key, from 0 to 2**64 - 1.

    Args:
        key: The bytes of the key as Latin-1 text, as header fields are decoded.
    """
    return xxhash.xxh3_64_intdigest(key.encode("latin-1"))


def key_from_text(text: str) -> str:
    """Returns the key whose bytes are the UTF-8 encoding of a text."""
    return text.encode().decode("latin-1")


def rank_candidates(item: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates by rendezvous weight for an item, highest first.

    Every daemon computes the same order from the same candidates.
    """
    return sorted(
        candidates,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{item}\0{name}".encode()), name),
        reverse=True,
    )
