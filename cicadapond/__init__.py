"""Cicadapond, a serving system for small organisations on reclaimable hosts."""

from cicadapond import _start_signals

if _start_signals.is_own_program():
    _start_signals.hold()
