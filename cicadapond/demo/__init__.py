"""The whole product in one process on loopback: the newcomer's first command."""
