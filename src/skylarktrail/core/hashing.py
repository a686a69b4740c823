"""Hashes of keys and deterministic ranking."""

from __future__ import annotations

from typing import Iterable

import xxhash

HASH_SPACE = 1 << 64


def hash_key(key: str) -> int:
    """Returns the place of a key in the hash space, 0 to 2**64 - 1.

    Args:
        key: The key's bytes as Latin-1 text, the way header fields are read.
    """
    return xxhash.xxh3_64_intdigest(key.encode("latin-1"))


def key_from_text(text: str) -> str:
    """Returns the key whose bytes are the UTF-8 form of a text."""
    return text.encode().decode("latin-1")


def rank_candidates(item: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates by rendezvous weight for an item, heaviest first."""
    return sorted(
        candidates,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{item}\0{name}".encode()), name),
        reverse=True,
    )
