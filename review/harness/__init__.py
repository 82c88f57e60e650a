"""Stand-ins and tools that the review's scripts share."""
