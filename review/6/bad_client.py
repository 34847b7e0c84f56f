"""One bad client: a set-up of 16 KiB that cannot be used, the same again as soon as it is turned away.

    bad_client.py FROM-HOST TO-HOST TO-PORT SECONDS

It has one connection at a time, reads what it is sent, and prints what it sent and what came back.
"""

from __future__ import annotations

import socket
import sys
import time

START = "INVITE sip:{0:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {0:016x}\r\nCSeq: 1 INVITE\r\n"
END = "X-Timer-Ms: 2700\r\nContent-Length: 0\r\n\r\n"  # no X-Cos: it can never be a call
HEADERS, FOLDED = 2600, 4000  # short header lines, and lines that go on with the one before
LIMIT = 16384  # bytes of a message


def message(number: int) -> bytes:
    """One set-up."""
    wire = (START.format(number) + "a:\n" * HEADERS + " \n" * FOLDED + END).encode()
    assert len(wire) <= LIMIT
    return wire


def main() -> None:
    """Send, read, and come again for the given time."""
    host, to, seconds = sys.argv[1], (sys.argv[2], int(sys.argv[3])), float(sys.argv[4])
    end = time.monotonic() + seconds
    sent = answers = connections = 0
    while time.monotonic() < end:
        connections += 1
        with socket.create_connection(to, source_address=(host, 0)) as sock:
            sock.settimeout(0.05)
            left = memoryview(b"")
            while time.monotonic() < end:
                if not left:
                    sent += 1
                    left = memoryview(message(sent))
                try:
                    left = left[sock.send(left) :]
                    answers += sock.recv(65536).count(b"SIP/2.0 ")
                except TimeoutError:
                    continue
                except OSError:
                    break
    print(f"{sent} messages on {connections} connections, one at a time; {answers} answers")


if __name__ == "__main__":
    main()
