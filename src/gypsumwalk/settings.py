"""Settings of one daemon, read from TOML and validated."""

from dataclasses import dataclass

import msgspec

from gypsumwalk.errors import BadSetting, SettingsInvalid

__all__ = ["PeerSettings", "Settings", "decode_settings"]

MAX_PORT = 65_535


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of one daemon in the initial membership.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Data centre of the daemon.
    address : str
        IP address.
    peer_port : int
        TCP and UDP port for other daemons.
    voter : bool
        Whether the daemon has a disk and is a voter when the system first starts.
    """

    name: str
    data_centre: str
    address: str
    peer_port: int
    voter: bool = False


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one daemon.

    Attributes
    ----------
    name : str
        Name of the daemon, unique in the system.
    data_centre : str
        Data centre of the daemon.
    address : str
        IP address to listen on.
    caller_port : int
        TCP port for callers.
    peer_port : int
        TCP and UDP port for other daemons, targets, the platform and operators.
    peers : list of PeerSettings
        Daemons of the initial membership; may include the daemon itself.
    cluster_secret : str
        Secret, at least 16 characters, that authenticates daemons to each other.
    operator_key : str
        Initial operator key, valid until the first operator key is issued.
    target_key : str
        Key that authenticates announcements and reports of targets and the platform;
        if empty, announcements from any client that reaches ``peer_port`` are accepted.
    data_folder : str
        Folder for durable state; empty on an instance without a disk.
    record_folder : str
        Folder for log and time line files; if empty, they go to standard output.
    platform_url : str
        Base URL of the platform's API; empty if there is none.
    caller_threads : int
        Maximum number of callers that wait for an answer at the same time.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    election_seconds : float
        Election timeout in seconds: time without a leader after which a voter may
        become a candidate. Must be the same on all daemons; the heartbeat rate rises
        as it falls.
    tolerated_disk_losses : int
        Number of daemons with a disk that may be lost at the same time. A leader that
        replaces lost voters by itself extends the voters to twice this number and one,
        as far as there are so many daemons with a disk.
    seed : int
        Seed of the random number generator; 0 uses a seed from the operating system.
    """

    name: str
    data_centre: str
    address: str = "127.0.0.1"
    caller_port: int
    peer_port: int
    peers: list[PeerSettings] = []
    cluster_secret: str
    operator_key: str = ""
    target_key: str = ""
    data_folder: str = ""
    record_folder: str = ""
    platform_url: str = ""
    caller_threads: int = 256
    max_body_bytes: int = 8 * 1024 * 1024
    election_seconds: float = 1.0
    tolerated_disk_losses: int = 0
    seed: int = 0

    @property
    def voters(self) -> list[str]:
        """Names of the daemons that are voters when the system first starts."""
        return [peer.name for peer in self.peers if peer.voter]


@dataclass(frozen=True, slots=True)
class _Rule:
    key: str
    expected: str
    is_met: bool
    found: object


MIN_SECRET_CHARACTERS = 16

ELECTION_BOUNDS_SECONDS = (0.2, 10.0)
"""Lower and upper bound of ``election_seconds``, in seconds.

A disk sync and a network round trip fit into the lower bound; the upper bound is below
the duration of a rollout, 14 s.
"""


def decode_settings(text: str, *, file: str) -> Settings:
    """Read settings from TOML.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsInvalid
        If any setting is invalid; it groups one ``BadSetting`` per invalid setting.
    """
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except msgspec.ValidationError as error:
        raise SettingsInvalid(file, [explain_validation(error, file)]) from error
    except msgspec.DecodeError as error:
        bad_setting = BadSetting(file, "(file)", "TOML", str(error))
        raise SettingsInvalid(file, [bad_setting]) from error
    bad_settings = [
        BadSetting(file, rule.key, rule.expected, repr(rule.found))
        for rule in _list_rules(settings)
        if not rule.is_met
    ]
    if bad_settings:
        raise SettingsInvalid(file, bad_settings)
    return settings


def explain_validation(error: msgspec.ValidationError, file: str) -> BadSetting:
    """Convert a validation error of the decoder to a ``BadSetting``.

    Parameters
    ----------
    error : msgspec.ValidationError
        Error of the decoder.
    file : str
        Name of the file.

    Returns
    -------
    BadSetting
        The error with file, key, expected value and found value.
    """
    message, _, path = str(error).partition(" - at `")
    key = path.rstrip("`").removeprefix("$.") or "(file)"
    expected, _, found = message.removeprefix("Expected ").partition(", got ")
    return BadSetting(file, key, expected.strip("`"), found.strip("`") or "otherwise")


def _list_rules(settings: Settings) -> list[_Rule]:
    names = [peer.name for peer in settings.peers]
    rules = [
        _Rule("name", "a name", bool(settings.name), settings.name),
        _Rule("data_centre", "a name", bool(settings.data_centre), ""),
        _Rule(
            "cluster_secret",
            f"at least {MIN_SECRET_CHARACTERS} characters",
            len(settings.cluster_secret) >= MIN_SECRET_CHARACTERS,
            f"{len(settings.cluster_secret)} characters",
        ),
        _Rule("peers", "each name once", len(names) == len(set(names)), sorted(names)),
        _Rule(
            "peer_port",
            "a port other than caller_port",
            settings.peer_port != settings.caller_port,
            settings.peer_port,
        ),
        _Rule(
            "caller_threads",
            "at least 1",
            settings.caller_threads >= 1,
            settings.caller_threads,
        ),
        _Rule(
            "tolerated_disk_losses",
            "at least 0",
            settings.tolerated_disk_losses >= 0,
            settings.tolerated_disk_losses,
        ),
        _Rule(
            "max_body_bytes",
            "at least 1",
            settings.max_body_bytes >= 1,
            settings.max_body_bytes,
        ),
    ]
    minimum, maximum = ELECTION_BOUNDS_SECONDS
    rules.append(
        _Rule(
            "election_seconds",
            f"{minimum} to {maximum}",
            minimum <= settings.election_seconds <= maximum,
            settings.election_seconds,
        )
    )
    ports = [("caller_port", settings.caller_port), ("peer_port", settings.peer_port)]
    rules += [
        _Rule(key, f"1 to {MAX_PORT}", 1 <= port <= MAX_PORT, port)
        for key, port in ports
    ]
    if settings.name in settings.voters:
        rules.append(
            _Rule("data_folder", "a folder on a voter", bool(settings.data_folder), "")
        )
    return rules
