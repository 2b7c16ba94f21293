"""Exponential moving average that starts as a plain mean."""

import dataclasses

__all__ = ["MovingAverage"]


@dataclasses.dataclass(slots=True)
class MovingAverage:
    """Mean of samples, of which older ones lose weight.

    Until the weight reaches the maximum, all samples count the same.

    Attributes:
        value: the average.
        samples: weight of what was averaged, in samples.
    """

    value: float
    samples: float

    def add(self, value: float, max_samples: float) -> None:
        """Adds one sample; earlier ones count as at most `max_samples - 1`.

        Example:
            >>> average = MovingAverage(0.0, 0.0)
            >>> for sample in (1.0, 2.0, 6.0):
            ...     average.add(sample, 50.0)
            >>> average.value
            3.0
        """
        self.samples = min(self.samples + 1.0, max_samples)
        self.value += (value - self.value) / self.samples
