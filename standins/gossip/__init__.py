"""Members of a group in virtual time: the real state machines, and a net that loses, delays and cuts."""
