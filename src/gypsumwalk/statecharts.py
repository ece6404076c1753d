"""State charts in TOML files, interpreted by the ``transitions`` library."""

from functools import cache
from importlib import resources
from typing import Any

import msgspec
from transitions import Machine, MachineError

from gypsumwalk.errors import BadChart

__all__ = ["Chart", "ChartFile", "ChartTransition", "load_chart"]


class ChartTransition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One transition of a chart.

    Attributes
    ----------
    event : str
        Event that triggers the transition.
    sources : list of str
        States that the transition may start from.
    target : str
        State that the transition leads to.
    """

    event: str
    sources: list[str]
    target: str


class ChartFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of one chart file.

    Attributes
    ----------
    name : str
        Name of the entity whose life cycle the chart describes.
    initial : str
        Initial state.
    states : list of str
        All states.
    transitions : list of ChartTransition
        All transitions.
    """

    name: str
    initial: str
    states: list[str]
    transitions: list[ChartTransition]


class Chart:
    """Interpreter of one chart, shared by all entities with its life cycle.

    Parameters
    ----------
    file : ChartFile
        The chart.

    Raises
    ------
    BadChart
        If a transition or the initial state is not in the list of states.
    """

    def __init__(self, file: ChartFile) -> None:
        self.file = file
        self._events = frozenset(item.event for item in file.transitions)
        named = {file.initial, *(item.target for item in file.transitions)}
        named.update(source for item in file.transitions for source in item.sources)
        if unlisted := named.difference(file.states):
            raise BadChart(file.name, min(unlisted))
        self._model: Any = type("_ChartModel", (), {})()
        self._machine = Machine(
            model=self._model,
            states=file.states,
            initial=file.initial,
            auto_transitions=False,
        )
        for item in file.transitions:
            self._machine.add_transition(item.event, [*item.sources], item.target)

    @property
    def initial(self) -> str:
        """Initial state."""
        return self.file.initial

    def follow(self, state: str, event: str) -> str | None:
        """Return the state that an event leads to.

        Parameters
        ----------
        state : str
            Current state.
        event : str
            The event.

        Returns
        -------
        str or None
            Next state, or None if no transition handles the event in this state.

        Raises
        ------
        BadChart
            If the chart has no such state or event.
        """
        if state not in self.file.states:
            raise BadChart(self.file.name, state)
        if event not in self._events:
            raise BadChart(self.file.name, event)
        self._machine.set_state(state, self._model)
        try:
            self._model.trigger(event)
        except MachineError:
            return None
        after: str = self._model.state
        return after


@cache
def load_chart(name: str) -> Chart:
    """Load a chart from the package data, cached by name.

    Modules load their charts when they are imported: while a daemon runs, a file may
    fail to open, as when it has no descriptor left.

    Parameters
    ----------
    name : str
        Name of the chart's file without the suffix.

    Returns
    -------
    Chart
        The chart.
    """
    path = resources.files("gypsumwalk").joinpath("charts", f"{name}.toml")
    return Chart(msgspec.toml.decode(path.read_bytes(), type=ChartFile))
