"""Plug-ins: adapters to platforms, engines and services, each registering itself on import."""
