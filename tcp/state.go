package tcp

import "golang.org/x/sys/unix"

// state is what the kernel tells of a connection.
type state struct {
	closed           bool // no more data is sent or received
	unacked          int  // segments that were sent and not acknowledged
	unsent           int  // bytes that were written and not sent
	queued           int  // bytes that were written and not acknowledged
	unansweredProbes int
}

// readState reads the state of a socket, as far as the kernel tells it. It returns false if that is
// nothing.
func readState(fd int) (state, bool) {
	info, infoErr := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if infoErr != nil {
		info = &unix.TCPInfo{}
	}
	queued, queueErr := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	if queueErr != nil {
		queued = 0
	}
	return newState(info, queued), infoErr == nil || queueErr == nil
}

// newState returns the state that the kernel's information and the bytes in the send queue describe.
func newState(info *unix.TCPInfo, queued int) state {
	return state{
		closed:           info.State == unix.BPF_TCP_CLOSE,
		unacked:          int(info.Unacked),
		unsent:           int(info.Notsent_bytes),
		queued:           queued,
		unansweredProbes: int(info.Probes),
	}
}

// hasUnacked reports whether data that was written has not been acknowledged and still may be.
func (s state) hasUnacked() bool { return !s.closed && (s.unacked > 0 || s.unsent > 0 || s.queued > 0) }

// isPaused reports whether the peer has acknowledged everything sent and accepts no more data. That is
// assumed, too, where the kernel tells that data is queued, but not whether it was sent.
func (s state) isPaused() bool {
	return s.unacked == 0 && (s.unsent > 0 || s.queued > 0)
}
