"""How many instances share a call server's capacity: by the view with a quorum, else by the settings.

Each border controller takes its part of what a cold server can take, and of free lines: the total divided by
a number. If that number is too small, the sum over all instances is too much. Say N are configured, a share x
of them is alive in a view with a quorum, and those use ``max(x, c) N``. The others may be cut off from us but
not from the servers: being in a minority, they use N. Together all send

    x / max(x, c) + (1 - x)  <=  2 - c

of the permitted total, with the maximum at x = c. The controller's guard of cold servers admits at most 13/16
of what overloads one (docstring of ``_cold_admits``), so 2 - c must stay under 16/13 = 1.23: c is at least
0.77. ``MIN_SHARE`` is 0.8: 1.2 times 13/16 is 0.975 of the overload point.
"""

from __future__ import annotations

import math

MIN_SHARE = 0.8


def sharing_instances(configured: int, alive: int, has_quorum: bool) -> int:
    """The number of instances to divide by, including this one; at least 1.

    ``alive``: members alive in our view, including nonvoters and this one. More than are configured count at
    once, with or without a quorum: that only makes our part smaller.
    """
    upper = max(1, configured, alive)
    if alive >= configured or not has_quorum:
        return upper
    return max(1, alive, math.ceil(MIN_SHARE * configured))
