"""DNS: resolver, SRV lookups, zone files and dynamic updates."""
