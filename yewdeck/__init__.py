"""yewdeck: call control decisions for a mesh of switches, each agent seeing only its own traffic."""

from yewdeck.policy import Policy

__all__ = ["Policy"]
