"""Runs geraniumstair on the users' platform, whose names it translates.

Only this package uses the names and formats of the platform, and no other
package imports it.
"""
