"""Stand-ins for what lives outside: name servers, call servers and callers on loopback. Never imported there.

Each has ``pump(now)``: it takes what has come and sends what is due, and never waits. A test turns it in
virtual time, ``python -m standins`` in real time.
"""
