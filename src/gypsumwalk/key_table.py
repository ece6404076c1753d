"""Section of the replicated state that holds the keys in force."""

import hmac
from hashlib import blake2b

import msgspec

from gypsumwalk.state import Accepted, Rejected

__all__ = [
    "COMMANDS",
    "GiveKey",
    "KeyRecord",
    "KeySection",
    "WithdrawKey",
    "hash_secret",
]

DIGEST_BYTES = 32
MAX_KEYS = 16_384


class KeyRecord(msgspec.Struct, frozen=True):
    """Stored form of a key, with a hash in place of its secret.

    Attributes
    ----------
    key_id : str
        Public part of the key.
    team : str
        Team that the key belongs to; empty for an operator key.
    operator : bool
        Whether it is an operator key.
    queues : list of str
        Queues that the key is restricted to; empty for all queues of the team.
    expires : float
        Expiry time in seconds since the epoch; 0 for no expiry.
    salt : bytes
        Salt of the hash.
    digest : bytes
        Salted hash of the secret.
    """

    key_id: str
    team: str
    operator: bool
    queues: list[str]
    expires: float
    salt: bytes
    digest: bytes


class GiveKey(msgspec.Struct, frozen=True, tag=True):
    """Command: put a key in force."""

    record: KeyRecord


class WithdrawKey(msgspec.Struct, frozen=True, tag=True):
    """Command: withdraw a key."""

    key_id: str


COMMANDS = (GiveKey, WithdrawKey)


class KeySection:
    """The keys in force, by their public part."""

    name = "keys"
    commands: tuple[type, ...] = COMMANDS

    def __init__(self) -> None:
        self._keys: dict[str, KeyRecord] = {}
        self._has_had_operator_key = False

    @property
    def has_had_operator_key(self) -> bool:
        """Whether an operator key was ever issued; it disables the configured key."""
        return self._has_had_operator_key

    def find(self, credential: str) -> KeyRecord | None:
        """Return the record of a credential if its key is in force.

        Parameters
        ----------
        credential : str
            Public part and secret, separated by a dot.

        Returns
        -------
        KeyRecord or None
            Record of the key, or None if it is unknown or the secret is wrong.
        """
        key_id, _, secret = credential.partition(".")
        record = self._keys.get(key_id)
        salt = record.salt if record else b""
        digest = hash_secret(secret, salt)
        expected = record.digest if record else b""
        return record if hmac.compare_digest(digest, expected) else None

    def list_keys(self) -> list[KeyRecord]:
        """Return every key, ordered by its public part."""
        return [self._keys[key_id] for key_id in sorted(self._keys)]

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case GiveKey(record=record):
                return self._add_key(record, index)
            case WithdrawKey(key_id=key_id):
                return self._withdraw_key(key_id, index)
        raise TypeError(type(command).__name__)

    def dump(self) -> bytes:
        """Return the section as bytes."""
        return msgspec.msgpack.encode((self.list_keys(), self._has_had_operator_key))

    def load(self, content: bytes) -> None:
        """Replace the content by a dump."""
        kind = tuple[list[KeyRecord], bool]
        records, self._has_had_operator_key = msgspec.msgpack.decode(content, type=kind)
        self._keys = {record.key_id: record for record in records}

    def _add_key(self, record: KeyRecord, index: int) -> msgspec.Struct:
        if record.key_id in self._keys:
            return Rejected("KeyExists", f"key {record.key_id} exists")
        if len(self._keys) >= MAX_KEYS:
            return Rejected("TooManyKeys", f"at most {MAX_KEYS} keys")
        self._keys[record.key_id] = record
        self._has_had_operator_key = self._has_had_operator_key or record.operator
        return Accepted(index)

    def _withdraw_key(self, key_id: str, index: int) -> msgspec.Struct:
        record = self._keys.get(key_id)
        if record and record.operator and self._is_last_operator(key_id):
            return Rejected("LastOperatorKey", "give another operator's key first")
        self._keys.pop(key_id, None)
        return Accepted(index)

    def _is_last_operator(self, key_id: str) -> bool:
        operators = [item.key_id for item in self._keys.values() if item.operator]
        return operators == [key_id]


def hash_secret(secret: str, salt: bytes) -> bytes:
    """Hash the secret part of a key.

    A fast hash suffices, as the secret has 256 random bits.

    Parameters
    ----------
    secret : str
        The secret.
    salt : bytes
        Salt of the key.

    Returns
    -------
    bytes
        The hash.
    """
    content = secret.encode(errors="replace")
    return blake2b(content, salt=salt, digest_size=DIGEST_BYTES).digest()
