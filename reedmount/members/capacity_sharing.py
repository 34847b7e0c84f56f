"""Among how many a call server's room is shared: by the view where it is sure, by the settings otherwise.

Each border controller takes its part of what a cold server bears, and of free lines: the whole over a number.
Too small a number, and the sum of all is too much. Say N are configured, a share x of them is alive in a view
that is sure, and those use ``max(x, c) N``. The others may be cut off from us and not from the servers: being
in a minority, they go by N. Together all send

    x / max(x, c) + (1 - x)  <=  2 - c

of what the whole may be, with the most at x = c. The module's guard of cold servers leaves at most 13/16 of
what tips one (docstring of ``_cold_admits``), so 2 - c must stay under 16/13 = 1.23: c is at least 0.77.
``MIN_SHARE`` is 0.8: 1.2 times 13/16 is 0.975 of what tips it.
"""

from __future__ import annotations

import math

MIN_SHARE = 0.8


def sharing_instances(configured: int, alive: int, has_quorum: bool) -> int:
    """How many to share with, ourselves included; at least 1.

    ``alive``: members that are alive in our view, guests and ourselves included. More than are configured
    count at once, sure or not: that only makes our part smaller.
    """
    upper = max(1, configured, alive)
    if alive >= configured or not has_quorum:
        return upper
    return max(1, alive, math.ceil(MIN_SHARE * configured))
