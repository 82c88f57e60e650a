"""Stand-ins of clients, servers and the platform for review cases 6 to 10."""
