"""Operators' credentials: bearer token, login cookie and form token."""

import hashlib
import hmac
import time

from geraniumstair.console import _http

COOKIE_NAME = "geraniumstair_session"
SESSION_LIFETIME_S = 8 * 3600


def build_login_cookie_header(value: str) -> str:
    """Returns the header that sets the login cookie."""
    return (
        f"{COOKIE_NAME}={value}; Path=/; Max-Age={SESSION_LIFETIME_S}; "
        "HttpOnly; SameSite=Strict"
    )


def build_logout_cookie_header() -> str:
    """Returns the header that deletes the login cookie."""
    return f"{COOKIE_NAME}=; Path=/; Max-Age=0; HttpOnly; SameSite=Strict"


class Credentials:
    """Issues and checks credentials.

    Sessions are not stored, so every node accepts a cookie of any other node. A
    cookie consists of its expiry time and an HMAC of that time; the HMAC key is
    derived from the operator token. The form token is an HMAC of the cookie.
    """

    def __init__(self, operator_token: str) -> None:
        self._token = operator_token.encode()
        self._key = hmac.digest(
            self._token, b"geraniumstair operator session", "sha256"
        )

    def token_matches(self, token: str) -> bool:
        """Compares a token with the operator token in constant time."""
        given = hashlib.sha256(token.encode("utf-8", "replace")).digest()
        return hmac.compare_digest(given, hashlib.sha256(self._token).digest())

    def bearer_matches(self, request: _http.Request) -> bool:
        """Returns whether the Authorization header has the operator token."""
        header = request.headers.get("authorization", "")
        scheme, _, token = header.partition(" ")
        return scheme.lower() == "bearer" and self.token_matches(token.strip())

    def _compute_mac(self, text: str) -> str:
        return hmac.new(self._key, text.encode(), "sha256").hexdigest()

    def issue_cookie(self) -> str:
        """Returns a login cookie that is valid for `SESSION_LIFETIME_S`."""
        expiry = str(int(time.time()) + SESSION_LIFETIME_S)
        return f"{expiry}.{self._compute_mac('session ' + expiry)}"

    def cookie_matches(self, request: _http.Request) -> bool:
        """Returns whether the login cookie is genuine and has not expired."""
        cookie = request.cookie(COOKIE_NAME)
        expiry, _, mac = cookie.partition(".")
        expected = self._compute_mac(f"session {expiry}")
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return False
        return int(expiry) > time.time()

    def form_token(self, request: _http.Request) -> str:
        """Returns the form token that belongs to the request's cookie."""
        return self._compute_mac(f"form {request.cookie(COOKIE_NAME)}")

    def form_token_matches(self, request: _http.Request) -> bool:
        """Returns whether a posted form has the token of its cookie."""
        given = request.form().get("form_token", "")
        expected = self.form_token(request)
        return hmac.compare_digest(given.encode(), expected.encode())
