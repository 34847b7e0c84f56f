"""Bad clients: on many connections they release calls that no call server knows, at full speed.

    bad_client.py FROM-HOST TO-HOST TO-PORT CONNECTIONS SECONDS

They read what they are sent. It prints how much was sent and read, and how many connections were closed.
"""

from __future__ import annotations

import os
import selectors
import socket
import sys
import time

BYE = (
    "BYE sip:{0}@net SIP/2.0\r\nCall-ID: {0}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\n"
    "Content-Length: 0\r\n\r\n"
)
IN_A_ROW = 400


def main() -> None:
    """Send and read for the given time."""
    host, to, seconds = sys.argv[1], (sys.argv[2], int(sys.argv[3])), float(sys.argv[5])
    first = os.getpid() << 20
    wire = "".join(BYE.format(f"{first + number:016x}") for number in range(IN_A_ROW)).encode()
    selector = selectors.DefaultSelector()
    left: dict[socket.socket, memoryview] = {}
    for _ in range(int(sys.argv[4])):
        sock = socket.create_connection(to, source_address=(host, 0))
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
        left[sock] = memoryview(wire)
    sent = read = closed = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end and left:
        for key, events in selector.select(0.1):
            sock = key.fileobj  # type: ignore[assignment]
            try:
                if events & selectors.EVENT_READ:
                    data = sock.recv(262144)
                    if not data:
                        raise OSError
                    read += len(data)
                if events & selectors.EVENT_WRITE:
                    done = sock.send(left[sock])
                    sent += done
                    left[sock] = left[sock][done:] or memoryview(wire)
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(sock)
                sock.close()
                del left[sock]
                closed += 1
    print(f"{sent} bytes sent, {read} read, {closed} connections closed by the border controller")


if __name__ == "__main__":
    main()
