// Package tokenstream assembles one token stream from the attempts that produce
// it, so that no token is lost or duplicated. An attempt has at most one run, which
// is one execution of the request on one backend server. The command hickoryd serve
// uses it, for the engines of a platform with the Consul HTTP API. In hickoryd edge,
// core/eventstream joins the streams.
package tokenstream

import "errors"

var (
	// ErrGap means that a token is missing before the one that arrived.
	ErrGap = errors.New("token stream has a gap")
	// ErrStale means that the token belongs to an earlier attempt.
	ErrStale = errors.New("token of a superseded attempt")
)

type (
	// Token is one generated token with its position in the response.
	Token struct {
		Offset int
		Text   string
		Last   bool
	}

	// Assembly tracks how much of one response has been accepted. It is not safe
	// for concurrent use.
	Assembly struct {
		attempt int
		next    int
		done    bool
	}
)

// Begin starts a new attempt. It returns the number of the attempt and the offset
// at which the attempt must resume. Tokens of earlier attempts are refused from
// then on.
func (a *Assembly) Begin() (attempt, offset int) {
	a.attempt++
	return a.attempt, a.next
}

// NextAttempt returns the number that the next attempt will have.
func (a *Assembly) NextAttempt() int {
	return a.attempt + 1
}

// Accept reports whether a token of the given attempt extends the response. It
// returns false without an error for a token that was accepted before, and for
// any token after the last one.
func (a *Assembly) Accept(attempt int, token Token) (bool, error) {
	if attempt != a.attempt {
		return false, ErrStale
	}
	if token.Offset < a.next || a.done {
		return false, nil
	}
	if token.Offset > a.next {
		return false, ErrGap
	}
	a.next++
	a.done = token.Last
	return true, nil
}

// NextOffset returns the offset of the next token.
func (a *Assembly) NextOffset() int {
	return a.next
}

// Done reports whether the last token was accepted.
func (a *Assembly) Done() bool {
	return a.done
}
