"""arrowkeel: call control decisions for a mesh of switches, each agent seeing only its own traffic."""

from arrowkeel.policy import Policy

__all__ = ["Policy"]
