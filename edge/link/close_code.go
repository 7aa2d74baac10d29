package link

import (
	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// The application error codes with which a connection is closed.
const (
	codeReleased quic.ApplicationErrorCode = iota + 1
	codeReplaced
	codeTooMany
	codeHandshake
	codeUnresponsive
	codeBroken
	codeShutdown
)

// codeOf returns the code that tells the peer about an error.
func codeOf(err error) quic.ApplicationErrorCode {
	switch err.(type) {
	case *ReleasedError:
		return codeReleased
	case *ShutdownError:
		return codeShutdown
	case *ReplacedError:
		return codeReplaced
	case *TooManyError:
		return codeTooMany
	case *HandshakeError:
		return codeHandshake
	case *UnresponsiveError:
		return codeUnresponsive
	default:
		return codeBroken
	}
}

// translate turns the peer's code into an error of this package.
func translate(err error, id string) error {
	var closed *quic.ApplicationError
	if !errors.As(err, &closed) || !closed.Remote {
		return err
	}
	switch closed.ErrorCode {
	case codeReleased:
		return &ReleasedError{Remote: true}
	case codeTooMany:
		return &TooManyError{Remote: true}
	case codeShutdown:
		return &ShutdownError{Remote: true}
	case codeReplaced:
		return &ReplacedError{ID: id}
	default:
		return err
	}
}
