package process

import (
	"fmt"
	"net"
	"strconv"

	"golang.org/x/sys/unix"
)

// AddressError reports that no loopback address could be reserved.
type AddressError struct{ Cause error }

func (e *AddressError) Error() string {
	return fmt.Sprintf("process: reserve a loopback address: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// reserveAddress returns a loopback address for a listener of this cell. Until
// the cell is closed, a bound socket that never listens keeps outgoing
// connections and other processes from taking the port, while listeners with
// SO_REUSEADDR, which package net sets, can bind it repeatedly.
func (c *Cell) reserveAddress() (string, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", &AddressError{Cause: err}
	}
	port, err := bindForReuse(fd)
	if err != nil {
		_ = unix.Close(fd) // the first error is reported
		return "", &AddressError{Cause: err}
	}
	c.reserved = append(c.reserved, fd)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), nil
}

// bindForReuse binds fd to an unused loopback port. It sets SO_REUSEADDR only after
// the bind, so that the kernel does not choose a port of another socket.
func bindForReuse(fd int) (port int, err error) {
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, fmt.Errorf("bind a socket to 127.0.0.1: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		return 0, fmt.Errorf("read the port of the bound socket: %w", err)
	}
	return address.(*unix.SockaddrInet4).Port, nil
}

func (c *Cell) releaseAddresses() {
	for _, fd := range c.reserved {
		_ = unix.Close(fd) // the socket has no connection, so no data can be lost
	}
	c.reserved = nil
}
