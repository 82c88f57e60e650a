"""The independent review: its cases and its report."""
