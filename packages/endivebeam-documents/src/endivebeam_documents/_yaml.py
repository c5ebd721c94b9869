"""Reads YAML into plain data and keeps the place of each value."""

import yaml

from ._findings import Finding, Path, Place, Severity, Source

MAX_DOCUMENT_CHARS = 4 << 20


class _Reader:
    """Turns YAML nodes into plain data."""

    def __init__(self, *, file: str) -> None:
        self._file = file
        self._loader = yaml.SafeLoader("")
        self._seen: set[int] = set()
        self.places: dict[Path, Place] = {}
        self.findings: list[Finding] = []

    def read(self, node: yaml.Node, path: Path) -> object:
        self.places.setdefault(path, _place(node.start_mark))
        if isinstance(node, yaml.ScalarNode):
            return self._read_scalar(node, path)
        if id(node) in self._seen:
            # Nested aliases expand exponentially, so that a short text could
            # exhaust memory.
            self._report(node, path, "aliases are not supported; repeat the value")
            return None
        self._seen.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self.read(item, (*path, index)) for index, item in items]
        return self._read_mapping(node, path)

    def _read_mapping(self, node: yaml.Node, path: Path) -> dict[str, object]:
        data: dict[str, object] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._report(key_node, path, "a field name must be plain text")
                continue
            key = str(key_node.value)
            if key in data:
                self._report(key_node, (*path, key), "given twice; remove one of them")
                continue
            data[key] = self.read(value_node, (*path, key))
            # The name is easier to find than a value on a following line.
            self.places[(*path, key)] = _place(key_node.start_mark)
        return data

    def _read_scalar(self, node: yaml.ScalarNode, path: Path) -> object:
        try:
            value: object = self._loader.construct_object(node)
        except (ValueError, yaml.YAMLError) as error:
            self._report(node, path, f"not a valid value: {error}; put it in quotes")
            return None
        return value

    def _report(self, node: yaml.Node, path: Path, message: str) -> None:
        place = _place(node.start_mark)
        places = {**self.places, path: place}
        source = Source(file=self._file, data=None, places=places)
        self.findings.append(source.make_finding(path, message))


def read_yaml(text: str, file: str) -> tuple[Source, list[Finding]]:
    """Return the data of a YAML text with places, and what could not be read."""
    if len(text) > MAX_DOCUMENT_CHARS:
        message = f"longer than {MAX_DOCUMENT_CHARS} characters; split the document"
        return _failed(file, Place(1, 1), message)
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        place = Place(1, 1) if mark is None else _place(mark)
        return _failed(file, place, f"not valid YAML: {error.problem}")
    except (yaml.YAMLError, RecursionError) as error:
        return _failed(file, Place(1, 1), f"not valid YAML: {error}")
    if node is None:
        return Source(file=file, data={}, places={}), []
    reader = _Reader(file=file)
    try:
        data = reader.read(node, ())
    except RecursionError:
        return _failed(file, Place(1, 1), "nested too deeply; flatten the document")
    return Source(file=file, data=data, places=reader.places), reader.findings


def _failed(file: str, place: Place, message: str) -> tuple[Source, list[Finding]]:
    finding = Finding(
        file=file,
        line=place.line,
        column=place.column,
        path="",
        severity=Severity.ERROR,
        message=message,
    )
    return Source(file=file, data=None, places={}), [finding]


def _place(mark: yaml.Mark) -> Place:
    return Place(mark.line + 1, mark.column + 1)
