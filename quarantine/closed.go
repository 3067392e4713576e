package quarantine

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ClosedByPeer reports whether a connection broke because the other side closed it, as that of a
// process does that has crashed.
func ClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
