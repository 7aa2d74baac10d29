package link

import (
	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// The application error codes with which a connection is closed.
const (
	codeReleased quic.ApplicationErrorCode = iota + 1
	codeReplaced
	codeTooManyLinks
	codeHandshake
	codeUnresponsive
	codeFailed
	codeShutdown
)

// closeCode returns the application error code that reports err to the peer.
func closeCode(err error) quic.ApplicationErrorCode {
	switch err.(type) {
	case *ReleasedError:
		return codeReleased
	case *ShutdownError:
		return codeShutdown
	case *ReplacedError:
		return codeReplaced
	case *TooManyLinksError:
		return codeTooManyLinks
	case *HandshakeError:
		return codeHandshake
	case *UnresponsiveError:
		return codeUnresponsive
	default:
		return codeFailed
	}
}

// remoteError converts a connection closed by the peer into the error that its
// application error code stands for. It returns other errors unchanged.
func remoteError(err error, id string) error {
	var closed *quic.ApplicationError
	if !errors.As(err, &closed) || !closed.Remote {
		return err
	}
	switch closed.ErrorCode {
	case codeReleased:
		return &ReleasedError{Remote: true}
	case codeTooManyLinks:
		return &TooManyLinksError{Remote: true}
	case codeShutdown:
		return &ShutdownError{Remote: true}
	case codeReplaced:
		return &ReplacedError{ID: id}
	default:
		return err
	}
}
