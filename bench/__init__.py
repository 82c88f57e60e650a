"""Load generator and benchmarks of the query tier."""
