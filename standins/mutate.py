"""Seeded mutations of well-formed messages, to test parsers against broken or hostile peers."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

TOKENS = (
    b"\r\n", b"\r\n\r\n", b"\0", b"\xff\xfe", b"\xc3\x28", b",", b";", b":", b"<", b">", b'"', b"=", b" ",
    b"\t", b"-1", b"0", b"2147483648", b"9" * 20, b"NaN", b"[::1]", b"[", b"]", b"%", b"\\", b"@",
    "é".encode(), "٣".encode(), "²".encode(), b"{", b"}", b"null", b"true", b"Via", b"tag", b"SIP/2.0",
)  # fmt: skip
MAX_MUTATIONS = 6  # of one message


def mutated(rng: random.Random, seeds: Sequence[bytes], count: int) -> Iterator[bytes]:
    """Yield ``count`` messages, each a seed with one to six mutations, mostly few."""
    for _ in range(count):
        data = bytearray(rng.choice(seeds))
        for _ in range(min(MAX_MUTATIONS, 1 + int(rng.expovariate(1.0)))):
            _mutate(rng, data, seeds)
        yield bytes(data)


def _mutate(rng: random.Random, data: bytearray, seeds: Sequence[bytes]) -> None:
    at = rng.randrange(len(data) + 1)
    end = min(len(data), at + rng.randint(1, 12))
    match rng.randrange(8):
        case 0:
            data[at:end] = b""
        case 1:
            data[at:at] = rng.choice(TOKENS)
        case 2:
            data[at:end] = rng.choice(TOKENS)
        case 3:
            data[at:at] = data[at:end] * rng.choice((1, 2, 50))
        case 4 if at < len(data):
            data[at] ^= 1 << rng.randrange(8)
        case 5:
            del data[at:]
        case 6:
            other = rng.choice(seeds)
            data[at:end] = other[(cut := rng.randrange(len(other))) : cut + rng.randint(1, 60)]
        case _:
            lines = bytes(data).split(b"\n")
            rng.shuffle(lines) if rng.random() < 0.3 else lines.insert(
                rng.randrange(len(lines)), rng.choice(lines)
            )
            data[:] = b"\n".join(lines)
