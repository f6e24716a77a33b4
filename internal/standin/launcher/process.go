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

// Process is a program that the launcher started.
type Process struct {
	Name    string
	command *exec.Cmd
	output  *os.File
	done    chan struct{}
	err     error
}

// start runs the program with its output in a file of the directory.
func start(directory, name, program string, arguments ...string) (*Process, error) {
	output, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
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

// wait collects the process's exit status.
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

// Kill ends the process at once and waits until it is gone.
func (process *Process) Kill() error {
	err := process.Signal(syscall.SIGKILL)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-process.done
	return err
}

// Freeze stops the process without ending it; Thaw lets it run again.
func (process *Process) Freeze() error { return process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (process *Process) Thaw() error { return process.Signal(syscall.SIGCONT) }

// errNotEnded is returned when a process did not end in time.
var errNotEnded = errors.New("process did not end in time")

// Stop asks the process to end and waits for its exit status.
func (process *Process) Stop(patience time.Duration) error {
	if err := process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	timer := clock.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-process.done:
		return process.err
	case <-timer.C():
		return fmt.Errorf("%s: %w", process.Name, errNotEnded)
	}
}

// Exited reports whether the process has ended.
func (process *Process) Exited() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// CPUTime returns the processor time that an ended process used.
func (process *Process) CPUTime() time.Duration {
	state := process.command.ProcessState
	return state.UserTime() + state.SystemTime()
}
