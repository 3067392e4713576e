// Package signals keeps the operating system's signals from ending a router process that has
// requests in flight. A signal without a handler has its default action: SIGHUP ends the process,
// and so does SIGPIPE, which a write to a log without a reader raises. A router therefore handles
// both from its start to its end, also while it stops.
//
// # Usage
//
//	signals.IgnoreBrokenPipe()
//	for range signals.Hangup() {
//		reload()
//	}
//
// A command that serves no requests keeps the default actions:
//
//	err := signals.RestoreHangup()
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// hangup is set when the package is initialized, which is before main and, since the package has
// few imports, before most other packages.
var hangup = notify(syscall.SIGHUP)

// notify returns a channel that holds one signal until it is received.
func notify(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// Hangup returns the channel that receives SIGHUP. It is never closed. It holds one signal, also
// one that arrived before main; further ones are dropped until that one is received.
func Hangup() <-chan os.Signal { return hangup }

// RestoreHangup restores the default action of SIGHUP, and takes it if the signal has arrived
// already.
func RestoreHangup() error {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-hangup:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}

// IgnoreBrokenPipe makes writes to standard output and standard error fail if their reader has
// ended. By default such a write ends the process.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
