"""A gateway that can be cut off from others, for the soak: `launch.py gateway.partitioned`."""
