"""Stand-ins that simulate the platform and endpoints for tests."""
