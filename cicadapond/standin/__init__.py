"""Stand-ins of the platform, the engines and the plain services, for tests and the demo."""
