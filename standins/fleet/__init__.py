"""Simulation of many border controllers with the real control module and a few call servers, in virtual time.

No sockets are used: an event queue with one seed connects callers, modules and call servers. Effects that are
harmless in one instance but not in many at once are counted over the fleet, see ``figures``.
"""
