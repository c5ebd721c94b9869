"""Reads YAML into plain data and records the position of each value."""

import yaml

from ._findings import Finding, Path, Position, Severity, Source

MAX_DOCUMENT_CHARS = 4 << 20


class _Reader:
    """Converts YAML nodes to plain data and collects positions and findings."""

    def __init__(self, *, file: str) -> None:
        self._file = file
        self._loader = yaml.SafeLoader("")
        self._seen: set[int] = set()
        self.positions: dict[Path, Position] = {}
        self.findings: list[Finding] = []

    def read(self, node: yaml.Node, path: Path) -> object:
        self.positions.setdefault(path, _position(node.start_mark))
        if isinstance(node, yaml.ScalarNode):
            return self._read_scalar(node, path)
        if id(node) in self._seen:
            # Nested aliases expand exponentially: a short text could exhaust
            # memory.
            self._add_finding(node, path, "aliases are not supported; repeat the value")
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
                self._add_finding(key_node, path, "a field name must be plain text")
                continue
            key = str(key_node.value)
            if key in data:
                self._add_finding(
                    key_node, (*path, key), "duplicate field; remove one of them"
                )
                continue
            data[key] = self.read(value_node, (*path, key))
            # Findings point to the field name; the value may start lines below.
            self.positions[(*path, key)] = _position(key_node.start_mark)
        return data

    def _read_scalar(self, node: yaml.ScalarNode, path: Path) -> object:
        try:
            value: object = self._loader.construct_object(node)
        except (ValueError, yaml.YAMLError) as error:
            self._add_finding(
                node, path, f"not a valid value: {error}; put it in quotes"
            )
            return None
        return value

    def _add_finding(self, node: yaml.Node, path: Path, message: str) -> None:
        position = _position(node.start_mark)
        positions = {**self.positions, path: position}
        source = Source(file=self._file, data=None, positions=positions)
        self.findings.append(source.make_finding(path, message))


def read_yaml(text: str, file: str) -> tuple[Source, list[Finding]]:
    """Return the data of a YAML text and findings for what cannot be read."""
    if len(text) > MAX_DOCUMENT_CHARS:
        message = f"longer than {MAX_DOCUMENT_CHARS} characters; split the document"
        return _reject(file, Position(1, 1), message)
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        position = Position(1, 1) if mark is None else _position(mark)
        return _reject(file, position, f"not valid YAML: {error.problem}")
    except (yaml.YAMLError, RecursionError) as error:
        return _reject(file, Position(1, 1), f"not valid YAML: {error}")
    if node is None:
        return Source(file=file, data={}, positions={}), []
    reader = _Reader(file=file)
    try:
        data = reader.read(node, ())
    except RecursionError:
        return _reject(file, Position(1, 1), "nested too deeply; flatten the document")
    return Source(file=file, data=data, positions=reader.positions), reader.findings


def _reject(
    file: str, position: Position, message: str
) -> tuple[Source, list[Finding]]:
    finding = Finding(
        file=file,
        line=position.line,
        column=position.column,
        path="",
        severity=Severity.ERROR,
        message=message,
    )
    return Source(file=file, data=None, positions={}), [finding]


def _position(mark: yaml.Mark) -> Position:
    return Position(mark.line + 1, mark.column + 1)
