package launcher

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a running or exited program that a Fleet started.
type Process struct {
	Name    string
	command *exec.Cmd
	output  *os.File
	done    chan struct{} // closed once the process has exited
	err     error         // result of the process; set before done is closed
}

// startProcess starts the program. Its standard output and standard error go to
// NAME.log in the directory.
func startProcess(directory, name, program string, arguments ...string) (*Process, error) {
	output, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log file of %s: %w", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		_ = output.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &Process{Name: name, command: command, output: output, done: make(chan struct{})}
	return process, nil
}

// wait stores the exit status in err and closes done. It returns nil in any case,
// since an exit status other than 0 is no failure of the fleet.
func (process *Process) wait() error {
	process.err = process.command.Wait()
	_ = process.output.Close()
	close(process.done)
	return nil
}

// Signal sends the signal to the process.
func (process *Process) Signal(signal os.Signal) error {
	if err := process.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", process.Name, err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has exited. It returns nil if the
// process had exited before.
func (process *Process) Kill() error {
	err := process.Signal(syscall.SIGKILL)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-process.done
	return err
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (process *Process) Freeze() error { return process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (process *Process) Thaw() error { return process.Signal(syscall.SIGCONT) }

// errStopTimeout is returned by Stop if the process still runs after the timeout.
var errStopTimeout = errors.New("process did not exit in time")

// Stop sends SIGTERM and waits up to the timeout until the process exits. It
// returns an error if the exit status is not 0.
func (process *Process) Stop(timeout time.Duration) error {
	if err := process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-process.done:
		return process.err
	case <-timer.C():
		return fmt.Errorf("%s: %w", process.Name, errStopTimeout)
	}
}

// Exited reports whether the process has exited.
func (process *Process) Exited() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// CPUTime returns the user and system time of an exited process.
func (process *Process) CPUTime() time.Duration {
	state := process.command.ProcessState
	return state.UserTime() + state.SystemTime()
}
