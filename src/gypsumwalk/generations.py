"""Section of the replicated state that holds the generations of the folder."""

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

import msgspec

from gypsumwalk.errors import BadFolder, BadSetting
from gypsumwalk.folder import Folder
from gypsumwalk.folder_merging import Tables, merge_files, parse_file
from gypsumwalk.state import Rejected
from gypsumwalk.views import QueueRule, TeamRule

__all__ = [
    "COMMANDS",
    "ApplyFolder",
    "ConfigurationSection",
    "FolderAccepted",
    "describe_folder_errors",
]

MAX_STORED_DIGESTS = 4096
"""Latest generations whose change is recognised when it is sent again."""

DIGEST_BYTES = 16
MAX_FOLDER_BYTES = 16 * 1024 * 1024


class ApplyFolder(msgspec.Struct, frozen=True, tag=True):
    """Command: change files of the configuration folder.

    Attributes
    ----------
    base : int
        Generation that the change is based on.
    files : dict of str to str
        New or changed files.
    removed : list of str
        Names of removed files.
    whole : bool
        Whether files that are not in ``files`` are removed too.
    """

    base: int
    files: dict[str, str]
    removed: list[str] = []
    whole: bool = False


class FolderAccepted(msgspec.Struct, frozen=True, tag=True):
    """Result: the change is accepted and makes a new generation."""

    generation: int
    repeated: bool = False


COMMANDS = (ApplyFolder,)


class _Dump(msgspec.Struct, frozen=True):
    generation: int
    files: dict[str, str]
    digests: dict[int, bytes]


class ConfigurationSection:
    """Files and merged folder of the generation in force."""

    name = "configuration"
    commands: tuple[type, ...] = COMMANDS

    def __init__(self) -> None:
        self.generation = 0
        self.files: dict[str, str] = {}
        self._folder = Folder()
        self._parsed: dict[str, Tables] = {}
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def folder(self) -> Folder:
        """The merged folder in force."""
        return self._folder

    def team(self, name: str) -> TeamRule | None:
        """Return the rule of a team."""
        table = self._folder.teams.get(name)
        return TeamRule(name, table.share, table.limit) if table else None

    def teams(self) -> Sequence[TeamRule]:
        """Return the rules of all teams, ordered by name."""
        teams = sorted(self._folder.teams.items())
        return [TeamRule(name, table.share, table.limit) for name, table in teams]

    def queue(self, name: str) -> QueueRule | None:
        """Return the rule of a queue."""
        table = self._folder.queues.get(name)
        if table is None:
            return None
        return QueueRule(
            name,
            table.service,
            table.open,
            tuple(table.teams),
            table.max_waiting,
            table.deadline_seconds,
        )

    def preview(self, command: ApplyFolder) -> Folder:
        """Return the folder that would result from a change.

        Parameters
        ----------
        command : ApplyFolder
            The change.

        Returns
        -------
        Folder
            The merged folder.

        Raises
        ------
        BadFolder
            If a setting is invalid; it holds an error for each one.
        """
        return merge_files(self._parse(self._change_files(command)))

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply a committed change, if its base is the generation in force."""
        assert isinstance(command, ApplyFolder)
        digest = _digest(command)
        if command.base != self.generation:
            return self._answer_stale_base(command.base + 1, digest)
        files = self._change_files(command)
        try:
            parsed = self._parse(files)
            folder = merge_files(parsed)
        except BadFolder as error:
            return Rejected("BadFolder", describe_folder_errors(error)[0])
        self.generation += 1
        self.files, self._parsed, self._folder = files, parsed, folder
        self._digests[self.generation] = digest
        if len(self._digests) > MAX_STORED_DIGESTS:
            self._digests.popitem(last=False)
        return FolderAccepted(self.generation)

    def dump(self) -> bytes:
        """Return the section, encoded."""
        dump = _Dump(self.generation, self.files, dict(self._digests))
        return msgspec.msgpack.encode(dump)

    def load(self, content: bytes) -> None:
        """Replace the section by that of a dump."""
        dump = msgspec.msgpack.decode(content, type=_Dump)
        parsed = self._parse(dump.files)
        folder = merge_files(parsed)
        self.generation, self.files = dump.generation, dump.files
        self._digests = OrderedDict(dump.digests)
        self._parsed, self._folder = parsed, folder

    def _answer_stale_base(self, generation: int, digest: bytes) -> msgspec.Struct:
        if self._digests.get(generation) == digest:
            return FolderAccepted(generation, repeated=True)
        detail = f"generation {self.generation} is in force already"
        if generation > self.generation:
            detail = f"generation {self.generation} is the newest there is"
        return Rejected("ConflictingGeneration", detail)

    def _change_files(self, command: ApplyFolder) -> dict[str, str]:
        files = {} if command.whole else dict(self.files)
        for name in command.removed:
            files.pop(name, None)
        return dict(sorted((files | command.files).items()))

    def _parse(self, files: dict[str, str]) -> dict[str, Tables]:
        parsed = {}
        bad_settings = []
        if sum(map(len, files.values())) > MAX_FOLDER_BYTES:
            expected = f"at most {MAX_FOLDER_BYTES} characters"
            bad_settings.append(BadSetting("(folder)", "(files)", expected, "more"))
        for name, text in files.items():
            if name in self._parsed and self.files.get(name) == text:
                parsed[name] = self._parsed[name]
                continue
            try:
                parsed[name] = parse_file(name, text)
            except BadSetting as error:
                bad_settings.append(error)
        if bad_settings:
            raise BadFolder("configuration folder", bad_settings)
        return parsed


def _digest(command: ApplyFolder) -> bytes:
    ordered = msgspec.structs.replace(
        command,
        files=dict(sorted(command.files.items())),
        removed=sorted(command.removed),
    )
    content = msgspec.msgpack.encode(ordered)
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


def describe_folder_errors(error: BadFolder) -> list[str]:
    """Return one message for each invalid setting."""
    return [str(item) for item in error.exceptions]
