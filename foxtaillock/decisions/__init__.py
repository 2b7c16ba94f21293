"""One entry to every decision of the system, without sockets or event loops.

A benchmark creates a decision by name and then calls its documented methods
with state, events and times of its own:

    >>> from foxtaillock import decisions
    >>> spread = decisions.create("ownership-spread")
    >>> sorted(spread(["p", "q"], {"a": 0, "b": 0}).values())
    ['a', 'b']
"""

from foxtaillock.decisions import catalogue
from foxtaillock.decisions.catalogue import create
from foxtaillock.decisions.catalogue import names

__all__ = ["catalogue", "create", "names"]
