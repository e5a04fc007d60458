"""Field types of validated models at the border to other processes."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator
from pydantic import Field

from .jsonvalues import MAX_NUMBER
from .jsonvalues import check_address

Address = Annotated[str, AfterValidator(check_address)]

Count = Annotated[int, Field(ge=0, le=MAX_NUMBER)]

PositiveCount = Annotated[int, Field(gt=0, le=MAX_NUMBER)]

# Durations, ratios and sizes.
Quantity = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]

PositiveQuantity = Annotated[float, Field(gt=0, le=MAX_NUMBER, allow_inf_nan=False)]
