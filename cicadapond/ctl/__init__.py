"""Operators' command-line tool: edits the configuration document and shows process states."""
