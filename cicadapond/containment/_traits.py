"""The traits of a request by which requests that crash servers can be told from others."""

import hashlib

from cicadapond.serving import CallerRequest

REQUEST, PROMPT_PART = "request", "part"


def traits_of(req: CallerRequest, account: str | None) -> tuple[str, ...]:
    """Returns what may make a request crash servers, from the most to the least specific.

    These are its whole content, and each part of its prompt.  The client account and the route are
    none: too many sound requests share them.

    Args:
      req: The request.
      account: The name of its client account, None if it has none.
    """
    parts = req.generation.parts if req.generation is not None else ()
    whole = f"{REQUEST} {fingerprint_of(req, account)}"
    return (whole, *(f"{PROMPT_PART} {part.name}" for part in reversed(parts)))


def is_whole_request(trait: str) -> bool:
    """Returns whether a trait is the whole content of a request."""
    return trait.startswith(f"{REQUEST} ")


def fingerprint_of(req: CallerRequest, account: str | None) -> str:
    """Returns a hash of what a request asks for and its client account, but not of its id.

    Requests with the same body may have different prompts, of which only the parts are known.
    """
    digest = hashlib.blake2b(digest_size=12)
    parts = req.generation.parts if req.generation is not None else ()
    names = (part.name.encode() for part in parts)
    for part in (req.method.encode(), req.target, (account or "").encode(), req.body, *names):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
