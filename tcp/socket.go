package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout closes a connection whose sent data is not acknowledged (TCP_USER_TIMEOUT).
	UnackedTimeout = 2500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the TCP keep-alive parameters. They detect a
	// dead connection while no data is sent.
	probeIdle     = 1500 * time.Millisecond
	probeInterval = 700 * time.Millisecond
	probeCount    = 2
)

// KeepAlive returns the TCP keep-alive settings of all connections of a router.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Control sets the TCP_USER_TIMEOUT of a socket, for which package net has no setting.
func Control(_, _ string, c syscall.RawConn) error { return control(c, UnackedTimeout) }

// CloseWrite closes the sending half of a connection that can do that, and has no effect on others.
func CloseWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// control sets the TCP_USER_TIMEOUT of a socket; 0 removes it.
func control(c syscall.RawConn, timeout time.Duration) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
