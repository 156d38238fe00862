package process

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// sourceOf names the daemon that opened the connection with the given remote
// address, so that a relay can separate one pair of daemons in one direction.
// The kernel's table of TCP sockets gives the inode of the connection, and the
// file descriptors of the daemons that this cell started tell which one holds it.
func (c *Cell) sourceOf(remote net.Addr) string {
	inode := socketInode(remote)
	if inode == "" {
		return ""
	}
	for _, p := range c.started() {
		if p.Running() && holds(p.PID(), "socket:["+inode+"]") {
			return p.Name
		}
	}
	return ""
}

// Columns of the kernel's table of TCP sockets.
const (
	columnLocal = 1
	columnInode = 9
)

func socketInode(remote net.Addr) string {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	ip := tcp.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if col := strings.Fields(lines.Text()); len(col) > columnInode && col[columnLocal] == local {
			return col[columnInode]
		}
	}
	return ""
}

func holds(pid int, link string) bool {
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
