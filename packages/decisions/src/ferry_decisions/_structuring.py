"""Structured data checked as a whole.

`structure` turns plain JSON values into `attrs` classes with `cattrs`. All the
mistakes are reported together, as an exception group with one error a
mistake, each with its path. Unknown keys are mistakes too.
"""

import typing

import cattrs
from cattrs import gen
from cattrs import v as cattrs_v

T = typing.TypeVar("T")


class InvalidFieldError(ValueError):
    """One mistake in a document.

    Attributes:
        path: Where it stands, such as `contract.connections`.
        expected: What was expected there.
    """

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"{path}: {expected}")
        self.path = path
        self.expected = expected


class InvalidDocumentError(ExceptionGroup[InvalidFieldError]):
    """All the mistakes of one document."""


def _strict_hook(cls: type) -> typing.Any:
    return gen.make_dict_structure_fn(
        cls,
        _CONVERTER,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
    )


def _number(value: typing.Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("a number")
    return float(value)


def _exact(cls: type) -> typing.Callable[[typing.Any, type], typing.Any]:
    def check(value: typing.Any, _: type) -> typing.Any:
        if type(value) is not cls:
            raise TypeError(f"{cls.__name__}")
        return value

    return check


_CONVERTER = cattrs.Converter(detailed_validation=True)
_CONVERTER.register_structure_hook(float, _number)
for _scalar in (int, str, bool):
    _CONVERTER.register_structure_hook(_scalar, _exact(_scalar))
_CONVERTER.register_structure_hook_factory(
    lambda cls: hasattr(cls, "__attrs_attrs__"), _strict_hook
)


def structure(raw: typing.Any, cls: type[T], root: str) -> T:
    """Returns `raw` as an instance of `cls`.

    Args:
        raw: What a JSON library returned.
        cls: The `attrs` class to make.
        root: The name of the document, the first part of each path.

    Raises:
        InvalidDocumentError: Something is missing, unknown or out of range.
    """
    try:
        return _CONVERTER.structure(raw, cls)
    except Exception as exc:  # noqa: BLE001 - all of them become one group
        found = [
            InvalidFieldError(*_split(text))
            for text in cattrs_v.transform_error(exc, path=root)
        ]
        raise InvalidDocumentError(f"{root} is not valid", found) from exc


def unstructure(value: typing.Any) -> typing.Any:
    """Returns the plain JSON values of an `attrs` instance."""
    return _CONVERTER.unstructure(value)


def _split(text: str) -> tuple[str, str]:
    expected, _, path = text.rpartition(" @ ")
    return path or "document", expected or text
