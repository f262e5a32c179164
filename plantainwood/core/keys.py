"""Callers' API keys: created, hashed and checked; the secret is never stored."""

import hashlib
import hmac

from plantainwood.core.catalogue import Catalogue, Key
from plantainwood.core.errors import ErrorCode, RequestError

KEY_PREFIX = "pw"
SALT_BYTES = 8
SECRET_BYTES = 24


class Identity:
    """The customer that a request runs for, and the key that identified it."""

    __slots__ = ("customer", "key_id")

    def __init__(self, customer: str, key_id: str) -> None:
        self.customer = customer
        self.key_id = key_id


def hash_secret(secret: str, salt: str) -> str:
    """Return the salted hash of a secret as hexadecimal text.

    Secrets are random, not chosen by people, so one round of SHA-256 is enough.
    """
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def make_key(customer: str, key_id: str, secret: str, salt: str) -> tuple[str, Key]:
    """Return the key text for the caller and the catalogue entry to store."""
    text = f"{KEY_PREFIX}_{key_id}_{secret}"
    return text, Key(customer=customer, salt=salt, digest=hash_secret(secret, salt))


def check_key(catalogue: Catalogue, authorization: str | None) -> Identity:
    """Return the identity of an Authorization header; raise RequestError if invalid."""
    if not authorization or not authorization.lower().startswith("bearer "):
        raise RequestError(ErrorCode.NO_KEY, "send 'Authorization: Bearer <key>'")
    parts = authorization[len("bearer ") :].strip().split("_")
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        raise RequestError(ErrorCode.UNKNOWN_KEY, "the key is not known")
    key_id, secret = parts[1], parts[2]
    key = catalogue.keys.get(key_id)
    if key is None:
        raise RequestError(ErrorCode.UNKNOWN_KEY, "the key is not known")
    if not hmac.compare_digest(hash_secret(secret, key.salt), key.digest):
        raise RequestError(ErrorCode.UNKNOWN_KEY, "the key is not known")
    check_identity(catalogue, Identity(key.customer, key_id))
    return Identity(key.customer, key_id)


def check_identity(catalogue: Catalogue, identity: Identity) -> None:
    """Raise RequestError if the identity's key or customer is withdrawn or removed."""
    key = catalogue.keys.get(identity.key_id)
    if key is None or key.withdrawn or key.customer != identity.customer:
        raise RequestError(ErrorCode.KEY_WITHDRAWN, "the key has been withdrawn")
    if identity.customer not in catalogue.customers:
        raise RequestError(ErrorCode.KEY_WITHDRAWN, "the customer has been removed")
