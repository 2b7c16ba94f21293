"""Proofs that both ends of a connection know the shared secret."""

import hashlib
import hmac

__all__ = ["NONCE_BYTES", "make_proof", "proof_matches"]

NONCE_BYTES = 32


def make_proof(
    secret: bytes, role: str, node: str, server_nonce: bytes, own_nonce: bytes
) -> bytes:
    """Returns the keyed hash that one end shows the other.

    Args:
        secret: shared secret of the entry VMs.
        role: `client` or `server`; keeps a proof from being sent back.
        node: name of the client.
        server_nonce: fresh random bytes of the server.
        own_nonce: fresh random bytes of the client.
    """
    parts = (role.encode(), node.encode(), server_nonce, own_nonce)
    message = b"".join(len(p).to_bytes(4, "big") + p for p in parts)
    return hmac.new(secret, message, hashlib.sha256).digest()


def proof_matches(expected: bytes, shown: bytes) -> bool:
    """Compares two proofs in constant time."""
    return hmac.compare_digest(expected, shown)
