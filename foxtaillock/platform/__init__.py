"""Adapts foxtaillock to the users' platform.

All data of the platform is decoded here into the types of `foxtaillock.batch`.
No other package uses the platform's names.
"""
