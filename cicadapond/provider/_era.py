"""Versions of a table service that can be restored from an older copy.

A restore raises the service's era by one.  The service then gives out again the versions that it
had given out since the copy was made, so that a version alone does not tell which state is newer.
The product's own versions include the era, and only grow.
"""

# The service's own versions stay below this; eras below 512 keep the sum within 53 bits, which
# JSON readers represent exactly.
VERSIONS_PER_ERA = 2**44
# Versions are sent between processes in 64 bits.
MAX_ERA = 2**63 // VERSIONS_PER_ERA - 1


def era_of(version: int) -> int:
    """Returns the era of a version; 0 for a service that has never been restored."""
    return version // VERSIONS_PER_ERA


def version_in_era(era: int, number: int) -> int:
    """Returns the version that stands for a version number that the service gave out in an era."""
    return era * VERSIONS_PER_ERA + number


def number_of(version: int) -> int:
    """Returns the version number as the service itself gave it out."""
    return version % VERSIONS_PER_ERA
