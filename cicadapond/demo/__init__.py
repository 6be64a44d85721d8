"""A demo deployment of the complete system in one process on loopback."""
