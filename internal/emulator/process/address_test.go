package process

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"samphirestile.example/samphirestile/internal/emulator/relay"
)

// forkUntil starts short-lived processes until done is closed. Between fork and
// exec, a child holds copies of all sockets of this process.
func forkUntil(done <-chan struct{}) (wait func()) {
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("true").Run() // the fork is what the test needs
				}
			}
		})
	}
	return wg.Wait
}

// Guards against a failing listen on a reserved address while a child process
// between fork and exec still holds a copy of the former listening socket.
func TestListenOnReservedAddressWhileProcessesFork(t *testing.T) {
	done := make(chan struct{})
	wait := forkUntil(done)
	defer wait()
	defer close(done)
	for range 1000 {
		c := &Cell{}
		address, err := c.reserveAddress()
		if err != nil {
			t.Fatal(err)
		}
		r, err := relay.Listen(address, "127.0.0.1:1", nil)
		if err != nil {
			t.Fatal(err)
		}
		c.relays = append(c.relays, r)
		for _, refuse := range []bool{true, false} {
			if err := r.Set(relay.Switches{Refuse: refuse}); err != nil {
				t.Fatal(err)
			}
		}
		c.Close()
	}
}

// Guards against another process binding a reserved address before the intended
// process listens on it.
func TestReservedAddressCannotBeBoundByOthers(t *testing.T) {
	c := &Cell{}
	defer c.Close()
	hostPort, err := c.reserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	address, err := net.ResolveTCPAddr("tcp", hostPort)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte{127, 0, 0, 1}}); err != unix.EADDRINUSE {
		t.Errorf("bind the reserved address %s: %v, want %v", hostPort, err, unix.EADDRINUSE)
	}
}
