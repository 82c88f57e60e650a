"""Randomized soak of real node processes on the platform's protocols."""
