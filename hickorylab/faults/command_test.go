package faults_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

// hickory runs the hickory command against a daemon and returns its exit code and
// output.
func hickory(t *testing.T, host *harness.Process, args ...string) (code int, output string) {
	t.Helper()
	command := exec.Command(binaries.Command, args...)
	command.Env = append(os.Environ(), "HICKORY_ADDRESS=http://"+host.Operator, "HICKORY_TOKEN="+harness.OperatorToken, "HICKORY_AUTHOR=asha")
	data, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(data)
	}
	if err != nil {
		t.Fatal(err)
	}
	return 0, string(data)
}

// TestCommandAgainstDaemons guards against a hickory command whose exit code or
// output does not match what real daemons did. At the end one daemon is paused, so
// that a change can't be in force on all hosts.
//
// proof: operators race | config write | 8
// proof: daemon paused | config write | 8
func TestCommandAgainstDaemons(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("profile/new.ini", "[targets]\nfirstToken = 1s\n")
	better := write("better.ini", "[targets]\nfirstToken = 900ms\n")
	bad := write("bad.ini", "[targets]\nfirst = 1s\ntokenGap = fast\n")
	write("service/stock.ini", "[service]\nkind = plain\nprofile = new\n")
	steps := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "check of a bad text names every key", args: []string{"profile", "check", "--file", bad}, code: 1, want: "[targets] first: unknown key; [targets] tokenGap"},
		{name: "apply of a directory", args: []string{"apply", "--dir", dir}, want: "in force on all 3 hosts"},
		{name: "apply again", args: []string{"apply", "--dir", dir}, want: "nothing to change"},
		{name: "set on an old base", args: []string{"profile", "set", "new", "--file", better, "--base", "0"}, code: 3, want: "your base is revision 0"},
		{name: "set", args: []string{"profile", "set", "new", "--file", better}, want: "in force on all 3 hosts"},
		{name: "history", args: []string{"profile", "history", "new"}, want: "asha"},
		{name: "diff with the revision before", args: []string{"profile", "diff", "new"}, want: "- [targets] firstToken = 1s\n+ [targets] firstToken = 900ms\n"},
		{name: "deletion of a profile in use", args: []string{"profile", "delete", "new"}, code: 1, want: `profile "new" does not exist`},
		{name: "unbind", args: []string{"service", "unbind", "stock"}, want: "refused as not run"},
		{name: "status", args: []string{"status"}, want: harness.ModelService},
		{name: "version", args: []string{"version"}, want: "hickoryd"},
	}
	for i, step := range steps {
		code, output := hickory(t, c.Hosts[i%len(c.Hosts)], step.args...)
		if code != step.code || !strings.Contains(output, step.want) {
			t.Errorf("%s: exit code %d and output %q, want %d and %q", step.name, code, output, step.code, step.want)
		}
	}
	c.Hosts[2].Pause()
	code, output := hickory(t, c.Hosts[0], "profile", "set", "new", "--file", good, "--timeout", "1s")
	if code != 4 || !strings.Contains(output, c.Hosts[2].Name) {
		t.Errorf("with a paused host: exit code %d and output %q, want 4 and the host's name", code, output)
	}
	c.Hosts[2].Resume()
}
