"""Parsing, merging and validation of the files of a configuration folder."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from gypsumwalk.errors import BadFolder, BadSetting
from gypsumwalk.folder import Folder
from gypsumwalk.settings import explain_validation
from gypsumwalk.submissions import MAX_DEADLINE_SECONDS

__all__ = ["Tables", "merge_files", "parse_file"]

Tables = dict[str, Any]
"""Tables of one file, nested as kind, name and key."""

REMOVED = "removed"
MERGED = "(merged folder)"


def parse_file(name: str, text: str) -> Tables:
    """Parse one file.

    Parameters
    ----------
    name : str
        Name of the file, for error messages.
    text : str
        Content of the file, as TOML.

    Returns
    -------
    dict
        Tables of the file.

    Raises
    ------
    BadSetting
        If the text is not valid TOML, or an entry is not a table.
    """
    try:
        tables: Tables = msgspec.toml.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadSetting(name, "(file)", "TOML", str(error)) from error
    for kind, entries in tables.items():
        if kind != REMOVED:
            _check_is_table_of_tables(name, kind, entries)
    removed = tables.get(REMOVED, [])
    if not isinstance(removed, list) or not all(
        _is_table_path(item) for item in removed
    ):
        expected = "a list of kind.name"
        raise BadSetting(name, REMOVED, expected, repr(removed))
    return tables


def merge_files(parsed: Mapping[str, Tables]) -> Folder:
    """Merge files in the order of their names, and validate the result.

    A table of a later file overrides the keys that it contains; other keys keep their
    values, and lists are replaced, not merged. ``removed = ["kind.name"]`` deletes
    tables of earlier files.

    Parameters
    ----------
    parsed : Mapping[str, dict]
        Tables of each file, by name.

    Returns
    -------
    Folder
        The merged folder.

    Raises
    ------
    BadFolder
        If any setting is invalid; it groups one ``BadSetting`` per invalid setting.
    """
    merged: Tables = {}
    bad_settings: list[BadSetting] = []
    sources: dict[str, str] = {}
    for name in sorted(parsed):
        for path in parsed[name].get(REMOVED, []):
            if not _remove_table(merged, path):
                bad_settings.append(BadSetting(name, REMOVED, "a known table", path))
        _merge_tables(merged, parsed[name], name, sources)
    if bad_settings:
        raise BadFolder("configuration folder", bad_settings)
    folder = _convert(merged, sources)
    bad_settings = [
        BadSetting(_find_source(sources, key), key, expected, found)
        for key, expected, found in _find_violations(folder)
    ]
    if bad_settings:
        raise BadFolder("configuration folder", bad_settings)
    return folder


def _check_is_table_of_tables(name: str, kind: str, entries: object) -> None:
    if not isinstance(entries, dict):
        raise BadSetting(name, kind, "a table of tables", repr(entries))
    for entry, keys in entries.items():
        if not isinstance(keys, dict):
            raise BadSetting(name, f"{kind}.{entry}", "a table", repr(keys))


def _is_table_path(item: object) -> bool:
    return isinstance(item, str) and "." in item


def _remove_table(merged: Tables, path: str) -> bool:
    kind, _, entry = path.partition(".")
    return merged.get(kind, {}).pop(entry, None) is not None


def _merge_tables(
    merged: Tables, tables: Tables, name: str, sources: dict[str, str]
) -> None:
    for kind, entries in tables.items():
        if kind == REMOVED:
            continue
        known = merged.setdefault(kind, {})
        for entry, keys in entries.items():
            known[entry] = known.get(entry, {}) | keys
            sources[f"{kind}.{entry}"] = name


def _convert(merged: Tables, sources: dict[str, str]) -> Folder:
    try:
        return msgspec.convert(merged, Folder)
    except msgspec.ValidationError as error:
        bad_settings = list(_find_invalid_tables(merged, sources))
        bad_settings = bad_settings or [explain_validation(error, MERGED)]
        raise BadFolder("configuration folder", bad_settings) from error


def _find_invalid_tables(
    merged: Tables, sources: dict[str, str]
) -> Iterator[BadSetting]:
    for kind, entries in merged.items():
        for entry, keys in entries.items():
            try:
                msgspec.convert({kind: {entry: keys}}, Folder)
            except msgspec.ValidationError as error:
                file = sources.get(f"{kind}.{entry}", MERGED)
                bad_setting = explain_validation(error, file)
                key = bad_setting.key.replace("[...]", f".{entry}", 1)
                yield BadSetting(file, key, bad_setting.expected, bad_setting.found)


def _find_source(sources: dict[str, str], key: str) -> str:
    kind, entry, *_ = key.split(".")
    return sources.get(f"{kind}.{entry}", MERGED)


_Violation = tuple[str, str, str]


def _find_violations(folder: Folder) -> Iterator[_Violation]:
    yield from _find_team_violations(folder)
    yield from _find_queue_violations(folder)
    yield from _find_pool_violations(folder)
    yield from _find_wave_violations(folder)


def _find_team_violations(folder: Folder) -> Iterator[_Violation]:
    for name, team in folder.teams.items():
        if not 0 < team.share < float("inf"):
            yield f"teams.{name}.share", "a number above 0", repr(team.share)
        if team.limit < 0:
            yield f"teams.{name}.limit", "0 or more", repr(team.limit)


def _find_queue_violations(folder: Folder) -> Iterator[_Violation]:
    for name, service in folder.services.items():
        if service.pool not in folder.pools:
            yield f"services.{name}.pool", "a pool of the folder", repr(service.pool)
    for name, queue in folder.queues.items():
        key = f"queues.{name}"
        if queue.service not in folder.services:
            yield f"{key}.service", "a service of the folder", repr(queue.service)
        unknown = [team for team in queue.teams if team not in folder.teams]
        if unknown:
            yield f"{key}.teams", "teams of the folder", repr(unknown)
        if queue.max_waiting < 0:
            yield f"{key}.max_waiting", "0 or more", repr(queue.max_waiting)
        if not 0 < queue.deadline_seconds <= MAX_DEADLINE_SECONDS:
            expected = f"above 0 and at most {MAX_DEADLINE_SECONDS:.0f}"
            found = repr(queue.deadline_seconds)
            yield f"{key}.deadline_seconds", expected, found


def _find_pool_violations(folder: Folder) -> Iterator[_Violation]:
    counts = dict.fromkeys(folder.pools, 0)
    for name, instance in folder.instances.items():
        if instance.pool not in folder.pools:
            yield f"instances.{name}.pool", "a pool of the folder", instance.pool
            continue
        counts[instance.pool] += 1
        if instance.processors <= 0 or instance.memory_gb <= 0:
            found = f"{instance.processors} cores, {instance.memory_gb} GB"
            yield f"instances.{name}.processors", "sizes above 0", found
    for name, pool in folder.pools.items():
        if pool.max_unavailable < 0:
            found = repr(pool.max_unavailable)
            yield f"pools.{name}.max_unavailable", "0 or more", found
        if counts[name] and pool.min_instances > counts[name]:
            expected = f"at most its {counts[name]} instances"
            yield f"pools.{name}.min_instances", expected, repr(pool.min_instances)


def _find_wave_violations(folder: Folder) -> Iterator[_Violation]:
    for name, wave in folder.waves.items():
        key = f"waves.{name}"
        if wave.concurrency < 1:
            yield f"{key}.concurrency", "1 or more", repr(wave.concurrency)
        if wave.dwell_seconds < 0 or wave.drain_seconds < 0:
            yield f"{key}.dwell_seconds", "0 or more", repr(wave.dwell_seconds)
        for pool in wave.pools:
            if pool not in folder.pools:
                yield f"{key}.pools", "pools of the folder", repr(pool)
            elif folder.pools[pool].max_unavailable < 1:
                expected = "pools that may have an instance unavailable"
                yield f"{key}.pools", expected, repr(pool)
