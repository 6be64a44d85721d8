"""Cicadapond, a serving system for small organisations on reclaimable hosts."""
