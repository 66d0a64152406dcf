"""Stand-ins for the program's peers and the network between them, for tests on loopback addresses."""
