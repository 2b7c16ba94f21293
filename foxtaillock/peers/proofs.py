"""Challenge-response proofs that both ends know the shared secret."""

import hashlib
import hmac

__all__ = ["NONCE_BYTES", "make_proof", "proof_matches"]

NONCE_BYTES = 32


def make_proof(
    secret: bytes,
    role: str,
    node: str,
    server_nonce: bytes,
    client_nonce: bytes,
) -> bytes:
    """Returns the HMAC with which one end authenticates itself to the other.

    Args:
        secret: shared secret of the entry VMs.
        role: `client` or `server`, the end that makes the proof; prevents
            reflection of a proof to its sender.
        node: name of the client.
        server_nonce: fresh random bytes of the server.
        client_nonce: fresh random bytes of the client.
    """
    parts = (role.encode(), node.encode(), server_nonce, client_nonce)
    message = b"".join(len(p).to_bytes(4, "big") + p for p in parts)
    return hmac.new(secret, message, hashlib.sha256).digest()


def proof_matches(expected: bytes, received: bytes) -> bool:
    """Returns whether two proofs are equal; compares in constant time."""
    return hmac.compare_digest(expected, received)
