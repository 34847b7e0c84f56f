"""Test doubles and load generators on loopback: name servers, call servers and callers.

The program never imports them. Each has ``pump(now)``, which handles what has arrived, sends what is due and
never blocks. Tests drive it in virtual time, ``python -m standins`` in real time.
"""
