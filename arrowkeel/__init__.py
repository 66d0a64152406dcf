"""arrowkeel: call control for a mesh of switches, in which each controller sees only its own traffic."""

from arrowkeel.policy import Policy

__all__ = ["Policy"]
