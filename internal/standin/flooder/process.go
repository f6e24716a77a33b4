package flooder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Usage is what a process takes of its machine.
type Usage struct {
	// ResidentBytes is the resident memory.
	ResidentBytes int64
	// QueuedBytes are the bytes that the kernel holds for the process on the callers'
	// connections: received and not read, or written and not received by the caller.
	QueuedBytes int64
	Descriptors int
	Sockets     int
}

// max returns the larger value of each field.
func (usage Usage) max(other Usage) Usage {
	return Usage{
		ResidentBytes: max(usage.ResidentBytes, other.ResidentBytes), QueuedBytes: max(usage.QueuedBytes, other.QueuedBytes),
		Descriptors: max(usage.Descriptors, other.Descriptors), Sockets: max(usage.Sockets, other.Sockets),
	}
}

// String returns the usage with units.
func (usage Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB queued, %d descriptors, %d sockets", usage.ResidentBytes>>20, usage.QueuedBytes>>20, usage.Descriptors, usage.Sockets)
}

// Process is a process of the product whose usage is sampled.
type Process struct {
	// Address is the host:port at which it serves callers.
	Address string

	command *exec.Cmd
	log     *os.File
	cancel  context.CancelFunc
	group   errgroup.Group
	ended   chan struct{}

	mutex sync.Mutex
	peak  Usage
}

// sampleInterval is the interval between samples of the usage.
const sampleInterval = 50 * time.Millisecond

// StartProcess starts a program that serves callers at the address. Its output goes to a
// file in the folder.
func StartProcess(folder, address, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, filepath.Base(program)+".log"))
	if err != nil {
		return nil, err
	}
	process := &Process{Address: address, command: exec.Command(program, arguments...), log: log, ended: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = log, log
	// A test that is killed leaves no process behind.
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	var ctx context.Context
	ctx, process.cancel = context.WithCancel(context.Background())
	process.group.Go(func() error {
		defer close(process.ended)
		_ = process.command.Wait() // Stop ends it with a signal; Alive tells of an earlier end
		return nil
	})
	process.group.Go(func() error {
		for ctx.Err() == nil {
			process.sample()
			sleep(ctx, sampleInterval)
		}
		return nil
	})
	return process, nil
}

// Alive reports whether the process has not ended.
func (process *Process) Alive() bool {
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

// Stop kills the process.
func (process *Process) Stop() error {
	process.cancel()
	_ = process.command.Process.Kill() // it may have ended
	return errors.Join(process.group.Wait(), process.log.Close())
}

// Peak returns the largest values that were seen so far. The resident memory is the kernel's
// own high-water mark.
func (process *Process) Peak() Usage {
	process.sample()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.peak
}

// sample takes a sample. What cannot be read, because the process has ended, counts as 0.
func (process *Process) sample() {
	folder := fmt.Sprintf("/proc/%d", process.command.Process.Pid)
	var usage Usage
	status, _ := os.ReadFile(filepath.Join(folder, "status"))
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			usage.ResidentBytes = kilobytes << 10
		}
	}
	descriptors, _ := os.ReadDir(filepath.Join(folder, "fd"))
	usage.Descriptors = len(descriptors)
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(filepath.Join(folder, "fd", descriptor.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			usage.Sockets++
		}
	}
	usage.QueuedBytes = queuedBytes(process.Address)
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.peak = process.peak.max(usage)
}

// queuedBytes returns the bytes in the queues of the established connections of a listener.
func queuedBytes(address string) (total int64) {
	const established = "01"
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] != established {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			queued, _ := strconv.ParseInt(queue, 16, 64)
			total += queued
		}
	}
	return total
}
