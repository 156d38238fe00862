package process

import (
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// sourceOf returns the name of the process of this cell that opened the connection
// from remote to local, so that a relay can partition one pair of daemons in one
// direction. It gets the inode of the socket from the kernel and searches the file
// descriptors of the processes of this cell for it.
func (c *Cell) sourceOf(remote, local net.Addr) string {
	inode, ok := socketInode(remote, local)
	if !ok {
		return ""
	}
	link := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	for _, p := range c.started() {
		if p.Running() && hasSocket(p.PID(), link) {
			return p.Name
		}
	}
	return ""
}

// Layout of the sock_diag query for one socket: a netlink message header followed by
// struct inet_diag_req_v2. The response is a header followed by struct inet_diag_msg.
const (
	diagByFamily   = 20
	diagHeaderSize = unix.SizeofNlMsghdr
	diagSize       = diagHeaderSize + 56
	diagPorts      = diagHeaderSize + 8
	diagSource     = diagPorts + 4
	diagTarget     = diagSource + 16
	diagCookie     = diagTarget + 16 + 4
	diagInode      = diagHeaderSize + 68
)

// socketInode returns the inode of the socket that is bound to own and connected to
// peer. It does not use /proc/net/tcp: with tens of thousands of closed connections,
// reading that table takes too long and may miss sockets.
func socketInode(own, peer net.Addr) (uint32, bool) {
	a, okA := own.(*net.TCPAddr)
	b, okB := peer.(*net.TCPAddr)
	if !okA || !okB || a.IP.To4() == nil || b.IP.To4() == nil {
		return 0, false
	}
	query := make([]byte, diagSize)
	binary.NativeEndian.PutUint32(query, diagSize)
	binary.NativeEndian.PutUint16(query[4:], diagByFamily)
	binary.NativeEndian.PutUint16(query[6:], unix.NLM_F_REQUEST)
	query[diagHeaderSize], query[diagHeaderSize+1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.BigEndian.PutUint16(query[diagPorts:], uint16(a.Port))
	binary.BigEndian.PutUint16(query[diagPorts+2:], uint16(b.Port))
	copy(query[diagSource:], a.IP.To4())
	copy(query[diagTarget:], b.IP.To4())
	// A cookie of all ones matches any socket.
	binary.NativeEndian.PutUint64(query[diagCookie:], ^uint64(0))
	response, err := netlinkCall(query)
	if err != nil || len(response) < diagInode+4 || binary.NativeEndian.Uint16(response[4:]) != diagByFamily {
		return 0, false
	}
	return binary.NativeEndian.Uint32(response[diagInode:]), true
}

func netlinkCall(query []byte) ([]byte, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, query, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, err
	}
	response := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, response, 0)
	if err != nil {
		return nil, err
	}
	return response[:n], nil
}

func hasSocket(pid int, link string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if l, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && l == link {
			return true
		}
	}
	return false
}
