package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
)

// runLine is the run line of the role in deploy/system.toml.
var runLine = strings.Fields("target/samphirestiled serve --policy deploy/policy.json")

// daemon is one machine that runs the role of the deploy file.
type daemon struct {
	name, front, ready, settings string
	logFile                      *os.File
	record                       *record
	// overMemory counts the ends because the process exceeded the memory of its machine; exits counts those by itself.
	overMemory, exits counter
	peakMB            atomic.Int64
	ended             atomic.Bool

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
}

// The ports are below those that the system usually gives to outgoing connections.
const firstPort, lastPort = 12000, 30000

// freePorts returns n consecutive ports that were free.
func freePorts(n int) (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(lastPort-firstPort)
		listeners := []net.Listener{}
		for i := range n {
			l, err := net.Listen("tcp", address(first+i))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func startDaemons(n int, dir, storeAddress string, r *record) ([]*daemon, error) {
	first, err := freePorts(n * 20)
	if err != nil {
		return nil, err
	}
	var all []*daemon
	for i := range n {
		port := first + i*20
		d := &daemon{
			name: fmt.Sprintf("front-z%d-1", i+1), front: address(port), ready: address(port + 1), record: r,
			settings: filepath.Join(dir, fmt.Sprintf("daemon-%d.toml", i+1)), done: make(chan struct{}),
		}
		content := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z%d"
region = "r"
internalPorts = [%d, %d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
commandMode = "call"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
z4 = "r"
[listenAddresses]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
quotaOverage = 0.1
recoveryS = 12
maxHoldMs = 10000
stopGraceMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 2
checkpointIntervalS = 1
restoreMs = 250
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
requireFence = false
leaseMs = 3000
paceMs = 100
harmMs = 4000
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = %d
minTtlMs = 1000
[cloudApi]
address = %q
ratePerS = 64.0
dutyPerS = 64.0
`, d.name, i+1, port+3, port+18, d.front, d.ready, memoryMB, storeAddress, maxValueBytes, storeAddress)
		if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
			return nil, err
		}
		if d.logFile, err = os.Create(filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i+1))); err != nil {
			return nil, err
		}
		all = append(all, d)
		go d.keepRunning()
	}
	return all, nil
}

// keepRunning starts the process, ends it if it exceeds the memory of its machine, and starts it again, as the platform does.
func (d *daemon) keepRunning() {
	defer close(d.done)
	for !d.ended.Load() {
		c := exec.Command(runLine[0], runLine[1:]...)
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SAMPHIRESTILE_CONFIG=" + d.settings}
		c.Stdout, c.Stderr = d.logFile, d.logFile
		if err := c.Start(); err != nil {
			d.record.line("%s not started: %v", d.name, err)
			return
		}
		d.mu.Lock()
		d.process = c.Process
		d.mu.Unlock()
		exited := make(chan error, 1)
		go func() { exited <- c.Wait() }()
		d.supervise(c.Process, exited)
		if !d.ended.Load() {
			time.Sleep(restartDelay)
		}
	}
}

func (d *daemon) supervise(p *os.Process, exited <-chan error) {
	for {
		select {
		case err := <-exited:
			if !d.ended.Load() {
				d.exits.add(1)
				d.record.line("%s ended by itself: %v", d.name, err)
			}
			return
		case <-time.After(50 * time.Millisecond):
			mb := residentMB(p.Pid)
			d.peakMB.Store(max(d.peakMB.Load(), mb))
			if mb > memoryMB {
				d.overMemory.add(1)
				d.record.line("%s exceeds the memory of its machine: %d MB of %d; it is killed", d.name, mb, memoryMB)
				_ = p.Kill()
				<-exited
				return
			}
		}
	}
}

func residentMB(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

// end ends the process for good.
func (d *daemon) end() {
	d.ended.Store(true)
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p != nil {
		_ = p.Signal(syscall.SIGKILL)
	}
	<-d.done
	_ = d.logFile.Close()
}
