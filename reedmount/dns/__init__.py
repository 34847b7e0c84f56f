"""DNS: zone files, what they say of the call servers, and dynamic updates."""
