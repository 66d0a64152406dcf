"""The soak: the real program under seeded mixes of faults, between stand-ins on loopback."""
