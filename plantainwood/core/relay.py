"""Relay of one answer: whole, in order, from the current attempt only."""

from enum import Enum


class Step(Enum):
    """What to do with a received part of an answer.

    RESUME: tokens are missing, or an attempt's count of tokens differs from those
    received, so a new attempt must resume the answer.
    """

    FORWARD = "forward"
    DROP = "drop"
    RESUME = "resume"


class Answer:
    """The answer to one request, made of one or more attempts.

    Tokens are numbered from 0 over the whole answer. Only the current attempt
    may add to it, and only the next token, so no token is repeated, lost or from
    another attempt when an abandoned one answers late.
    """

    __slots__ = ("tokens", "attempt", "finished")

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.attempt = 0
        self.finished = False

    def begin_attempt(self) -> int:
        """Start a new attempt that resumes after the tokens so far."""
        self.attempt += 1
        return self.attempt

    def accept(self, attempt: int, index: int, token: str) -> Step:
        """Accept a token; FORWARD means that it is new and due to the caller."""
        if attempt != self.attempt or self.finished:
            return Step.DROP
        if index < len(self.tokens):
            return Step.DROP
        if index > len(self.tokens):
            return Step.RESUME
        self.tokens.append(token)
        return Step.FORWARD

    def finish(self, attempt: int, count: int) -> Step:
        """Finish the answer if the attempt is current and all its tokens arrived."""
        if attempt != self.attempt or self.finished:
            return Step.DROP
        if count != len(self.tokens):
            return Step.RESUME
        self.finished = True
        return Step.FORWARD
