"""Runs the product on the users' platform; translates its names and formats.

Nothing outside this folder knows the platform's names, and no other package
imports this one.
"""
