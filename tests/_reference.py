"""Reference pages generated from the types and docstrings of the models.

``python -m tests._reference`` writes them; ``tests/test_reference.py`` checks that they
are up to date.
"""

import pathlib

import msgspec
from msgspec import inspect
from numpydoc.docscrape import NumpyDocString

from gypsumwalk.folder import (
    InstanceTable,
    PoolTable,
    QueueTable,
    ServiceTable,
    TeamTable,
    WaveTable,
)
from gypsumwalk.settings import PeerSettings, Settings
from tests._catalogues import render_catalogues

DOCS = pathlib.Path(__file__).parent.parent / "docs"

SETTINGS_PAGE = """\
# Settings

Generated from `gypsumwalk.settings` by `python -m tests._reference`.

`gypsumwalk serve SETTINGS.toml` reads one TOML file. It validates the whole file and
reports every invalid setting with file, key, expected and found value;
`gypsumwalk check SETTINGS.toml` only validates. Unknown keys are refused.

## Keys of the file

{settings}
## `[[peers]]`

Daemons that are contacted first to join the cluster; the list may contain the daemon
itself.

{peers}
## Example

```toml
name = "hanbit-1"
data_centre = "seoul-a"
caller_port = 8101
peer_port = 8201
cluster_secret = "at least sixteen characters"
operator_key = "first operator's key"
data_folder = "/var/lib/gypsumwalk"

[[peers]]
name = "hanbit-1"
data_centre = "seoul-a"
address = "127.0.0.1"
peer_port = 8201
voter = true
```
"""

FOLDER_PAGE = """\
# Configuration folder

Generated from `gypsumwalk.folder` by `python -m tests._reference`.

The desired state is declared in a folder of TOML files, merged in the order of their
names: where two files set the same key of the same table, the later file wins. A change
is a new file, and the folder declares the complete desired state. A folder is accepted
as a whole or not at all.

{tables}"""

TABLES = [
    ("teams", TeamTable),
    ("services", ServiceTable),
    ("queues", QueueTable),
    ("pools", PoolTable),
    ("instances", InstanceTable),
    ("waves", WaveTable),
]


def render_pages():
    """Return the text of each generated page by its file name."""
    parts = [
        f"## `[{name}.NAME]`\n\n{_first_line(model)}\n\n{render_model(model)}"
        for name, model in TABLES
    ]
    return {
        "SETTINGS.md": SETTINGS_PAGE.format(
            settings=render_model(Settings), peers=render_model(PeerSettings)
        ),
        "FOLDER.md": FOLDER_PAGE.format(tables="\n".join(parts)),
        **render_catalogues(),
    }


def render_model(model):
    """Return a table of a model's keys, types, defaults and meanings."""
    meanings = {
        item.name: " ".join(item.desc)
        for item in NumpyDocString(model.__doc__)["Attributes"]
    }
    lines = ["| key | type | default | meaning |", "| --- | --- | --- | --- |"]
    for field in inspect.type_info(model).fields:
        default = _name_default(field)
        meaning = meanings[field.name]
        kind = _name_type(field.type)
        lines.append(f"| `{field.encode_name}` | {kind} | {default} | {meaning} |")
    return "\n".join(lines) + "\n"


def _first_line(model):
    return NumpyDocString(model.__doc__)["Summary"][0]


def _name_default(field):
    if field.required:
        return "required"
    if field.default is not inspect.NODEFAULT:
        return f"`{msgspec.json.encode(field.default).decode()}`"
    return f"`{msgspec.json.encode(field.default_factory()).decode()}`"


def _name_type(kind):
    match kind:
        case inspect.StrType():
            return "string"
        case inspect.IntType():
            return "integer"
        case inspect.FloatType():
            return "number"
        case inspect.BoolType():
            return "boolean"
        case inspect.ListType(item_type=item):
            return f"list of {_name_type(item)}"
        case inspect.StructType():
            return "table"
    raise AssertionError(f"no type name for {kind}")


def main():
    """Write every page."""
    for name, text in render_pages().items():
        (DOCS / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
