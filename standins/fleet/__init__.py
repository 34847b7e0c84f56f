"""Many border controllers, each the real module, before a few call servers, in virtual time from one seed.

Nothing here listens or speaks: what lies between callers, modules and call servers is a queue of events. What
one instance does harmlessly and all together do not is counted over the fleet: see ``figures``.
"""
