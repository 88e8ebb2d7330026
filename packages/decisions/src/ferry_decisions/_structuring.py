"""Conversion of decoded JSON to `attrs` classes, with full validation.

`structure` uses `cattrs` and reports all validation errors of a document
together, as an exception group with one error, and its path, for each mistake.
Unknown keys are errors too.
"""

import typing

import cattrs
from cattrs import gen
from cattrs import v as cattrs_v

T = typing.TypeVar("T")


class InvalidFieldError(ValueError):
    """One validation error in a document.

    Attributes:
        path: The path of the field, such as `contract.connections`.
        expected: What the field should contain.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path}: {expected}")
        self.path = path
        self.expected = expected


class InvalidDocumentError(ExceptionGroup[InvalidFieldError]):
    """All validation errors of one document."""


def _make_strict_hook(cls: type) -> typing.Any:
    return gen.make_dict_structure_fn(
        cls,
        _CONVERTER,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
    )


def _structure_number(value: typing.Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("a number")
    return float(value)


def _exact_type_hook(
    cls: type,
) -> typing.Callable[[typing.Any, type], typing.Any]:
    def check(value: typing.Any, _: type) -> typing.Any:
        if type(value) is not cls:
            raise TypeError(f"{cls.__name__}")
        return value

    return check


_CONVERTER = cattrs.Converter(detailed_validation=True)
_CONVERTER.register_structure_hook(float, _structure_number)
for _scalar in (int, str, bool):
    _CONVERTER.register_structure_hook(_scalar, _exact_type_hook(_scalar))
_CONVERTER.register_structure_hook_factory(
    lambda cls: hasattr(cls, "__attrs_attrs__"), _make_strict_hook
)


def structure(raw: typing.Any, cls: type[T], root: str) -> T:
    """Converts decoded JSON to an instance of `cls`.

    Args:
        raw: The decoded JSON.
        cls: The `attrs` class to instantiate.
        root: The name of the document, the first component of each path.

    Raises:
        InvalidDocumentError: A field is missing, unknown or out of range.
    """
    try:
        return _CONVERTER.structure(raw, cls)
    except Exception as exc:  # noqa: BLE001 - converted to one group
        found = [
            InvalidFieldError(*_split_message(text))
            for text in cattrs_v.transform_error(exc, path=root)
        ]
        raise InvalidDocumentError(f"{root} is not valid", found) from exc


def unstructure(value: typing.Any) -> typing.Any:
    """Converts an `attrs` instance to values that JSON can encode."""
    return _CONVERTER.unstructure(value)


def _split_message(text: str) -> tuple[str, str]:
    expected, _, path = text.rpartition(" @ ")
    return path or "document", expected or text
