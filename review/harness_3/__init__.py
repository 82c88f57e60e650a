"""Stand-ins of the platform, its backends and clients for cases 11 to 15.

They need the standard library only.
"""
