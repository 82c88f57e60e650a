"""Revisions that stay in order when a store is restored from a copy.

A restored store continues from the revision of its copy and gives out later
revisions again. Its generation rises with each restore. Generation and revision
together form one number that rises with every change, whichever history it
belongs to.
"""

# Revisions below 2**40 last for 34 years at a thousand changes a second.
_REVISION_BITS = 40


def order_revision(generation: int, revision: int) -> int:
    """Returns the number that orders a revision among all histories.

    Args:
        generation: Number of restores before, as the store counts them.
        revision: The store's own revision.
    """
    return (generation << _REVISION_BITS) + revision


def split_revision(ordered: int) -> tuple[int, int]:
    """Returns the generation and the store's own revision."""
    return divmod(ordered, 1 << _REVISION_BITS)


def is_restored_since(earlier: int, later: int) -> bool:
    """Returns whether the store was restored between two ordered revisions."""
    return split_revision(earlier)[0] < split_revision(later)[0]
