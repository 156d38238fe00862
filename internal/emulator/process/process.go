// Package process starts and stops real processes of this project for tests,
// benchmarks and the demo. It signals only processes that it started, by their
// process ID.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is one started process.
type Process struct {
	Name string
	// LogPath is the file that receives standard output and standard error.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartError reports a process that could not be started.
type StartError struct {
	Name  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("process %s: start: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// ExitTimeoutError reports a process that did not exit in time.
type ExitTimeoutError struct {
	Name  string
	Limit time.Duration
}

func (e *ExitTimeoutError) Error() string {
	return fmt.Sprintf("process %s: still running after %v", e.Name, e.Limit)
}

// start runs the program at path; its output is appended to a log file in dir.
func start(dir, name, path string, args ...string) (*Process, error) {
	return Launch(dir, name, nil, path, args...)
}

// Launch runs the program at path with additional environment variables; its output
// is appended to a log file in dir. The caller must end the process.
func Launch(dir, name string, variables []string, path string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	defer out.Close()
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), variables...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the test process dies without cleaning up.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// PauseError reports a process that did not stop after SIGSTOP.
type PauseError struct {
	Name  string
	Cause error
}

func (e *PauseError) Error() string { return fmt.Sprintf("process %s: pause: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *PauseError) Unwrap() error { return e.Cause }

const (
	// pauseTimeout bounds the wait for a stop. On a busy machine a process goes on for some
	// milliseconds after SIGSTOP was sent.
	pauseTimeout = 10 * time.Second
	// pausePoll is the pause between two looks whether a process has stopped.
	pausePoll = 100 * time.Microsecond
)

// Pause freezes the process by SIGSTOP and returns once it has stopped.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return &PauseError{p.Name, err}
	}
	for deadline := time.Now().Add(pauseTimeout); time.Now().Before(deadline); time.Sleep(pausePoll) {
		// WNOWAIT keeps the state, so that a second Pause of a stopped process finds it as well.
		var state unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.PID(), &state, unix.WSTOPPED|unix.WNOWAIT|unix.WNOHANG, nil)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return &PauseError{p.Name, err}
		}
		if err == nil && state.Signo != 0 {
			return nil
		}
	}
	return &PauseError{p.Name, errNotStopped}
}

var errNotStopped = errors.New("still running " + pauseTimeout.String() + " after SIGSTOP")

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a planned stop, and does not wait for the exit.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// signal does nothing after the process has exited: os.Process refuses to signal a
// process that was waited for, so a reused process ID is never signalled.
func (p *Process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Signal sends any signal.
func (p *Process) Signal(s syscall.Signal) { p.signal(s) }

// Wait waits up to timeout for the process to exit and returns the exit status; -1 means
// that it was terminated by a signal.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		return 0, &ExitTimeoutError{Name: p.Name, Limit: timeout}
	}
	var exit *exec.ExitError
	if p.err != nil && !errors.As(p.err, &exit) {
		return -1, p.err
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// CPU returns the CPU time used by the process so far.
func (p *Process) CPU() time.Duration {
	// Fields 14 and 15 of the stat file are user and system time in ticks. The
	// command name before them may contain spaces, so fields are counted after it.
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.PID()), "stat"))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	if len(fields) < statSystemTime+1 {
		return 0
	}
	var ticks int64
	for _, i := range []int{statUserTime, statSystemTime} {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// Layout of /proc/PID/stat after the command name, and the unit of its times.
const (
	statUserTime   = 11
	statSystemTime = 12
	ticksPerSecond = 100
)

// Log returns the output of the process so far.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
