"""The soak: the real program under seeded random faults, between stand-ins of its peers on loopback."""
