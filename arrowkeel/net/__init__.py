"""The call controller as a network program: connections, tables and configuration around the policy.

No routing decision is made here; those are made by `arrowkeel.policy`.
"""
