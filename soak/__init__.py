"""Randomized soak test of node processes over the platform's protocols."""
