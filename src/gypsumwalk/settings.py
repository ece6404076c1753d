"""Settings of one daemon, read from TOML and checked as a whole."""

from dataclasses import dataclass

import msgspec

from gypsumwalk.errors import BadSetting, SettingsInvalid

__all__ = ["PeerSettings", "Settings", "decode_settings"]

MAX_PORT = 65_535


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of one daemon that membership begins from.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Data centre that it stands in.
    address : str
        IP number.
    peer_port : int
        TCP and UDP port for other daemons.
    voter : bool
        Whether it has a disk and votes at the first start of the system.
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
        Name of the daemon, unique over the system.
    data_centre : str
        Data centre that the daemon stands in.
    address : str
        IP number to listen on.
    caller_port : int
        TCP port for callers.
    peer_port : int
        TCP and UDP port for daemons, targets, the platform and operators.
    peers : list of PeerSettings
        Daemons that membership begins from; may name the daemon itself.
    cluster_secret : str
        Secret, at least 16 characters, that authenticates daemons to each other.
    operator_key : str
        First operator's key, in force until operators give keys of their own.
    target_key : str
        Key that targets and the platform show when they announce or report; empty
        takes announcements from whoever reaches the peers' port.
    data_folder : str
        Folder for durable state; empty on an instance without a disk.
    record_folder : str
        Folder for log and time line files; empty writes to the standard output.
    platform_url : str
        Base URL of the platform's API; empty where there is none.
    caller_threads : int
        Callers that wait at the same time.
    max_body_bytes : int
        Largest body of a request, in bytes.
    election_seconds : float
        Seconds without a leader after which a voter may stand, the same on all
        daemons; shorter ones cost more heartbeats.
    seed : int
        Seed of the random numbers; 0 takes one from the system.
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
    seed: int = 0

    @property
    def voters(self) -> list[str]:
        """Names of the daemons that vote at the first start of the system."""
        return [peer.name for peer in self.peers if peer.voter]


@dataclass(frozen=True, slots=True)
class _Rule:
    key: str
    expected: str
    holds: bool
    found: object


MIN_SECRET_CHARACTERS = 16

ELECTION_BOUNDS = (0.2, 10.0)
"""In seconds: a sync and a round trip fit below, a rollout of 14 s above."""


def decode_settings(text: str, *, file: str) -> Settings:
    """Read settings from TOML.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for errors.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsInvalid
        Every wrong setting, each a ``BadSetting``.
    """
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except msgspec.ValidationError as error:
        raise SettingsInvalid(file, [explain_validation(error, file)]) from error
    except msgspec.DecodeError as error:
        wrong = BadSetting(file, "(file)", "TOML", str(error))
        raise SettingsInvalid(file, [wrong]) from error
    wrongs = [
        BadSetting(file, rule.key, rule.expected, repr(rule.found))
        for rule in _list_rules(settings)
        if not rule.holds
    ]
    if wrongs:
        raise SettingsInvalid(file, wrongs)
    return settings


def explain_validation(error: msgspec.ValidationError, file: str) -> BadSetting:
    """Turn a validation error of the decoder into a typed one.

    Parameters
    ----------
    error : msgspec.ValidationError
        Error of the decoder.
    file : str
        Name of the file.

    Returns
    -------
    BadSetting
        The same error, naming file, key, what was expected and what was found.
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
            "max_body_bytes",
            "at least 1",
            settings.max_body_bytes >= 1,
            settings.max_body_bytes,
        ),
    ]
    least, most = ELECTION_BOUNDS
    rules.append(
        _Rule(
            "election_seconds",
            f"{least} to {most}",
            least <= settings.election_seconds <= most,
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
