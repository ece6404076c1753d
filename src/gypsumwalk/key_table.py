"""Keys in force, as a section of the replicated state."""

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
    """A key, without its secret.

    Attributes
    ----------
    key_id : str
        Public part of the key.
    team : str
        Team that work is taken for, empty for an operator.
    operator : bool
        Whether it is an operator's.
    queues : list of str
        Queues that it is bound to; empty for all of the team's.
    expires : float
        Time in seconds from which it is refused, 0 for never.
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
    """Command: a key is in force from now on."""

    record: KeyRecord


class WithdrawKey(msgspec.Struct, frozen=True, tag=True):
    """Command: a key is in force no more."""

    key_id: str


COMMANDS = (GiveKey, WithdrawKey)


class KeySection:
    """Every key in force."""

    name = "keys"
    commands: tuple[type, ...] = COMMANDS

    def __init__(self) -> None:
        self._keys: dict[str, KeyRecord] = {}
        self._had_operator = False

    @property
    def had_operator(self) -> bool:
        """Whether an operator's key was ever given."""
        return self._had_operator

    def find(self, credential: str) -> KeyRecord | None:
        """Return the key that a caller shows, if it is in force.

        Parameters
        ----------
        credential : str
            Public part, a dot and the secret.

        Returns
        -------
        KeyRecord or None
            The key.
        """
        key_id, _, secret = credential.partition(".")
        record = self._keys.get(key_id)
        salt = record.salt if record else b""
        digest = hash_secret(secret, salt)
        expected = record.digest if record else b""
        return record if hmac.compare_digest(digest, expected) else None

    def all(self) -> list[KeyRecord]:
        """Return every key, ordered by its public part."""
        return [self._keys[key_id] for key_id in sorted(self._keys)]

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case GiveKey(record=record):
                return self._give(record, index)
            case WithdrawKey(key_id=key_id):
                return self._withdraw(key_id, index)
        raise TypeError(type(command).__name__)

    def dump(self) -> bytes:
        """Return the section as bytes."""
        return msgspec.msgpack.encode((self.all(), self._had_operator))

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        kind = tuple[list[KeyRecord], bool]
        records, self._had_operator = msgspec.msgpack.decode(content, type=kind)
        self._keys = {record.key_id: record for record in records}

    def _give(self, record: KeyRecord, index: int) -> msgspec.Struct:
        if record.key_id in self._keys:
            return Rejected("KeyExists", f"key {record.key_id} exists")
        if len(self._keys) >= MAX_KEYS:
            return Rejected("TooManyKeys", f"at most {MAX_KEYS} keys")
        self._keys[record.key_id] = record
        self._had_operator = self._had_operator or record.operator
        return Accepted(index)

    def _withdraw(self, key_id: str, index: int) -> msgspec.Struct:
        record = self._keys.get(key_id)
        if record and record.operator and self._is_last_operator(key_id):
            return Rejected("LastOperatorKey", "give another operator's key first")
        self._keys.pop(key_id, None)
        return Accepted(index)

    def _is_last_operator(self, key_id: str) -> bool:
        operators = [item.key_id for item in self._keys.values() if item.operator]
        return operators == [key_id]


def hash_secret(secret: str, salt: bytes) -> bytes:
    """Hash the secret part of a key, which has 256 random bits.

    Parameters
    ----------
    secret : str
        The secret.
    salt : bytes
        Salt of this key.

    Returns
    -------
    bytes
        The hash.
    """
    content = secret.encode(errors="replace")
    return blake2b(content, salt=salt, digest_size=DIGEST_BYTES).digest()
