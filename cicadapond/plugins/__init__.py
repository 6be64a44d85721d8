"""Adapters to platforms, engines and services; each module registers its own on import."""
