package benchpolicy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/command/benchpolicy"
	"github.com/hickoryfront/hickoryfront/hickorylab/policybench"
)

func run(t *testing.T, args ...string) (out, errors string, status subcommands.ExitStatus) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := benchpolicy.New(&stdout, &stderr)
	flags := flag.NewFlagSet("policy", flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	status = command.Execute(context.Background(), flags)
	return stdout.String(), stderr.String(), status
}

// TestUsageErrors checks that an invalid flag value gives a usage error that states
// which values are valid.
func TestUsageErrors(t *testing.T) {
	tests := map[string]struct {
		args []string
		want string
	}{
		"deployment": {[]string{"--deployments", "x"}, "use boipara or dutchpot"},
		"policy":     {[]string{"--policies", "x"}, "twoChoices"},
		"load":       {[]string{"--loads", "0"}, "number above 0"},
		"routers":    {[]string{"--routers", "none"}, "whole number"},
		"faults":     {[]string{"--faults", "some"}, "no, yes or both"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, message, status := run(t, test.args...)
			if status != subcommands.ExitUsageError || !strings.Contains(message, test.want) {
				t.Errorf("status %v, message %q; want a usage error with %q", status, message, test.want)
			}
		})
	}
}

func TestJSON(t *testing.T) {
	out, message, status := run(t, "--json", "--deployments", "boipara", "--policies", "reserving", "--loads", "0.7", "--length", "2s")
	if status != subcommands.ExitSuccess {
		t.Fatalf("status %v: %s", status, message)
	}
	var results []policybench.Result
	if err := json.Unmarshal([]byte(out), &results); err != nil {
		t.Fatal(err)
	}
	if len(results) != 1 || results[0].Policy != policybench.PolicyReserving || results[0].Requests == 0 {
		t.Errorf("got results %+v, want one of the policy reserving, with requests", results)
	}
}
