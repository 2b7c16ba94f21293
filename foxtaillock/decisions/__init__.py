"""Single entry point to the decision logic, without sockets or event loops.

A benchmark creates a decision by name and calls its documented methods with
its own state, events and times:

    >>> from foxtaillock import decisions
    >>> spread = decisions.create("ownership-spread")
    >>> sorted(spread(["p", "q"], {"a": 0, "b": 0}).values())
    ['a', 'b']
"""

from foxtaillock.decisions import catalogue
from foxtaillock.decisions.catalogue import create
from foxtaillock.decisions.catalogue import names

__all__ = ["catalogue", "create", "names"]
