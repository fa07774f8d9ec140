package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHangupDuringStartDoesNotEndTheHost sends SIGHUP while the program reads its
// settings, which come through a pipe.
func TestHangupDuringStartDoesNotEndTheHost(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "figmast-gateway"), filepath.Join(dir, "settings")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	cmd := exec.Command(program, "--settings", settings, "--check")
	is.NoErr(cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()          // it may have ended
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // waits for the program to open it
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("{}")
	is.NoErr(err)
	is.NoErr(pipe.Close())
	_ = cmd.Wait() // the settings are not valid
	is.Equal(cmd.ProcessState.ExitCode(), exitSettings)
}
