"""Translates between the users' platform and foxtaillock.

Everything that the platform names is decoded here, once, into the types of
`foxtaillock.batch`. Nothing outside this package knows the platform's names.
"""
