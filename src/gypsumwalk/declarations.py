"""Declaration in force, as a section of the replicated state."""

import msgspec

from gypsumwalk.declaration_records import (
    AdvicePolicy,
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    PutDeclaration,
)
from gypsumwalk.state import Accepted

__all__ = ["DeclarationSection"]


class DeclarationSection:
    """The declaration with the highest version, indexed for look-ups."""

    name = "declarations"
    commands: tuple[type, ...] = (PutDeclaration,)

    def __init__(self) -> None:
        self.current: Declaration | None = None
        self._by_host: dict[str, list[DeclaredQueue]] = {}
        self._queues: dict[str, DeclaredQueue] = {}
        self._services: dict[str, DeclaredService] = {}
        self._teams: dict[str, DeclaredTeam] = {}
        self._teams_by_key: dict[str, DeclaredTeam] = {}

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self.current.version if self.current else 0

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Put a declaration in force if its version is higher than the current one."""
        assert isinstance(command, PutDeclaration)
        if command.declaration.version > self.version:
            self._replace(command.declaration)
        return Accepted(index)

    def find_queue(self, host: str, path: str) -> DeclaredQueue | None:
        """Return the queue of a host by the longest matching path prefix."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def get_queue(self, name: str) -> DeclaredQueue | None:
        """Return a queue by name."""
        return self._queues.get(name)

    def get_advice(self, queue: str) -> AdvicePolicy | None:
        """Return the advice policy of a queue, None if its steps need no advice."""
        declared = self._queues.get(queue)
        return declared.advice if declared else None

    def get_service(self, name: str) -> DeclaredService | None:
        """Return a service by name."""
        return self._services.get(name)

    def find_standby(self) -> str:
        """Return the name of the standby service, empty if there is none."""
        services = self._services.values()
        return next((item.name for item in services if item.standby), "")

    def get_team(self, name: str) -> DeclaredTeam | None:
        """Return a team by name."""
        return self._teams.get(name)

    def find_team(self, key: str) -> DeclaredTeam | None:
        """Return the team that owns a key."""
        return self._teams_by_key.get(key)

    def dump(self) -> bytes:
        """Return the section as bytes."""
        return msgspec.msgpack.encode(self.current)

    def load(self, content: bytes) -> None:
        """Replace the section by a dumped one."""
        self._replace(msgspec.msgpack.decode(content, type=Declaration | None))

    def _replace(self, current: Declaration | None) -> None:
        self.current = current
        declaration = current or Declaration(0)
        self._queues = {queue.name: queue for queue in declaration.queues}
        self._services = {item.name: item for item in declaration.services}
        self._teams = {team.name: team for team in declaration.teams}
        self._teams_by_key = {
            key: team for team in declaration.teams for key in team.keys
        }
        self._by_host = {}
        by_length = sorted(declaration.queues, key=lambda queue: -len(queue.prefix))
        for queue in by_length:
            self._by_host.setdefault(queue.host, []).append(queue)
